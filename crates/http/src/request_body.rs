//! Receives the bodies of requests into memory that they share.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use mux_buffers::{BufferAccount, BufferError};
use mux_timer::TimerService;

use crate::connection_tracker::RequestProgress;

/// Time for which the rest of a body that is not accepted is still read. A connection that is closed with
/// unread bytes is reset, and the caller might lose the response.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Limits of the body of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Longest body, in bytes.
    pub max_bytes: usize,
    /// Time within which the whole body must arrive.
    pub receive_time: Duration,
}

/// Reason why a body was not received.
#[derive(Debug)]
pub enum BodyError {
    /// It is longer than [`BodyLimits::max_bytes`].
    TooLong,
    /// It did not arrive within [`BodyLimits::receive_time`].
    TimedOut,
    /// It is malformed, or its connection ended.
    Malformed(hyper::Error),
    /// There is no memory for it.
    NoMemory(BufferError),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("the body is too long"),
            Self::TimedOut => f.write_str("the body took too long"),
            Self::Malformed(error) => write!(f, "the body is malformed: {error}"),
            Self::NoMemory(error) => write!(f, "no memory for the body: {error}"),
        }
    }
}

impl std::error::Error for BodyError {}

impl From<BufferError> for BodyError {
    fn from(error: BufferError) -> Self {
        Self::NoMemory(error)
    }
}

/// Receives the body of the request with this `head` into memory that counts in `account` until the returned value is dropped.
///
/// # Errors
///
/// Returns [`BodyError`] if the body exceeds a limit, is malformed, or finds no memory. What is left of a
/// body that is too long or finds no memory is read and discarded for up to a second.
pub async fn receive_body(
    timer: &TimerService,
    account: &BufferAccount,
    head: &Parts,
    mut body: Incoming,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let collecting = collect_body(timer, account, &mut body, limits.max_bytes);
    let received =
        timer.timeout(limits.receive_time, collecting).await.unwrap_or(Err(BodyError::TimedOut));
    if received.is_ok()
        && let Some(progress) = head.extensions.get::<RequestProgress>()
        && !progress.end_body(timer.now())
    {
        // The connection is being closed, so the request must not run.
        return Err(BufferError::Displaced.into());
    }
    if let Err(BodyError::TooLong | BodyError::NoMemory(_)) = received {
        discard_rest(timer.clone(), body);
    }
    received
}

async fn collect_body(
    timer: &TimerService,
    account: &BufferAccount,
    body: &mut Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let exact_bytes = body.size_hint().exact().map(|it| usize::try_from(it).unwrap_or(usize::MAX));
    if exact_bytes.is_some_and(|it| max_bytes < it) {
        return Err(BodyError::TooLong);
    }
    let mut buffer = account.start_buffer(exact_bytes.unwrap_or(max_bytes));
    let mut received_bytes = 0;
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = buffer.wait_until_displaced() => return Err(BufferError::Displaced.into()),
        };
        let Some(frame) = frame else {
            return Ok(buffer.finish()?);
        };
        // Trailers are not forwarded.
        let Ok(data) = frame.map_err(BodyError::Malformed)?.into_data() else {
            continue;
        };
        if max_bytes - received_bytes < data.len() {
            return Err(BodyError::TooLong);
        }
        if received_bytes == 0 && body.is_end_stream() {
            return Ok(account.store(timer.now(), &data)?);
        }
        buffer.append(timer.now(), &data)?;
        received_bytes += data.len();
    }
}

fn discard_rest(timer: TimerService, mut body: Incoming) {
    tokio::spawn(async move {
        let discard = async { while let Some(Ok(_)) = body.frame().await {} };
        // If the body does not end in that time, its connection is closed.
        let _ = timer.timeout(DISCARD_TIME, discard).await;
    });
}
