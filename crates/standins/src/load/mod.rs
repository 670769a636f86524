//! Open-loop load generation.

mod caller_client;
mod load_generator;
mod load_report;
mod load_settings;
mod node_addresses;
mod query_reply;

use std::{fs, io, path::Path, time::Duration};

use mux_timer::TimerService;

pub(crate) use caller_client::CallerClient;
pub(crate) use load_generator::LoadGenerator;
pub(crate) use load_report::{LoadReport, LoadStats};
pub(crate) use load_settings::{ArrivalProcess, LoadSettings};

const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Runs the load generator once and prints the report as one line of JSON.
pub(crate) async fn run(settings: &Path) -> io::Result<()> {
    let settings: LoadSettings = serde_json::from_slice(&fs::read(settings)?)?;
    let timer = TimerService::start(PAUSE_LIMIT);
    let stats = LoadGenerator::new(settings, timer).run().await;
    println!("{}", serde_json::to_string(&stats.report())?);
    Ok(())
}
