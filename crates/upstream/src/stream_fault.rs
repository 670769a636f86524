//! What the end of an HTTP/2 stream says about the execution of its request.

use std::error::Error;

use mux_model::{CallFailure, NotRunReason};

/// Text with which the HTTP/2 library reports RST_STREAM with REFUSED_STREAM (RFC 9113, 8.7).
const REFUSED_STREAM_TEXT: &str =
    "stream error received: refused stream before processing any application logic";
/// Start of the text for a stream above the last identifier of a received GOAWAY frame.
const GO_AWAY_TEXT: &str = "connection error received: ";
/// Start of the text for any other reset of one stream.
const RESET_TEXT: &str = "stream error received: ";

/// Start of the text for a stream that the library itself ends because it breaks the protocol,
/// for example because the body is shorter than its stated length.
const MALFORMED_TEXT: &str = "stream error detected: ";

/// Why a stream ended without a complete reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// The upstream says that it did not process the stream.
    Unprocessed,
    /// The upstream reset the stream.
    Reset,
    /// The reply breaks the protocol.
    Malformed,
    /// The connection ended.
    Connection,
}

impl StreamFault {
    /// Classifies an error of the HTTP library.
    ///
    /// The library hides the type of its cause, so its text is compared. Text that is not known
    /// counts as a lost connection, which never claims that a request did not run.
    pub(crate) fn of(error: &hyper::Error) -> Self {
        let Some(source) = error.source() else {
            return Self::Connection;
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
        Self::Connection
    }

    /// Returns the failure of a call whose reply had not begun.
    pub(crate) fn before_reply(self) -> CallFailure {
        match self {
            Self::Unprocessed => not_sent(),
            Self::Reset => CallFailure::UpstreamError,
            Self::Malformed => CallFailure::BadReply,
            Self::Connection => CallFailure::ConnectionLost,
        }
    }

    /// Returns the failure of a call whose reply had begun.
    pub(crate) fn within_reply(self) -> CallFailure {
        match self {
            Self::Unprocessed | Self::Connection => CallFailure::ConnectionLost,
            Self::Reset | Self::Malformed => CallFailure::BadReply,
        }
    }
}

/// Returns the failure of a call of which no byte was written.
pub(crate) fn not_sent() -> CallFailure {
    CallFailure::NotRun { reason: NotRunReason::NotSent, retry_after: None }
}
