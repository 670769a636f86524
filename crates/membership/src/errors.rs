//! Errors of the gossip service and its codec.

use std::{fmt, io, net::SocketAddr};

/// Why the gossip service could not start.
#[derive(Debug)]
pub enum GossipError {
    /// The UDP socket could not be opened.
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

impl fmt::Display for GossipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { address, source } => write!(f, "cannot bind UDP {address}: {source}"),
        }
    }
}

impl std::error::Error for GossipError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Bind { source, .. } => Some(source),
        }
    }
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CodecError {
    /// The datagram is not a complete message.
    Malformed,
    /// The datagram belongs to another cluster or protocol version.
    Foreign,
}
