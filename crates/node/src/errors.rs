//! Errors of starting a node.

use std::{fmt, io, net::SocketAddr};

use mux_membership::GossipError;

/// Reason why a node could not start.
#[derive(Debug)]
pub enum StartError {
    /// The runtime, the metrics server or a signal handler could not be started.
    Runtime(io::Error),
    /// A listener could not be opened.
    Listen {
        /// Settings key of the listener.
        key: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The settings allow more connections than the descriptors of the process.
    TooFewDescriptors {
        /// Connections that `caller_limits.connections` allows.
        connections: usize,
        /// Connections that the descriptors allow.
        allowed: usize,
        /// Descriptors of the process.
        descriptors: usize,
    },
    /// Gossip could not be started.
    Gossip(GossipError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Runtime(source) => write!(
                f,
                "cannot start the runtime, the metrics server or a signal handler: {source}"
            ),
            Self::Listen { key, address, source } => write!(
                f,
                "cannot listen on {address} ({key}): {source}; choose a free address of this VM"
            ),
            Self::TooFewDescriptors { connections, allowed, descriptors } => write!(
                f,
                "caller_limits.connections is {connections}, but the limit of {descriptors} open \
                 descriptors leaves {allowed} to callers; lower the one or raise the other"
            ),
            Self::Gossip(source) => write!(f, "cannot start gossip on listen.peer: {source}"),
        }
    }
}

impl std::error::Error for StartError {}
