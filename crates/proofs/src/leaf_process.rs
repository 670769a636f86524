//! An upstream stand-in as a process.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::{ChildProcess, HttpClient, Program, WorkDirectory, with_overrides};

/// One upstream, which records its calls by name.
#[derive(Debug)]
pub struct LeafProcess {
    /// Address for calls.
    pub address: SocketAddr,
    /// Address for control.
    pub control: SocketAddr,
    /// The process.
    pub process: ChildProcess,
    http: HttpClient,
}

impl LeafProcess {
    /// Starts the process with the members of `settings` besides the usual ones; it serves a
    /// moment later.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started or `settings` is no object.
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

    /// Returns the counts and the calls by name; `None` if the process does not answer.
    pub async fn report(&self) -> Option<Value> {
        self.http.get(self.control, "/v1/control").await
    }

    /// Changes the behaviour; what is left out stays as it is.
    ///
    /// # Panics
    ///
    /// Panics if the process does not take the change.
    pub async fn set_behaviour(&self, change: &Value) {
        self.http.put(self.control, "/v1/control", change).await.expect("a change taken");
    }

    /// Returns a count of the report, such as `runs`.
    ///
    /// # Panics
    ///
    /// Panics if the process does not answer or has no such count.
    pub async fn count(&self, name: &str) -> i64 {
        let report = self.report().await.expect("a report");
        report[name].as_i64().unwrap_or_else(|| panic!("no count {name}"))
    }

    /// Returns how often the query with member `key` was run for `shard`.
    ///
    /// # Panics
    ///
    /// Panics if the process does not answer.
    pub async fn runs(&self, key: &str, shard: u64) -> u64 {
        let report = self.report().await.expect("a report");
        report["calls"]["run"][format!("{key}/{shard}")].as_u64().unwrap_or(0)
    }
}
