//! Process of a node.

use std::{net::SocketAddr, path::PathBuf};

use serde_json::{Value, json};

use super::{
    ChildProcess, HttpClient, OperatorClient, Program, WorkDirectory, free_address, with_overrides,
};

/// Node that can be restarted with the same name and addresses.
#[derive(Debug)]
pub struct NodeProcess {
    /// Name of the node.
    pub name: String,
    /// Addresses on which the node listens.
    pub addresses: NodeAddresses,
    /// The process.
    pub process: ChildProcess,
    /// Client of the node's operator interface.
    pub operator_client: OperatorClient,
    settings: PathBuf,
    /// Limit of open descriptors; `None` for that of the test.
    max_descriptors: Option<usize>,
    http: HttpClient,
}

/// Addresses on which a node listens.
#[derive(Debug, Clone, Copy)]
pub struct NodeAddresses {
    /// HTTP interface for callers.
    pub caller: SocketAddr,
    /// Gossip (UDP) and calls between nodes (TCP).
    pub peer: SocketAddr,
    /// gRPC interface for operators.
    pub operator: SocketAddr,
    /// HTTP interface for `/metrics`.
    pub metrics: SocketAddr,
}

impl NodeAddresses {
    /// Allocates free loopback addresses.
    pub fn allocate() -> Self {
        Self {
            caller: free_address(),
            peer: free_address(),
            operator: free_address(),
            metrics: free_address(),
        }
    }

    fn to_json(self) -> Value {
        json!({
            "caller": self.caller, "peer": self.peer, "operator": self.operator,
            "metrics": self.metrics,
        })
    }
}

impl NodeProcess {
    /// Starts a node with `settings` besides its name and addresses, and with a limit of open
    /// descriptors unless that is `None`, without waiting until it serves.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be started or `settings` is not a JSON object.
    pub fn start(
        directory: &WorkDirectory,
        name: &str,
        addresses: NodeAddresses,
        settings: &Value,
        max_descriptors: Option<usize>,
    ) -> Self {
        let node = json!({ "node": name, "listen": addresses.to_json() });
        let node = with_overrides(node, settings);
        let settings = directory.write(name, &node);
        Self {
            name: name.to_owned(),
            addresses,
            process: Self::spawn(directory, name, &settings, max_descriptors),
            operator_client: OperatorClient::new(addresses.operator),
            settings,
            max_descriptors,
            http: HttpClient::new(),
        }
    }

    /// Kills the process if it still runs, and starts it again with the same settings.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be started.
    pub fn restart(&mut self, directory: &WorkDirectory) {
        self.process.kill();
        self.process = Self::spawn(directory, &self.name, &self.settings, self.max_descriptors);
    }

    /// Returns the metrics as text, or `None` if the node does not reply.
    pub async fn metrics(&self) -> Option<String> {
        let reply = self.http.send(hyper::Method::GET, self.addresses.metrics, "/metrics", "");
        String::from_utf8(reply.await?.body.into()).ok()
    }

    /// Returns the sum of a metric over all label sets, 0 if the metric is missing; `None` if the
    /// node does not reply.
    pub async fn metric(&self, name: &str) -> Option<f64> {
        let text = self.metrics().await?;
        let lines = text.lines().filter_map(|it| it.rsplit_once(' '));
        let values = lines.filter(|(key, _)| key.split('{').next() == Some(name));
        Some(values.filter_map(|(_, value)| value.parse::<f64>().ok()).sum())
    }

    fn spawn(
        directory: &WorkDirectory,
        name: &str,
        settings: &std::path::Path,
        max_descriptors: Option<usize>,
    ) -> ChildProcess {
        let arguments = ["node", "--settings", &settings.to_string_lossy()];
        let program = Program::Mustardmux;
        match max_descriptors {
            Some(limit) => ChildProcess::start_limited(directory, name, program, &arguments, limit),
            None => ChildProcess::start(directory, name, program, &arguments),
        }
    }
}
