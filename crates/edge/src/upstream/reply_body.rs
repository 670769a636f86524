//! Collects the body of a reply.

use bytes::Bytes;

use super::{BufferReservation, MAX_REPLY_BYTES, ReplyBuffers};

/// Smallest memory of a body, in bytes.
const MIN_CAPACITY: usize = 1_024;

/// The body of a reply, whose capacity counts in the memory for replies until the last copy of it is
/// dropped.
#[derive(Debug)]
pub(super) struct ReplyBody {
    content: Vec<u8>,
    reservation: BufferReservation,
}

impl ReplyBody {
    /// Returns an empty body.
    pub(super) fn new(buffers: &ReplyBuffers) -> Self {
        Self { content: Vec::new(), reservation: buffers.reserve() }
    }

    /// Appends a piece; returns `false` if the body would become too long or finds no memory.
    #[must_use]
    pub(super) fn try_append(&mut self, piece: &[u8]) -> bool {
        if !self.reservation.try_grow(piece.len()) || !self.try_make_room(piece.len()) {
            return false;
        }
        self.content.extend_from_slice(piece);
        true
    }

    /// Returns the complete body.
    pub(super) fn finish(self) -> Bytes {
        if self.content.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }

    /// Moves the content to a larger memory if `bytes` more do not fit.
    fn try_make_room(&mut self, bytes: usize) -> bool {
        let needed = self.content.len() + bytes;
        let capacity = self.content.capacity();
        if needed <= capacity {
            return true;
        }
        let larger = needed.max((2 * capacity).clamp(MIN_CAPACITY, MAX_REPLY_BYTES));
        if !self.reservation.try_move(capacity, larger) {
            return false;
        }
        let mut moved = Vec::with_capacity(larger);
        moved.extend_from_slice(&self.content);
        self.content = moved;
        self.reservation.end_move(larger);
        true
    }
}

impl AsRef<[u8]> for ReplyBody {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
