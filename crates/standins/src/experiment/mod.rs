//! Comparison of hedging and concurrency policies on dedicated nodes.

mod call_policy;
mod capacity;
mod child_process;
mod experiment_settings;
mod host_cpu_time;
mod leaf_group;
mod node_cost;
mod node_testbed;
mod port_allocator;
mod result_table;
mod scenario;
mod shape;
mod trial_run;

use std::{env, fs, io, path::Path, sync::Arc, time::Duration};

use futures::{StreamExt, TryStreamExt, future::try_join_all, stream};
use mux_timer::TimerService;

use call_policy::CallPolicy;
use experiment_settings::ExperimentSettings;
use node_testbed::NodeTestbed;
use result_table::ResultTable;
use scenario::Scenario;
use shape::ServiceShape;
use trial_run::{TrialOutcome, TrialPlan};

pub(crate) use self::{
    child_process::{ChildProcess, WorkDirectory},
    node_testbed::TestbedContext,
    port_allocator::PortAllocator,
};
use crate::load::CallerClient;

const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Runs the experiment and prints its results.
pub(crate) async fn run(settings: &Path) -> io::Result<()> {
    let settings: ExperimentSettings = serde_json::from_slice(&fs::read(settings)?)?;
    let context = Arc::new(TestbedContext {
        program_path: fs::canonicalize(&settings.program)?,
        standins_path: env::current_exe()?,
        directory: WorkDirectory::create()?,
        ports: PortAllocator::new(settings.first_port),
        timer: TimerService::start(PAUSE_LIMIT),
        client: CallerClient::new(),
    });
    println!("Seeds: {:?}", settings.seeds);
    let node_cost = match settings.node_cost {
        true => node_cost::measure(Arc::clone(&context)).await?,
        false => String::new(),
    };
    let capacities =
        try_join_all(settings.shapes.iter().map(|it| capacity::measure(context.clone(), *it)));
    let capacities = capacities.await?;
    let names = settings.shapes.iter().map(|it| it.name());
    let testbeds =
        try_join_all(names.map(|it| NodeTestbed::start(Arc::clone(&context), it))).await?;
    let mut table = ResultTable::default();
    for scenario in &settings.scenarios {
        let shapes = settings.shapes.iter().zip(&testbeds).zip(&capacities);
        let runs = shapes.map(|((shape, testbed), capacity)| {
            run_shape(&settings, testbed, *shape, *scenario, capacity * scenario.load_factor())
        });
        // Overload scenarios run one at a time, as together they would overload the host too.
        let concurrency = if scenario.is_overload() { 1 } else { settings.shapes.len().max(1) };
        let trials: Vec<_> = stream::iter(runs).buffered(concurrency).try_collect().await?;
        table.extend(trials.into_iter().flatten().collect());
        eprintln!("{} done", scenario.name());
    }
    print_results(&settings, &capacities, &table, &node_cost);
    Ok(())
}

/// Runs a scenario with each seed and policy, one trial after another.
async fn run_shape(
    settings: &ExperimentSettings,
    testbed: &NodeTestbed,
    shape: ServiceShape,
    scenario: Scenario,
    rate: f64,
) -> io::Result<Vec<(TrialPlan, TrialOutcome)>> {
    let mut trials = Vec::new();
    for seed in &settings.seeds {
        for policy in CallPolicy::ALL {
            let plan = TrialPlan {
                shape,
                scenario,
                policy,
                seed: *seed,
                rate,
                warmup_ms: settings.warmup_ms,
                duration_ms: settings.duration_ms,
            };
            trials.push((plan, plan.run(testbed).await?));
        }
    }
    Ok(trials)
}

fn print_results(
    settings: &ExperimentSettings,
    capacities: &[f64],
    table: &ResultTable,
    node_cost: &str,
) {
    for (shape, capacity) in settings.shapes.iter().zip(capacities) {
        println!("Capacity of {}: {capacity:.0} queries/s", shape.name());
    }
    println!("\n{}", table.to_markdown(&settings.shapes, &settings.scenarios));
    println!("{node_cost}");
    print!("{}", table.to_summary(&settings.shapes, &settings.scenarios));
}
