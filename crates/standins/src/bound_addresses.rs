//! Report of the addresses that a test double listens on.

use std::{io, net::SocketAddr};

use serde::Serialize;

/// Addresses of one upstream or relay. Settings may name port 0, so that the operating system
/// chooses free ports that no other process can take in between.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct BoundAddresses {
    /// Address that receives connections or datagrams.
    pub(crate) listen: SocketAddr,
    /// Address of the HTTP control server.
    pub(crate) control: Option<SocketAddr>,
}

impl BoundAddresses {
    /// Prints the addresses as one line of JSON on standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if the line cannot be written.
    pub(crate) fn print(&self) -> io::Result<()> {
        use std::io::Write;

        let line = serde_json::to_string(self)?;
        let mut output = io::stdout().lock();
        writeln!(output, "{line}")?;
        output.flush()
    }
}
