//! Comparison of routing policies on a node of its own.

mod capacity;
mod cell_run;
mod child_process;
mod experiment_settings;
mod leaf_group;
mod machine_load;
mod node_bench;
mod node_cost;
mod port_range;
mod result_table;
mod routing_choice;
mod scenario;
mod shape;

use std::{env, fs, io, path::Path, sync::Arc, time::Duration};

use futures::{StreamExt, TryStreamExt, future::try_join_all, stream};
use mux_timer::TimerService;

use cell_run::{CellOutcome, CellPlan};
use experiment_settings::ExperimentSettings;
use node_bench::NodeBench;
use result_table::ResultTable;
use routing_choice::RoutingChoice;
use scenario::Scenario;
use shape::ServiceShape;

pub(crate) use self::{
    child_process::{ChildProcess, WorkDirectory},
    node_bench::BenchContext,
    port_range::PortRange,
};
use crate::load::CallerClient;

const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Runs the experiment and prints its results.
pub(crate) async fn run(settings: &Path) -> io::Result<()> {
    let settings: ExperimentSettings = serde_json::from_slice(&fs::read(settings)?)?;
    let context = Arc::new(BenchContext {
        program: fs::canonicalize(&settings.program)?,
        standins: env::current_exe()?,
        directory: WorkDirectory::create()?,
        ports: PortRange::new(settings.first_port),
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
    let benches = try_join_all(names.map(|it| NodeBench::start(Arc::clone(&context), it))).await?;
    let mut table = ResultTable::default();
    for scenario in &settings.scenarios {
        let shapes = settings.shapes.iter().zip(&benches).zip(&capacities);
        let runs = shapes.map(|((shape, bench), capacity)| {
            run_shape(&settings, bench, *shape, *scenario, capacity * scenario.load())
        });
        // Side by side, overloaded shapes would overload the machine as well.
        let at_once = if scenario.is_overload() { 1 } else { settings.shapes.len().max(1) };
        let cells: Vec<_> = stream::iter(runs).buffered(at_once).try_collect().await?;
        table.extend(cells.into_iter().flatten().collect());
        eprintln!("{} done", scenario.name());
    }
    print_results(&settings, &capacities, &table, &node_cost);
    Ok(())
}

/// Runs a scenario with each seed under the policies in turn.
async fn run_shape(
    settings: &ExperimentSettings,
    bench: &NodeBench,
    shape: ServiceShape,
    scenario: Scenario,
    rate: f64,
) -> io::Result<Vec<(CellPlan, CellOutcome)>> {
    let mut cells = Vec::new();
    for seed in &settings.seeds {
        for choice in RoutingChoice::ALL {
            let plan = CellPlan {
                shape,
                scenario,
                choice,
                seed: *seed,
                rate,
                warmup_ms: settings.warmup_ms,
                duration_ms: settings.duration_ms,
            };
            cells.push((plan, plan.run(bench).await?));
        }
    }
    Ok(cells)
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
