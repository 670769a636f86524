//! A buffer for a message that arrives in pieces.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use bytes::Bytes;
use mux_model::TimePoint;
use tokio::sync::Notify;

use crate::{
    BufferAccount, BufferError,
    account_state::BufferKey,
    buffer_account::{BufferReservation, CountedMessage},
};

/// Smallest capacity, in bytes.
const MIN_CAPACITY: usize = 256;

/// The memory of a buffer, which the account can take back.
#[derive(Debug)]
pub(crate) struct BufferSlot {
    /// `None` after the buffer was displaced.
    content: Mutex<Option<Vec<u8>>>,
    displaced: Notify,
    /// When the latest piece was added, in microseconds of the timer.
    progress_at: AtomicU64,
}

/// A buffer for one message, whose capacity counts in its account.
///
/// The account may displace it before [`Self::finish`] to make room for other messages.
#[derive(Debug)]
pub struct GrowingBuffer {
    account: BufferAccount,
    slot: Arc<BufferSlot>,
    /// `None` while the buffer has no memory.
    key: Option<BufferKey>,
    capacity: usize,
    max_bytes: usize,
}

impl BufferSlot {
    /// Frees the memory at once, and wakes the receiver of the message.
    pub(crate) fn displace(&self) {
        drop(self.content.lock().unwrap_or_else(PoisonError::into_inner).take());
        self.displaced.notify_one();
    }

    /// Returns when the latest piece was added, in microseconds of the timer.
    pub(crate) fn progress_at(&self) -> u64 {
        self.progress_at.load(Ordering::Relaxed)
    }

    /// Appends `piece` if it fits into the capacity; returns `false` if it does not.
    fn try_append(&self, now: TimePoint, piece: &[u8]) -> Result<bool, BufferError> {
        let mut content = self.content.lock().unwrap_or_else(PoisonError::into_inner);
        let content = content.as_mut().ok_or(BufferError::Displaced)?;
        if content.capacity() - content.len() < piece.len() {
            return Ok(false);
        }
        content.extend_from_slice(piece);
        self.progress_at.store(now.as_micros(), Ordering::Relaxed);
        Ok(true)
    }

    /// Moves the content to `larger`.
    fn replace(&self, mut larger: Vec<u8>) -> Result<(), BufferError> {
        let mut content = self.content.lock().unwrap_or_else(PoisonError::into_inner);
        let content = content.as_mut().ok_or(BufferError::Displaced)?;
        larger.extend_from_slice(content);
        *content = larger;
        Ok(())
    }

    fn len(&self) -> usize {
        let content = self.content.lock().unwrap_or_else(PoisonError::into_inner);
        content.as_ref().map_or(0, Vec::len)
    }
}

impl GrowingBuffer {
    pub(crate) fn new(account: BufferAccount, max_bytes: usize) -> Self {
        let slot = BufferSlot {
            content: Mutex::new(Some(Vec::new())),
            displaced: Notify::new(),
            progress_at: AtomicU64::new(0),
        };
        Self { account, slot: Arc::new(slot), key: None, capacity: 0, max_bytes }
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.slot.len()
    }

    /// Returns whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends a piece of the message.
    ///
    /// # Errors
    ///
    /// Returns [`BufferError`] if there is no room for it, or the buffer was displaced.
    pub fn append(&mut self, now: TimePoint, piece: &[u8]) -> Result<(), BufferError> {
        if self.slot.try_append(now, piece)? {
            return Ok(());
        }
        self.grow(now, self.slot.len() + piece.len())?;
        match self.slot.try_append(now, piece)? {
            true => Ok(()),
            false => Err(BufferError::Full),
        }
    }

    /// Waits until the buffer is displaced.
    pub async fn wait_until_displaced(&self) {
        self.slot.displaced.notified().await;
    }

    /// Ends the growth and returns the message; its memory counts until the last copy of it is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`BufferError::Displaced`] if the buffer was displaced.
    pub fn finish(mut self) -> Result<Bytes, BufferError> {
        let Some(key) = self.key.take() else {
            return Ok(Bytes::new());
        };
        let held = self.account.lock().end_growth(key).ok_or(BufferError::Displaced)?;
        let reservation = BufferReservation::new(self.account.clone(), held);
        let content = self.slot.content.lock().unwrap_or_else(PoisonError::into_inner).take();
        Ok(CountedMessage::count(content.ok_or(BufferError::Displaced)?, reservation))
    }

    /// Moves the content to a memory of `needed` bytes or more.
    fn grow(&mut self, now: TimePoint, needed: usize) -> Result<(), BufferError> {
        let preferred = (2 * self.capacity).max(MIN_CAPACITY).min(self.max_bytes);
        let capacity = needed.max(preferred);
        match self.key {
            Some(key) => self.account.lock().grow(now, key, capacity)?,
            None => self.key = Some(self.account.lock().start(now, &self.slot, capacity)?),
        }
        self.slot.replace(Vec::with_capacity(capacity))?;
        if let Some(key) = self.key {
            self.account.lock().shrink(key, self.capacity);
        }
        self.capacity = capacity;
        Ok(())
    }
}

impl Drop for GrowingBuffer {
    fn drop(&mut self) {
        let Some(key) = self.key else {
            return;
        };
        let held = self.account.lock().end_growth(key);
        // A displaced buffer holds nothing.
        if let Some(held) = held {
            drop(self.slot.content.lock().unwrap_or_else(PoisonError::into_inner).take());
            self.account.lock().release(held);
        }
    }
}
