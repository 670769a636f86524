//! Process of a relay that injects network faults.

use std::net::SocketAddr;

use serde_json::json;

use super::{ChildProcess, HttpClient, Program, WorkDirectory};

/// TCP or UDP relay to one target.
#[derive(Debug)]
pub struct RelayProcess {
    /// Address that accepts connections or receives datagrams.
    pub address: SocketAddr,
    /// Address of the control interface.
    pub control: SocketAddr,
    /// The process.
    pub process: ChildProcess,
    http: HttpClient,
}

impl RelayProcess {
    /// Starts a relay for `protocol` (`tcp` or `udp`) without waiting until it serves.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be started.
    pub fn start(
        directory: &WorkDirectory,
        address: SocketAddr,
        control: SocketAddr,
        target: SocketAddr,
        protocol: &str,
    ) -> Self {
        let relay = json!({
            "listen": address, "target": target, "control_listen": control, "protocol": protocol,
        });
        let name = format!("relay-{}", address.port());
        let path = directory.write(&name, &json!({ "relays": [relay] }));
        let arguments = ["relay", "--settings", &path.to_string_lossy()];
        let process = ChildProcess::start(directory, &name, Program::Standins, &arguments);
        Self { address, control, process, http: HttpClient::new() }
    }

    /// Returns whether the control interface replies.
    pub async fn is_ready(&self) -> bool {
        self.http.get(self.control, "/v1/control").await.is_some()
    }

    /// Sets the mode: `pass`, `cut`, `silent_open` or `silent_all`.
    ///
    /// # Panics
    ///
    /// Panics if the mode is not accepted.
    pub async fn set_mode(&self, mode: &str) {
        let control = json!({ "mode": mode });
        self.http.put(self.control, "/v1/control", &control).await.expect("the mode is accepted");
    }
}
