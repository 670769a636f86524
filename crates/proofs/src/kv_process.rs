//! The platform stand-in as a process.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::{ChildProcess, HttpClient, Program, WorkDirectory};

/// The key-value service and the VM list.
#[derive(Debug)]
pub struct KvProcess {
    /// Address of the service.
    pub address: SocketAddr,
    /// The process.
    pub process: ChildProcess,
    http: HttpClient,
}

impl KvProcess {
    /// Starts the process; it serves a moment later.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started.
    pub fn start(directory: &WorkDirectory, address: SocketAddr) -> Self {
        let path = directory.write("kv", &json!({ "listen": address }));
        let arguments = ["kv", "--settings", &path.to_string_lossy()];
        let process = ChildProcess::start(directory, "kv", Program::Standins, &arguments);
        Self { address, process, http: HttpClient::new() }
    }

    /// Returns the counts of calls; `None` if the process does not answer.
    pub async fn counters(&self) -> Option<Value> {
        self.http.get(self.address, "/v1/counters").await
    }

    /// Replaces the faults shown, such as `{"down": true}`; what is left out shows none.
    ///
    /// # Panics
    ///
    /// Panics if the process does not take them.
    pub async fn set_faults(&self, faults: &Value) {
        self.http.put(self.address, "/v1/faults", faults).await.expect("faults taken");
    }

    /// Replaces the VM list.
    ///
    /// # Panics
    ///
    /// Panics if the process does not take it.
    pub async fn set_vms(&self, vms: &Value) {
        self.http.put(self.address, "/v1/vms", vms).await.expect("VM list taken");
    }
}
