//! Memory for the bodies of replies.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Longest body of a reply, in bytes.
pub const MAX_REPLY_BYTES: usize = 8 * 1_024 * 1_024;
/// Length up to which a body is accepted although no memory is left, in bytes.
pub const SHORT_REPLY_BYTES: usize = 64 * 1_024;
/// Bytes that a piece of a body counts for at least. Without it, an endless body of tiny chunks would
/// take seconds of processor time until it reached its limit.
const MIN_PIECE_BYTES: usize = 256;
/// Memory for the bodies of all replies of a node unless it has less, in bytes. Short replies may exceed it.
pub(crate) const BUFFERED_BYTES_LIMIT: usize = 32 * 1_024 * 1_024;

/// Memory that the bodies of replies share.
///
/// A body may grow to the size of what is free, so that each of many endless replies is cut off early.
/// Short replies are always accepted.
#[derive(Debug, Clone)]
pub struct ReplyBuffers {
    used_bytes: Arc<AtomicUsize>,
    limit_bytes: Arc<AtomicUsize>,
}

/// The part of the memory that one body uses; released when it is dropped.
#[derive(Debug)]
pub struct BufferReservation {
    buffers: ReplyBuffers,
    /// Bytes that the pieces of the body count for.
    piece_bytes: usize,
    /// Bytes held, which are at least as many.
    held_bytes: usize,
}

impl Default for ReplyBuffers {
    fn default() -> Self {
        Self {
            used_bytes: Arc::default(),
            limit_bytes: Arc::new(AtomicUsize::new(BUFFERED_BYTES_LIMIT)),
        }
    }
}

impl ReplyBuffers {
    /// Changes the memory for all bodies, in bytes; what is in use stays so.
    pub fn set_limit(&self, bytes: usize) {
        self.limit_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Returns a reservation of no bytes.
    pub fn reserve(&self) -> BufferReservation {
        BufferReservation { buffers: self.clone(), piece_bytes: 0, held_bytes: 0 }
    }

    /// Returns the number of bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }
}

impl BufferReservation {
    /// Adds a piece of `bytes`; returns `false` without adding it if the body would become longer than
    /// [`MAX_REPLY_BYTES`] or, unless it is short, than the memory that is free.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let grown = self.piece_bytes.saturating_add(bytes.max(MIN_PIECE_BYTES));
        if MAX_REPLY_BYTES < grown || !self.has_room(grown) {
            return false;
        }
        self.piece_bytes = grown;
        self.hold(self.held_bytes.max(grown));
        true
    }

    /// Begins to move the body from a memory of `from` bytes to one of `to`, and holds both; returns `false`
    /// without doing so if the latter is not free. [`Self::end_move`] gives the former back.
    #[must_use]
    pub fn try_move(&mut self, from: usize, to: usize) -> bool {
        let has_room = self.has_room(to);
        if has_room {
            self.hold(self.held_bytes.max(from.saturating_add(to)));
        }
        has_room
    }

    /// Holds the memory of `bytes` to which the body was moved, and no other.
    pub fn end_move(&mut self, bytes: usize) {
        self.hold(self.piece_bytes.max(bytes));
    }

    /// Returns whether a body may use `bytes`.
    fn has_room(&self, bytes: usize) -> bool {
        let limit = self.buffers.limit_bytes.load(Ordering::Relaxed);
        let free = limit.saturating_sub(self.buffers.used_bytes());
        bytes <= free.max(SHORT_REPLY_BYTES)
    }

    fn hold(&mut self, bytes: usize) {
        let used = &self.buffers.used_bytes;
        used.fetch_add(bytes.saturating_sub(self.held_bytes), Ordering::Relaxed);
        used.fetch_sub(self.held_bytes.saturating_sub(bytes), Ordering::Relaxed);
        self.held_bytes = bytes;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.buffers.used_bytes.fetch_sub(self.held_bytes, Ordering::Relaxed);
    }
}
