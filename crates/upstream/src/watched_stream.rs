//! A TCP stream that records its progress and can be ended from outside.

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

/// Progress of one connection, shared between its stream and the pool.
#[derive(Debug)]
pub(crate) struct StreamProgress {
    last_read_micros: AtomicU64,
    silent: AtomicBool,
    waker: AtomicWaker,
}

impl StreamProgress {
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            last_read_micros: AtomicU64::new(now.as_micros()),
            silent: AtomicBool::new(false),
            waker: AtomicWaker::new(),
        }
    }

    /// Returns when the last byte was read.
    pub(crate) fn last_read(&self) -> TimePoint {
        TimePoint::from_micros(self.last_read_micros.load(Ordering::Relaxed))
    }

    /// Returns whether the connection was retired for lack of progress.
    pub(crate) fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }

    /// Ends the connection, and with it every call on it.
    pub(crate) fn retire(&self) {
        self.silent.store(true, Ordering::Release);
        self.waker.wake();
    }

    fn record_read(&self, now: TimePoint) {
        self.last_read_micros.store(now.as_micros(), Ordering::Relaxed);
    }
}

/// TCP stream of one upstream connection.
pub(crate) struct WatchedStream {
    stream: TcpStream,
    timer: TimerService,
    progress: Arc<StreamProgress>,
    opened: Option<oneshot::Sender<()>>,
}

impl WatchedStream {
    /// Wraps `stream`; `opened` is signalled by the first byte that the upstream sends.
    pub(crate) fn new(
        stream: TcpStream,
        timer: TimerService,
        progress: Arc<StreamProgress>,
        opened: oneshot::Sender<()>,
    ) -> Self {
        Self { stream, timer, progress, opened: Some(opened) }
    }

    fn check_silent(&self) -> io::Result<()> {
        if self.progress.is_silent() {
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        Ok(())
    }

    fn record_read(&mut self) {
        self.progress.record_read(self.timer.now());
        if let Some(opened) = self.opened.take() {
            // The dial may have been given up meanwhile.
            let _ = opened.send(());
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
        self.check_silent()?;
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
        self.check_silent()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_silent()?;
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
