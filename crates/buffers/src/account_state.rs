//! Decides which buffers have room.

use std::{sync::Arc, time::Duration};

use mux_model::{FastMap, TimePoint};

use crate::{
    buffer_account::{BufferError, BufferUsage},
    growing_buffer::BufferSlot,
};

/// Capacity up to which a buffer is short, in bytes.
const SHORT_BYTES: usize = 16 * 1_024;
/// Share of the limit that buffers which are not short may use together, in percent. The rest is left to
/// the short ones, which most messages are.
const LONG_SHARE_PERCENT: usize = 75;
/// Time from the start of a message for which its buffer is not displaced. Without it, many messages that
/// arrive at the same time would displace each other, and none would become complete.
const PROTECTED_TIME: Duration = Duration::from_secs(1);

/// Key of a buffer that is growing.
pub(crate) type BufferKey = u64;

/// A buffer whose message is not complete.
#[derive(Debug)]
struct GrowingEntry {
    slot: Arc<BufferSlot>,
    bytes: usize,
    started_at: TimePoint,
}

/// The buffers of an account.
#[derive(Debug)]
pub(crate) struct AccountState {
    limit_bytes: usize,
    used_bytes: usize,
    /// Bytes of the buffers that are not short.
    long_bytes: usize,
    growing: FastMap<BufferKey, GrowingEntry>,
    next_key: BufferKey,
    displaced: u64,
    refused: u64,
}

impl AccountState {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: 0,
            long_bytes: 0,
            growing: FastMap::default(),
            next_key: 0,
            displaced: 0,
            refused: 0,
        }
    }

    pub(crate) fn set_limit(&mut self, bytes: usize) {
        self.limit_bytes = bytes;
    }

    pub(crate) fn usage(&self) -> BufferUsage {
        BufferUsage {
            limit_bytes: self.limit_bytes,
            used_bytes: self.used_bytes,
            displaced: self.displaced,
            refused: self.refused,
        }
    }

    /// Reserves `bytes` for a complete message.
    ///
    /// # Errors
    ///
    /// Returns [`BufferError::Full`] if there is no room.
    pub(crate) fn reserve(&mut self, now: TimePoint, bytes: usize) -> Result<(), BufferError> {
        self.make_room(now, None, bytes)?;
        self.add(bytes);
        Ok(())
    }

    /// Reserves `bytes` for a message that has begun and is not complete.
    ///
    /// # Errors
    ///
    /// Returns [`BufferError::Full`] if there is no room.
    pub(crate) fn start(
        &mut self,
        now: TimePoint,
        slot: &Arc<BufferSlot>,
        bytes: usize,
    ) -> Result<BufferKey, BufferError> {
        self.reserve(now, bytes)?;
        let key = self.next_key;
        self.next_key += 1;
        self.growing.insert(key, GrowingEntry { slot: Arc::clone(slot), bytes, started_at: now });
        Ok(key)
    }

    /// Reserves `bytes` for the next, larger memory of a buffer; its present memory stays reserved until
    /// [`Self::shrink`] is called.
    ///
    /// # Errors
    ///
    /// Returns [`BufferError::Displaced`] if the buffer was displaced, and [`BufferError::Full`] if there
    /// is no room.
    pub(crate) fn grow(
        &mut self,
        now: TimePoint,
        key: BufferKey,
        bytes: usize,
    ) -> Result<(), BufferError> {
        let Some(held) = self.growing.get(&key).map(|it| it.bytes) else {
            return Err(BufferError::Displaced);
        };
        let grown = held + bytes;
        // The buffer counts as one of its grown size while its own bytes are replaced.
        self.subtract(held);
        let made = self.make_room(now, Some(key), grown);
        self.add(if made.is_ok() { grown } else { held });
        if let (Ok(()), Some(entry)) = (&made, self.growing.get_mut(&key)) {
            entry.bytes = grown;
        }
        made
    }

    /// Gives back `bytes` of a buffer that has moved to a larger memory.
    pub(crate) fn shrink(&mut self, key: BufferKey, bytes: usize) {
        let Some(entry) = self.growing.get_mut(&key) else {
            return;
        };
        let held = entry.bytes;
        entry.bytes = held - bytes;
        self.subtract(held);
        self.add(held - bytes);
    }

    /// Ends the growth of a buffer, which can no longer be displaced; returns the bytes that it holds, or
    /// `None` if it was displaced.
    pub(crate) fn end_growth(&mut self, key: BufferKey) -> Option<usize> {
        self.growing.remove(&key).map(|it| it.bytes)
    }

    /// Gives back the `bytes` of a buffer that is no longer growing.
    pub(crate) fn release(&mut self, bytes: usize) {
        self.subtract(bytes);
    }

    /// Displaces buffers until `bytes` more fit; none of them is that of `own`.
    fn make_room(
        &mut self,
        now: TimePoint,
        own: Option<BufferKey>,
        bytes: usize,
    ) -> Result<(), BufferError> {
        while let Some(shortage) = self.shortage(bytes) {
            let Some(key) = self.stalest(now, own, shortage) else {
                self.refused += 1;
                return Err(BufferError::Full);
            };
            if let Some(entry) = self.growing.remove(&key) {
                entry.slot.displace();
                self.subtract(entry.bytes);
                self.displaced += 1;
            }
        }
        Ok(())
    }

    /// Returns which limit `bytes` more would exceed; `None` if they fit.
    ///
    /// A single buffer always fits, as does a single long one, so that the largest message is received if
    /// there are no others.
    fn shortage(&self, bytes: usize) -> Option<Shortage> {
        if self.used_bytes == 0 {
            return None;
        }
        let long_limit = self.limit_bytes / 100 * LONG_SHARE_PERCENT;
        if is_long(bytes) {
            let is_single = self.long_bytes == 0;
            return (!is_single && long_limit < self.long_bytes + bytes).then_some(Shortage::Long);
        }
        let short_bytes = self.used_bytes - self.long_bytes;
        let counted = short_bytes + self.long_bytes.min(long_limit);
        (self.limit_bytes < counted + bytes).then_some(Shortage::Any)
    }

    /// Returns the growing buffer without progress for the longest time, of those that may be displaced
    /// against `shortage`.
    fn stalest(
        &self,
        now: TimePoint,
        own: Option<BufferKey>,
        shortage: Shortage,
    ) -> Option<BufferKey> {
        let may_yield = |key: &BufferKey, entry: &GrowingEntry| {
            Some(*key) != own
                && PROTECTED_TIME <= now.since(entry.started_at)
                && (shortage == Shortage::Any || is_long(entry.bytes))
        };
        let candidates = self.growing.iter().filter(|(key, entry)| may_yield(key, entry));
        candidates.min_by_key(|(_, entry)| entry.slot.progress_at()).map(|(key, _)| *key)
    }

    fn add(&mut self, bytes: usize) {
        self.used_bytes += bytes;
        if is_long(bytes) {
            self.long_bytes += bytes;
        }
    }

    fn subtract(&mut self, bytes: usize) {
        self.used_bytes -= bytes;
        if is_long(bytes) {
            self.long_bytes -= bytes;
        }
    }
}

/// The limit that is exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shortage {
    /// That of all buffers.
    Any,
    /// That of the buffers that are not short.
    Long,
}

fn is_long(bytes: usize) -> bool {
    SHORT_BYTES < bytes
}
