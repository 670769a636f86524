//! Process of a leaf, the stand-in for an upstream.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::{ChildProcess, HttpClient, Program, WorkDirectory, with_overrides};

/// Leaf: stand-in for an upstream that counts its calls by query key and shard.
#[derive(Debug)]
pub struct LeafProcess {
    /// Address for calls from nodes.
    pub address: SocketAddr,
    /// Address of the control interface.
    pub control: SocketAddr,
    /// The process.
    pub process: ChildProcess,
    http: HttpClient,
}

impl LeafProcess {
    /// Starts the process, with `settings` overriding the default ones, without waiting until it
    /// serves.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be started or `settings` is not a JSON object.
    pub fn start(
        directory: &WorkDirectory,
        address: SocketAddr,
        control: SocketAddr,
        settings: &Value,
    ) -> Self {
        let leaf = json!({
            "listen": address, "control_listen": control, "availability_zone": "muc-a",
            "record_calls": true, "seed": 1,
        });
        let leaf = with_overrides(leaf, settings);
        let name = format!("leaf-{}", address.port());
        let path = directory.write(&name, &json!({ "leaves": [leaf] }));
        let arguments = ["leaf", "--settings", &path.to_string_lossy()];
        let process = ChildProcess::start(directory, &name, Program::Standins, &arguments);
        Self { address, control, process, http: HttpClient::new() }
    }

    /// Returns the counters and the calls by key, or `None` if the process does not reply.
    pub async fn report(&self) -> Option<Value> {
        self.http.get(self.control, "/v1/control").await
    }

    /// Changes the behaviour; omitted members keep their values.
    ///
    /// # Panics
    ///
    /// Panics if the change is not accepted.
    pub async fn set_behaviour(&self, change: &Value) {
        self.http.put(self.control, "/v1/control", change).await.expect("the change is accepted");
    }

    /// Returns a counter of the report, e.g. `runs`.
    ///
    /// # Panics
    ///
    /// Panics if the process does not reply or has no such counter.
    pub async fn count(&self, name: &str) -> i64 {
        let report = self.report().await.expect("the leaf returns its report");
        report[name].as_i64().unwrap_or_else(|| panic!("the leaf has no counter {name}"))
    }

    /// Returns the number of runs of the query with the key `key` on `shard`.
    ///
    /// # Panics
    ///
    /// Panics if the process does not reply.
    pub async fn runs(&self, key: &str, shard: u64) -> u64 {
        let report = self.report().await.expect("the leaf returns its report");
        report["calls"]["run"][format!("{key}/{shard}")].as_u64().unwrap_or(0)
    }
}
