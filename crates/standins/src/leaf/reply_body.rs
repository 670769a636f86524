//! Reply bodies of an upstream.

use std::io;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// Body that may be truncated by an error.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a complete body.
pub(crate) fn full(text: impl Into<Bytes>) -> ReplyBody {
    Full::new(text.into()).map_err(|never| match never {}).boxed_unsync()
}
