//! The memory that buffers share.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use mux_model::TimePoint;

use crate::{GrowingBuffer, account_state::AccountState};

/// Memory that the buffers of received messages share, with a limit in bytes.
///
/// What counts is the capacity of a buffer, from its first byte until the last holder of the message is
/// dropped. When the limit is reached, the buffer of an incomplete message that has made no progress for
/// the longest time is displaced; if there is none that has been there for a while, the new message is
/// refused. A quarter of the limit is left to short messages. A single long message always fits.
#[derive(Debug, Clone)]
pub struct BufferAccount {
    state: Arc<Mutex<AccountState>>,
}

/// Reason why a message cannot be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BufferError {
    /// The limit of the account is reached.
    Full,
    /// The buffer was displaced by another message.
    Displaced,
}

/// State of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferUsage {
    /// The limit, in bytes.
    pub limit_bytes: usize,
    /// Bytes in use.
    pub used_bytes: usize,
    /// Number of buffers displaced so far.
    pub displaced: u64,
    /// Number of messages refused so far.
    pub refused: u64,
}

impl fmt::Display for BufferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Full => "the memory for messages is in use",
            Self::Displaced => "the message was displaced, as it made no progress",
        };
        f.write_str(text)
    }
}

impl std::error::Error for BufferError {}

impl BufferAccount {
    /// Creates an account with a limit of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self { state: Arc::new(Mutex::new(AccountState::new(limit_bytes))) }
    }

    /// Changes the limit; what is in use stays so.
    pub fn set_limit(&self, bytes: usize) {
        self.lock().set_limit(bytes);
    }

    /// Returns the state of the account.
    pub fn usage(&self) -> BufferUsage {
        self.lock().usage()
    }

    /// Returns a buffer for a message of at most `max_bytes`; it uses no memory yet.
    pub fn start_buffer(&self, max_bytes: usize) -> GrowingBuffer {
        GrowingBuffer::new(self.clone(), max_bytes)
    }

    /// Copies a message that was received in one piece.
    ///
    /// # Errors
    ///
    /// Returns [`BufferError::Full`] if there is no room.
    pub fn store(&self, now: TimePoint, message: &[u8]) -> Result<Bytes, BufferError> {
        self.lock().reserve(now, message.len())?;
        let reservation = BufferReservation { account: self.clone(), bytes: message.len() };
        Ok(CountedMessage::count(message.to_vec(), reservation))
    }

    /// Counts a message that is in memory of its own until it is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`BufferError::Full`] if there is no room.
    pub fn adopt(&self, now: TimePoint, message: Bytes) -> Result<Bytes, BufferError> {
        if message.is_empty() {
            return Ok(message);
        }
        self.lock().reserve(now, message.len())?;
        let reservation = BufferReservation { account: self.clone(), bytes: message.len() };
        Ok(CountedMessage::count(message, reservation))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, AccountState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes that a complete message uses; given back when it is dropped.
#[derive(Debug)]
pub(crate) struct BufferReservation {
    account: BufferAccount,
    bytes: usize,
}

impl BufferReservation {
    /// Takes over `bytes` that `account` counts already.
    pub(crate) fn new(account: BufferAccount, bytes: usize) -> Self {
        Self { account, bytes }
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.account.lock().release(self.bytes);
    }
}

/// A complete message with the memory that it uses.
pub(crate) struct CountedMessage<T> {
    content: T,
    _reservation: BufferReservation,
}

impl<T: AsRef<[u8]> + Send + 'static> CountedMessage<T> {
    /// Returns the message; its memory counts until the last copy of the returned value is dropped.
    pub(crate) fn count(content: T, reservation: BufferReservation) -> Bytes {
        Bytes::from_owner(Self { content, _reservation: reservation })
    }
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for CountedMessage<T> {
    fn as_ref(&self) -> &[u8] {
        self.content.as_ref()
    }
}
