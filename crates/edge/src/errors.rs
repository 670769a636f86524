//! Errors in starting a node.

use std::{fmt, io, net::SocketAddr};

/// Error that prevents a node from starting.
#[derive(Debug)]
pub enum EdgeError {
    /// A listener could not be opened.
    Listen {
        /// Purpose of the listener.
        purpose: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// The runtime or a signal handler could not be set up.
    Runtime(io::Error),
}

impl fmt::Display for EdgeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { purpose, address, source } => {
                write!(f, "cannot listen on {address} for {purpose}: {source}")
            }
            Self::Runtime(source) => {
                write!(f, "cannot set up the runtime or a signal handler: {source}")
            }
        }
    }
}

impl std::error::Error for EdgeError {}
