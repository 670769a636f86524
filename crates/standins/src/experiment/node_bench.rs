//! A node under test with its key-value service.

use std::{io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use mux_config::ServiceDefinition;
use mux_model::ServiceName;
use mux_timer::TimerService;
use serde_json::{Value, json};

use super::{
    child_process::{ChildProcess, WorkDirectory, run_to_end},
    port_range::PortRange,
    routing_choice::AVAILABILITY_ZONE,
};
use crate::load::CallerClient;

const READY_LIMIT: Duration = Duration::from_secs(20);
const RETRY_PERIOD: Duration = Duration::from_millis(50);
const OPERATOR: &str = "experiment";

/// What all parts of an experiment share.
pub(crate) struct BenchContext {
    pub(crate) program: PathBuf,
    pub(crate) standins: PathBuf,
    pub(crate) directory: WorkDirectory,
    pub(crate) ports: PortRange,
    pub(crate) timer: TimerService,
    pub(crate) client: CallerClient,
}

/// A node under test with its key-value service.
pub(crate) struct NodeBench {
    pub(crate) context: Arc<BenchContext>,
    pub(crate) node: ChildProcess,
    pub(crate) caller: SocketAddr,
    operators: SocketAddr,
    _store: ChildProcess,
}

impl NodeBench {
    /// Starts the processes.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started.
    pub(crate) async fn start(context: Arc<BenchContext>, name: &str) -> io::Result<Self> {
        let key_value = context.ports.next();
        let store_settings = json!({ "listen": key_value });
        let store = context.start_standin("kv", &format!("{name}-kv"), &store_settings)?;
        let (caller, operators) = (context.ports.next(), context.ports.next());
        let node_settings = json!({
            "node": format!("node-{name}"),
            "availability_zone": AVAILABILITY_ZONE,
            "listen": {
                "caller": caller,
                "operator": operators,
                "peer": context.ports.next(),
                "metrics": context.ports.next(),
            },
            "platform": { "key_value": key_value },
        });
        let settings = context.directory.write(&format!("{name}-node"), &node_settings)?;
        let arguments = ["node", "--settings", &settings.to_string_lossy()];
        let log = format!("{name}-node");
        let node = ChildProcess::start(&context.directory, &log, &context.program, &arguments)?;
        Ok(Self { context, node, caller, operators, _store: store })
    }

    /// Puts a service in force; tries again while the node starts.
    ///
    /// # Errors
    ///
    /// Fails with the operators' message if the node doesn't accept it in time.
    pub(crate) async fn apply(&self, definition: &ServiceDefinition) -> io::Result<()> {
        let file = self.context.directory.write(definition.name.as_str(), definition)?;
        let operators = self.operators.to_string();
        let file = file.to_string_lossy();
        let arguments =
            ["service", "apply", "--operators", &operators, "--operator", OPERATOR, &file];
        self.run_until_accepted(&arguments).await
    }

    /// Removes a service.
    ///
    /// # Errors
    ///
    /// Fails with the operators' message if the node doesn't accept it in time.
    pub(crate) async fn remove(&self, service: &ServiceName) -> io::Result<()> {
        let operators = self.operators.to_string();
        let name = service.as_str();
        let arguments =
            ["service", "remove", "--operators", &operators, "--operator", OPERATOR, name];
        self.run_until_accepted(&arguments).await
    }

    /// Waits until the service answers a query with full coverage.
    ///
    /// # Errors
    ///
    /// Fails with the last reply if it never does.
    pub(crate) async fn wait_until_ready(&self, service: &ServiceName) -> io::Result<()> {
        let path = format!("/v1/services/{service}/query");
        let body = serde_json::to_vec(&json!({ "query": {}, "deadline_ms": 1_000 }))?;
        let give_up = self.context.timer.now() + READY_LIMIT;
        loop {
            let post = hyper::Method::POST;
            let body = body.clone().into();
            let reply: Option<Value> =
                self.context.client.send(post, self.caller, &path, body).await;
            if reply.as_ref().is_some_and(|it| it["coverage"]["share"] == 1.0) {
                return Ok(());
            }
            if give_up < self.context.timer.now() {
                return Err(io::Error::other(format!("{service} isn't ready: {reply:?}")));
            }
            self.context.timer.sleep(RETRY_PERIOD).await;
        }
    }

    async fn run_until_accepted(&self, arguments: &[&str]) -> io::Result<()> {
        let give_up = self.context.timer.now() + READY_LIMIT;
        loop {
            let Err(error) = self.run_operator(arguments).await else {
                return Ok(());
            };
            if give_up < self.context.timer.now() {
                return Err(error);
            }
            self.context.timer.sleep(RETRY_PERIOD).await;
        }
    }

    async fn run_operator(&self, arguments: &[&str]) -> io::Result<()> {
        let program = self.context.program.clone();
        let arguments: Vec<String> = arguments.iter().map(|it| (*it).to_owned()).collect();
        let run = move || {
            let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
            run_to_end(&program, &arguments)
        };
        tokio::task::spawn_blocking(run).await.map_err(io::Error::other)?
    }
}

impl BenchContext {
    /// Starts a stand-in from the running program.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
    pub(crate) fn start_standin<T: serde::Serialize>(
        &self,
        command: &str,
        name: &str,
        settings: &T,
    ) -> io::Result<ChildProcess> {
        let settings = self.directory.write(name, settings)?;
        let arguments = [command, "--settings", &settings.to_string_lossy()];
        ChildProcess::start(&self.directory, name, &self.standins, &arguments)
    }
}
