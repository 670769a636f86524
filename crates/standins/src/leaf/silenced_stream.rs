//! TCP stream that can stall while it stays open.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::watch,
};

/// TCP stream of one connection; stalls for good once `silenced_up_to` reaches its number.
pub(crate) struct SilencedStream {
    stream: TcpStream,
    number: u64,
    silenced_up_to: watch::Receiver<u64>,
}

impl SilencedStream {
    pub(crate) fn new(
        stream: TcpStream,
        number: u64,
        silenced_up_to: watch::Receiver<u64>,
    ) -> Self {
        Self { stream, number, silenced_up_to }
    }

    /// A silent stream registers no waker, so that its task never continues by itself; only the
    /// peer or the end of the process closes the connection.
    fn is_silent(&self) -> bool {
        self.number <= *self.silenced_up_to.borrow()
    }
}

impl AsyncRead for SilencedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for SilencedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
