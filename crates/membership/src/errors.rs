//! Errors of the gossip service and its codec.

use std::{fmt, io, net::SocketAddr};

/// Error from starting the gossip service.
#[derive(Debug)]
pub enum GossipError {
    /// Binding the UDP socket failed.
    Bind {
        /// Local address to bind.
        address: SocketAddr,
        /// Underlying I/O error.
        source: io::Error,
    },
}

impl fmt::Display for GossipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { address, source } => {
                write!(f, "cannot bind the gossip UDP socket to {address}: {source}")
            }
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

/// Reason for dropping a received datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CodecError {
    /// The datagram is truncated, has trailing bytes or cannot be decoded.
    Malformed,
    /// The datagram was sent by another cluster or with another protocol version.
    Foreign,
}
