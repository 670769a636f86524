//! A relay between two ends of a link as a process.

use std::net::SocketAddr;

use serde_json::json;

use super::{ChildProcess, HttpClient, Program, WorkDirectory};

/// One relay.
#[derive(Debug)]
pub struct RelayProcess {
    /// Address that accepts connections or datagrams.
    pub address: SocketAddr,
    /// Address for control.
    pub control: SocketAddr,
    /// The process.
    pub process: ChildProcess,
    http: HttpClient,
}

impl RelayProcess {
    /// Starts the process for `protocol` (`tcp` or `udp`); it serves a moment later.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started.
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

    /// Returns whether the process answers.
    pub async fn is_up(&self) -> bool {
        self.http.get(self.control, "/v1/control").await.is_some()
    }

    /// Sets the mode: `pass`, `cut`, `silent_open` or `silent_all`.
    ///
    /// # Panics
    ///
    /// Panics if the process does not take it.
    pub async fn set_mode(&self, mode: &str) {
        let control = json!({ "mode": mode });
        self.http.put(self.control, "/v1/control", &control).await.expect("a mode taken");
    }
}
