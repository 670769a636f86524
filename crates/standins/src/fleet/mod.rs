//! Measurement of gossip, key-value service load and resource use by number of nodes.

mod cost_run;
mod fleet_settings;
mod node_counts;
mod node_fleet;
mod outage_run;

use std::{env, fs, io, path::Path, time::Duration};

use mux_timer::TimerService;

use self::{cost_run::CostReport, fleet_settings::FleetSettings};
use crate::{
    experiment::{PortAllocator, TestbedContext, WorkDirectory},
    load::CallerClient,
};

const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Runs the measurement and prints its results as Markdown.
///
/// # Errors
///
/// Fails if the settings can't be read or a measurement fails.
pub(crate) async fn run(settings: &Path) -> io::Result<()> {
    let settings: FleetSettings = serde_json::from_slice(&fs::read(settings)?)?;
    let context = TestbedContext {
        program_path: fs::canonicalize(&settings.program)?,
        standins_path: env::current_exe()?,
        directory: WorkDirectory::create()?,
        ports: PortAllocator::new(settings.first_port),
        timer: TimerService::start(PAUSE_LIMIT),
        client: CallerClient::new(),
    };
    println!("Seed: {}; window: {} ms\n", settings.seed, settings.window_ms);
    println!("{}", CostReport::TABLE_HEADER);
    for count in &settings.sizes {
        let report = cost_run::measure(&context, &settings, *count).await?;
        println!("{}", report.to_table_row());
    }
    println!("\n{}", outage_run::measure(&context, &settings).await?);
    Ok(())
}
