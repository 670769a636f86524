//! Classification of HTTP/2 stream errors by whether the request may have run.

use std::error::Error;

use mux_model::{CallFailure, NotRunReason};

/// Error text of the HTTP/2 library for RST_STREAM with REFUSED_STREAM (RFC 9113, 8.7).
const REFUSED_STREAM_TEXT: &str =
    "stream error received: refused stream before processing any application logic";
/// Prefix of the error text for a stream above the last identifier of a received GOAWAY frame.
const GO_AWAY_TEXT: &str = "connection error received: ";
/// Prefix of the error text for any other RST_STREAM.
const RESET_TEXT: &str = "stream error received: ";

/// Prefix of the error text for a stream that the library resets because of a protocol violation,
/// for example a body shorter than its declared length.
const MALFORMED_TEXT: &str = "stream error detected: ";

/// Reason why a stream ended without a complete reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// The upstream declared that it did not process the stream.
    Unprocessed,
    /// The upstream reset the stream.
    Reset,
    /// The reply violates the protocol.
    Malformed,
    /// The connection was lost.
    ConnectionLost,
}

impl StreamFault {
    /// Classifies an error of the HTTP library.
    ///
    /// The library does not expose the type of the cause, so its text is compared. An unknown text
    /// counts as a lost connection, after which the request may have run.
    pub(crate) fn classify(error: &hyper::Error) -> Self {
        let Some(source) = error.source() else {
            return Self::ConnectionLost;
        };
        let text = source.to_string();
        if text == REFUSED_STREAM_TEXT || text.starts_with(GO_AWAY_TEXT) {
            return Self::Unprocessed;
        }
        if text.starts_with(RESET_TEXT) {
            return Self::Reset;
        }
        if text.starts_with(MALFORMED_TEXT) {
            return Self::Malformed;
        }
        Self::ConnectionLost
    }

    /// Returns the failure of a call whose response head was not received.
    pub(crate) fn before_reply(self) -> CallFailure {
        match self {
            Self::Unprocessed => not_sent(),
            Self::Reset => CallFailure::UpstreamError,
            Self::Malformed => CallFailure::BadReply,
            Self::ConnectionLost => CallFailure::ConnectionLost,
        }
    }

    /// Returns the failure of a call whose response head was received.
    pub(crate) fn within_reply(self) -> CallFailure {
        match self {
            Self::Unprocessed | Self::ConnectionLost => CallFailure::ConnectionLost,
            Self::Reset | Self::Malformed => CallFailure::BadReply,
        }
    }
}

/// Returns the failure of a call that was not sent or that the upstream did not process.
pub(crate) fn not_sent() -> CallFailure {
    CallFailure::NotRun { reason: NotRunReason::NotSent, retry_after: None }
}
