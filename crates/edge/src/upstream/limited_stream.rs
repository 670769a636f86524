//! Byte stream of a connection that ends a reply which is too long.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that may still be read from a connection.
///
/// Counting what is read covers what never becomes a part of a message, such as interim replies, empty
/// lines and chunk sizes.
#[derive(Debug, Clone)]
pub(super) struct ReadAllowance {
    bytes_left: Arc<AtomicUsize>,
}

impl ReadAllowance {
    fn new() -> Self {
        Self { bytes_left: Arc::new(AtomicUsize::new(usize::MAX)) }
    }

    /// Allows `bytes` from now on.
    pub(super) fn set(&self, bytes: usize) {
        self.bytes_left.store(bytes, Ordering::Relaxed);
    }

    /// Makes the next read fail, which closes the connection.
    pub(super) fn revoke(&self) {
        self.set(0);
    }

    fn is_exhausted(&self) -> bool {
        self.bytes_left.load(Ordering::Relaxed) == 0
    }

    fn use_bytes(&self, count: usize) {
        let subtract = |it: usize| Some(it.saturating_sub(count));
        // The closure always returns a value, so the update does not fail.
        let _ = self.bytes_left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
    }
}

/// A TCP stream from which only a limited number of bytes can be read.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
    /// Bytes that each write allows; `None` if only the holder of the allowance sets it.
    reply_limit: Option<usize>,
}

impl LimitedStream {
    /// Wraps `stream`; its allowance is not limited yet.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { stream, allowance: ReadAllowance::new(), reply_limit: None }
    }

    /// Wraps the stream of a connection that carries one request at a time: up to `bytes` may be read
    /// after each write.
    pub fn with_reply_limit(stream: TcpStream, bytes: usize) -> Self {
        Self { reply_limit: Some(bytes), ..Self::new(stream) }
    }

    /// Returns a handle to the allowance.
    pub(super) fn allowance(&self) -> ReadAllowance {
        self.allowance.clone()
    }

    fn renew_allowance(&self) {
        if let Some(bytes) = self.reply_limit {
            self.allowance.set(bytes);
        }
    }
}

impl Connection for LimitedStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_exhausted() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "reply exceeds its size limit");
            return Poll::Ready(Err(error));
        }
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.allowance.use_bytes(buffer.filled().len() - filled_before);
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.renew_allowance();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.renew_allowance();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
