//! Process of the stand-in for the platform.

use std::net::SocketAddr;

use base64::{Engine, prelude::BASE64_STANDARD};
use serde_json::{Value, json};

use super::{ChildProcess, HttpClient, Program, WorkDirectory};

/// Stand-in for the platform: the key-value service and the VM list.
#[derive(Debug)]
pub struct KvProcess {
    /// Address of the key-value service.
    pub address: SocketAddr,
    /// The process.
    pub process: ChildProcess,
    http: HttpClient,
}

impl KvProcess {
    /// Starts the process without waiting until it serves.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be started.
    pub fn start(directory: &WorkDirectory, address: SocketAddr) -> Self {
        let path = directory.write("kv", &json!({ "listen": address }));
        let arguments = ["kv", "--settings", &path.to_string_lossy()];
        let process = ChildProcess::start(directory, "kv", Program::Standins, &arguments);
        Self { address, process, http: HttpClient::new() }
    }

    /// Returns the call counters, or `None` if the process does not reply.
    pub async fn counters(&self) -> Option<Value> {
        self.http.get(self.address, "/v1/counters").await
    }

    /// Replaces the injected faults, e.g. with `{"down": true}`; omitted faults are turned off.
    ///
    /// # Panics
    ///
    /// Panics if the faults are not accepted.
    pub async fn set_faults(&self, faults: &Value) {
        self.http.put(self.address, "/v1/faults", faults).await.expect("the faults are accepted");
    }

    /// Writes an entry with this text, as another writer may do.
    ///
    /// # Panics
    ///
    /// Panics if the entry is not accepted.
    pub async fn write_entry(&self, key: &str, text: &str) {
        let entry = json!({ "key": key, "value": text });
        self.http.put(self.address, "/v1/entries", &entry).await.expect("the entry is accepted");
    }

    /// Returns the text of an entry; `None` if the process does not reply or there is none.
    pub async fn read_entry(&self, key: &str) -> Option<String> {
        let path = format!("/api/kv-key?Key={key}");
        let item = self.http.get(self.address, &path).await?;
        let bytes = BASE64_STANDARD.decode(item["Value"].as_str()?).ok()?;
        String::from_utf8(bytes).ok()
    }

    /// Replaces the VM list.
    ///
    /// # Panics
    ///
    /// Panics if the list is not accepted.
    pub async fn set_vms(&self, vms: &Value) {
        self.http.put(self.address, "/v1/vms", vms).await.expect("the VM list is accepted");
    }
}
