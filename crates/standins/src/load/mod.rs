//! Load generation.

mod address_book;
mod caller_client;
mod load_report;
mod load_run;
mod load_settings;
mod query_reply;

use std::{fs, io, path::Path, time::Duration};

use mux_timer::TimerService;

pub(crate) use caller_client::CallerClient;
pub(crate) use load_report::{LoadReport, LoadTally};
pub(crate) use load_run::LoadRun;
pub(crate) use load_settings::{ArrivalProcess, LoadSettings};

const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Offers load once and prints the outcome as one line of JSON.
pub(crate) async fn run(settings: &Path) -> io::Result<()> {
    let settings: LoadSettings = serde_json::from_slice(&fs::read(settings)?)?;
    let timer = TimerService::start(PAUSE_LIMIT);
    let tally = LoadRun::new(settings, timer).offer().await;
    println!("{}", serde_json::to_string(&tally.report())?);
    Ok(())
}
