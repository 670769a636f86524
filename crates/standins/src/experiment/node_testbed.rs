//! A node under test with its key-value service.

use std::{io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use mux_config::ServiceDefinition;
use mux_model::ServiceName;
use mux_timer::TimerService;
use serde_json::{Value, json};

use super::{
    call_policy::AVAILABILITY_ZONE,
    child_process::{ChildProcess, WorkDirectory, run_to_completion},
    port_allocator::PortAllocator,
};
use crate::load::CallerClient;

const READY_LIMIT: Duration = Duration::from_secs(20);
const RETRY_PERIOD: Duration = Duration::from_millis(50);
const OPERATOR: &str = "experiment";

/// Resources shared by all parts of an experiment or fleet measurement.
pub(crate) struct TestbedContext {
    /// Path of the `mustardmux` program under test.
    pub(crate) program_path: PathBuf,
    /// Path of this program, which runs the test doubles.
    pub(crate) standins_path: PathBuf,
    /// Directory for settings files and logs.
    pub(crate) directory: WorkDirectory,
    /// Allocator of the listening addresses.
    pub(crate) ports: PortAllocator,
    /// Timer of the measurements and waits.
    pub(crate) timer: TimerService,
    /// HTTP client for queries and control requests.
    pub(crate) client: CallerClient,
}

/// A node under test with its key-value service.
pub(crate) struct NodeTestbed {
    pub(crate) context: Arc<TestbedContext>,
    pub(crate) node: ChildProcess,
    pub(crate) caller: SocketAddr,
    operator_address: SocketAddr,
    _store: ChildProcess,
}

impl NodeTestbed {
    /// Starts the processes.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started.
    pub(crate) async fn start(context: Arc<TestbedContext>, name: &str) -> io::Result<Self> {
        let key_value = context.ports.next();
        let store_settings = json!({ "listen": key_value });
        let store = context.start_test_double("kv", &format!("{name}-kv"), &store_settings)?;
        let (caller, operator_address) = (context.ports.next(), context.ports.next());
        let node_settings = json!({
            "node": format!("node-{name}"),
            "availability_zone": AVAILABILITY_ZONE,
            "listen": {
                "caller": caller,
                "operator": operator_address,
                "peer": context.ports.next(),
                "metrics": context.ports.next(),
            },
            "platform": { "key_value": key_value },
        });
        let settings = context.directory.write(&format!("{name}-node"), &node_settings)?;
        let arguments = ["node", "--settings", &settings.to_string_lossy()];
        let log = format!("{name}-node");
        let node =
            ChildProcess::start(&context.directory, &log, &context.program_path, &arguments)?;
        Ok(Self { context, node, caller, operator_address, _store: store })
    }

    /// Creates a service; retries while the node starts.
    ///
    /// # Errors
    ///
    /// Fails with the error output of the operator command if the node doesn't accept it in time.
    pub(crate) async fn apply(&self, definition: &ServiceDefinition) -> io::Result<()> {
        let file = self.context.directory.write(definition.name.as_str(), definition)?;
        let operator_address = self.operator_address.to_string();
        let file = file.to_string_lossy();
        let arguments =
            ["service", "apply", "--operators", &operator_address, "--operator", OPERATOR, &file];
        self.run_until_accepted(&arguments).await
    }

    /// Removes a service; retries on failure.
    ///
    /// # Errors
    ///
    /// Fails with the error output of the operator command if the node doesn't accept it in time.
    pub(crate) async fn remove(&self, service: &ServiceName) -> io::Result<()> {
        let operator_address = self.operator_address.to_string();
        let name = service.as_str();
        let arguments =
            ["service", "remove", "--operators", &operator_address, "--operator", OPERATOR, name];
        self.run_until_accepted(&arguments).await
    }

    /// Waits until the service answers a query with full coverage.
    ///
    /// # Errors
    ///
    /// Fails with the last reply if the service doesn't answer so in time.
    pub(crate) async fn wait_until_ready(&self, service: &ServiceName) -> io::Result<()> {
        let path = format!("/v1/services/{service}/query");
        let body = serde_json::to_vec(&json!({ "query": {}, "deadline_ms": 1_000 }))?;
        let deadline = self.context.timer.now() + READY_LIMIT;
        loop {
            let post = hyper::Method::POST;
            let body = body.clone().into();
            let reply: Option<Value> =
                self.context.client.send(post, self.caller, &path, body).await;
            if reply.as_ref().is_some_and(|it| it["coverage"]["share"] == 1.0) {
                return Ok(());
            }
            if deadline < self.context.timer.now() {
                return Err(io::Error::other(format!(
                    "{service} did not answer with full coverage in time; last reply: {reply:?}"
                )));
            }
            self.context.timer.sleep(RETRY_PERIOD).await;
        }
    }

    async fn run_until_accepted(&self, arguments: &[&str]) -> io::Result<()> {
        let deadline = self.context.timer.now() + READY_LIMIT;
        loop {
            let Err(error) = self.run_operator_command(arguments).await else {
                return Ok(());
            };
            if deadline < self.context.timer.now() {
                return Err(error);
            }
            self.context.timer.sleep(RETRY_PERIOD).await;
        }
    }

    async fn run_operator_command(&self, arguments: &[&str]) -> io::Result<()> {
        let program = self.context.program_path.clone();
        let arguments: Vec<String> = arguments.iter().map(|it| (*it).to_owned()).collect();
        let run = move || {
            let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
            run_to_completion(&program, &arguments)
        };
        tokio::task::spawn_blocking(run).await.map_err(io::Error::other)?
    }
}

impl TestbedContext {
    /// Starts a test double: this program with the subcommand `command`.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
    pub(crate) fn start_test_double<T: serde::Serialize>(
        &self,
        command: &str,
        name: &str,
        settings: &T,
    ) -> io::Result<ChildProcess> {
        let settings = self.directory.write(name, settings)?;
        let arguments = [command, "--settings", &settings.to_string_lossy()];
        ChildProcess::start(&self.directory, name, &self.standins_path, &arguments)
    }
}
