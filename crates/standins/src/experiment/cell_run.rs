//! One cell: a scenario under a policy with one seed.

use std::{io, net::SocketAddr, time::Duration};

use mux_model::ServiceName;

use super::{
    leaf_group::{GroupCalls, LeafGroup},
    machine_load::MachineTicks,
    node_bench::NodeBench,
    routing_choice::RoutingChoice,
    scenario::Scenario,
    shape::ServiceShape,
};
use crate::load::{ArrivalProcess, LoadRun, LoadSettings, LoadTally};

/// Share of the measured time after which a fault begins.
const FAULT_AFTER: f64 = 0.25;
const DEADLINE_MS: u64 = 1_000;

/// What is measured in one cell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CellPlan {
    pub(crate) shape: ServiceShape,
    pub(crate) scenario: Scenario,
    pub(crate) choice: RoutingChoice,
    pub(crate) seed: u64,
    /// Queries per second.
    pub(crate) rate: f64,
    pub(crate) warmup_ms: u64,
    pub(crate) duration_ms: u64,
}

/// What came out.
#[derive(Debug, Clone)]
pub(crate) struct CellOutcome {
    pub(crate) tally: LoadTally,
    pub(crate) calls: GroupCalls,
    /// Processor time of the machine while load was offered.
    pub(crate) machine: MachineTicks,
}

impl CellPlan {
    /// Runs the cell on `bench` with upstreams of its own.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or the node doesn't take the service.
    pub(crate) async fn run(self, bench: &NodeBench) -> io::Result<CellOutcome> {
        let size = self.shape.size();
        let name = self.name();
        let context = bench.context.clone();
        let mut group = LeafGroup::start(context, &name, size, self.scenario, self.seed).await?;
        let service = ServiceName::from(name);
        let definition = self.choice.definition(service.clone(), size, group.upstreams());
        bench.apply(&definition).await?;
        bench.wait_until_ready(&service).await?;
        let run = LoadRun::new(self.load(bench, service.clone()), bench.context.timer.clone());
        let ticks = MachineTicks::read()?;
        let (tally, ()) = tokio::join!(run.offer(), self.inject_fault(bench, &mut group));
        let machine = MachineTicks::read()?.since(ticks);
        let calls = group.count_calls().await;
        bench.remove(&service).await?;
        Ok(CellOutcome { tally, calls, machine })
    }

    fn name(&self) -> String {
        let (shape, scenario) = (self.shape.name(), self.scenario.name());
        format!("{shape}-{scenario}-{}-{}", self.choice.name(), self.seed)
    }

    fn load(&self, bench: &NodeBench, service: ServiceName) -> LoadSettings {
        let warmup_ms = self.warmup_ms;
        let load = usual_load(bench.caller, service, self.rate, self.duration_ms, self.seed);
        LoadSettings { warmup_ms, ..load }
    }

    async fn inject_fault(&self, bench: &NodeBench, group: &mut LeafGroup) {
        let delay = self.warmup_ms as f64 + FAULT_AFTER * self.duration_ms as f64;
        bench.context.timer.sleep(Duration::from_secs_f64(delay / 1_000.0)).await;
        match self.scenario {
            Scenario::LostReplica => group.lose_first().await,
            Scenario::SilentConnection => group.silence_first().await,
            _ => {}
        }
    }
}

/// Returns Poisson arrivals at one node, without a warm-up.
pub(crate) fn usual_load(
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
