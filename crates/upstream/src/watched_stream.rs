//! A TCP stream that records when bytes are received and that the pool can abort.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use futures::task::AtomicWaker;
use mux_model::TimePoint;
use mux_timer::TimerService;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::oneshot,
};

/// Progress of one connection, shared by its stream and the pool.
#[derive(Debug)]
pub(crate) struct StreamProgress {
    last_read_micros: AtomicU64,
    aborted: AtomicBool,
    waker: AtomicWaker,
}

impl StreamProgress {
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            last_read_micros: AtomicU64::new(now.as_micros()),
            aborted: AtomicBool::new(false),
            waker: AtomicWaker::new(),
        }
    }

    /// Returns when the last byte was read.
    pub(crate) fn last_read(&self) -> TimePoint {
        TimePoint::from_micros(self.last_read_micros.load(Ordering::Relaxed))
    }

    /// Returns whether the connection was aborted, as silent or because its dial timed out.
    pub(crate) fn is_aborted(&self) -> bool {
        self.aborted.load(Ordering::Acquire)
    }

    /// Aborts the connection, which fails all calls on it.
    pub(crate) fn abort(&self) {
        self.aborted.store(true, Ordering::Release);
        self.waker.wake();
    }

    fn record_read(&self, now: TimePoint) {
        self.last_read_micros.store(now.as_micros(), Ordering::Relaxed);
    }
}

/// TCP stream of a connection to an upstream.
pub(crate) struct WatchedStream {
    stream: TcpStream,
    timer: TimerService,
    progress: Arc<StreamProgress>,
    first_byte_tx: Option<oneshot::Sender<()>>,
}

impl WatchedStream {
    /// Wraps `stream`; `first_byte_tx` is signalled when the first byte is received.
    pub(crate) fn new(
        stream: TcpStream,
        timer: TimerService,
        progress: Arc<StreamProgress>,
        first_byte_tx: oneshot::Sender<()>,
    ) -> Self {
        Self { stream, timer, progress, first_byte_tx: Some(first_byte_tx) }
    }

    fn check_not_aborted(&self) -> io::Result<()> {
        if self.progress.is_aborted() {
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        Ok(())
    }

    fn record_read(&mut self) {
        self.progress.record_read(self.timer.now());
        if let Some(first_byte_tx) = self.first_byte_tx.take() {
            // The dial may have timed out meanwhile.
            let _ = first_byte_tx.send(());
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.progress.waker.register(cx.waker());
        self.check_not_aborted()?;
        let filled = buf.filled().len();
        let res = Pin::new(&mut self.stream).poll_read(cx, buf);
        if filled < buf.filled().len() {
            self.record_read();
        }
        res
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_not_aborted()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_not_aborted()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
