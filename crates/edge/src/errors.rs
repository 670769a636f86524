//! Failures that keep a node from serving.

use std::{fmt, io, net::SocketAddr};

/// Why a node could not start.
#[derive(Debug)]
pub enum EdgeError {
    /// A listener could not be opened.
    Listen {
        /// What it is for.
        purpose: &'static str,
        /// Its address.
        address: SocketAddr,
        /// The cause.
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
            Self::Runtime(source) => write!(f, "cannot start the runtime: {source}"),
        }
    }
}

impl std::error::Error for EdgeError {}
