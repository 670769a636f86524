//! Run of one trial: a shape, scenario, policy and seed.

use std::{io, net::SocketAddr, time::Duration};

use mux_model::ServiceName;

use super::{
    call_policy::CallPolicy,
    host_cpu_time::HostCpuTime,
    leaf_group::{GroupCalls, LeafGroup},
    node_testbed::NodeTestbed,
    scenario::Scenario,
    shape::ServiceShape,
};
use crate::load::{ArrivalProcess, LoadGenerator, LoadSettings, LoadStats};

/// Share of the measured phase after which a fault is injected.
const FAULT_AFTER: f64 = 0.25;
const DEADLINE_MS: u64 = 1_000;

/// Parameters of one trial.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TrialPlan {
    pub(crate) shape: ServiceShape,
    pub(crate) scenario: Scenario,
    pub(crate) policy: CallPolicy,
    pub(crate) seed: u64,
    /// Queries per second.
    pub(crate) rate: f64,
    pub(crate) warmup_ms: u64,
    pub(crate) duration_ms: u64,
}

/// Results of one trial.
#[derive(Debug, Clone)]
pub(crate) struct TrialOutcome {
    pub(crate) stats: LoadStats,
    pub(crate) calls: GroupCalls,
    /// Processor time of the host during the load.
    pub(crate) host_cpu: HostCpuTime,
}

impl TrialPlan {
    /// Runs the trial on `testbed` with new upstreams.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or the node doesn't accept the service.
    pub(crate) async fn run(self, testbed: &NodeTestbed) -> io::Result<TrialOutcome> {
        let size = self.shape.size();
        let name = self.name();
        let context = testbed.context.clone();
        let mut group = LeafGroup::start(context, &name, size, self.scenario, self.seed).await?;
        let service = ServiceName::from(name);
        let definition = self.policy.definition(service.clone(), size, group.upstreams());
        testbed.apply(&definition).await?;
        testbed.wait_until_ready(&service).await?;
        let generator = LoadGenerator::new(
            self.load_settings(testbed, service.clone()),
            testbed.context.timer.clone(),
        );
        let cpu_before = HostCpuTime::read()?;
        let (stats, ()) = tokio::join!(generator.run(), self.inject_fault(testbed, &mut group));
        let host_cpu = HostCpuTime::read()?.since(cpu_before);
        let calls = group.count_calls().await;
        testbed.remove(&service).await?;
        Ok(TrialOutcome { stats, calls, host_cpu })
    }

    fn name(&self) -> String {
        let (shape, scenario) = (self.shape.name(), self.scenario.name());
        format!("{shape}-{scenario}-{}-{}", self.policy.name(), self.seed)
    }

    fn load_settings(&self, testbed: &NodeTestbed, service: ServiceName) -> LoadSettings {
        let warmup_ms = self.warmup_ms;
        let settings =
            poisson_load(testbed.caller, service, self.rate, self.duration_ms, self.seed);
        LoadSettings { warmup_ms, ..settings }
    }

    async fn inject_fault(&self, testbed: &NodeTestbed, group: &mut LeafGroup) {
        let delay = self.warmup_ms as f64 + FAULT_AFTER * self.duration_ms as f64;
        testbed.context.timer.sleep(Duration::from_secs_f64(delay / 1_000.0)).await;
        match self.scenario {
            Scenario::LostReplica => group.kill_first().await,
            Scenario::SilentConnection => group.silence_first().await,
            _ => {}
        }
    }
}

/// Returns load settings with Poisson arrivals at one node and without a warm-up.
pub(crate) fn poisson_load(
    node: SocketAddr,
    service: ServiceName,
    rate: f64,
    duration_ms: u64,
    seed: u64,
) -> LoadSettings {
    LoadSettings {
        nodes: vec![node],
        ask: false,
        availability_zone: None,
        caller: "experiment".to_owned(),
        service,
        rate,
        arrivals: ArrivalProcess::Poisson,
        duration_ms,
        warmup_ms: 0,
        seed,
        deadline_ms: DEADLINE_MS,
        payload: String::new(),
    }
}
