//! Resource use of an idle fleet, and the time until configuration changes are in force.

use std::{io, net::SocketAddr, time::Duration};

use futures::future::try_join_all;
use mux_timer::TimerService;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use super::{fleet_settings::FleetSettings, node_counts::NodeCounts, node_fleet::NodeFleet};
use crate::experiment::TestbedContext;

const SERVICES: [&str; 2] = ["shopfront-01", "order-desk-01"];
const SETTLING_TIME: Duration = Duration::from_secs(4);
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const DATAGRAM_HEADER_BYTES: u64 = 28; // IPv4 and UDP headers.
const KB: f64 = 1_000.0;
const UNUSED_PORT: u16 = 9;

/// Measurement at one number of nodes.
#[derive(Debug)]
pub(crate) struct CostReport {
    nodes: usize,
    elapsed: Duration,
    counts: Vec<NodeCounts>,
    resident_kb: Vec<u64>,
    store_calls: u64,
    in_force_ms: Vec<f64>,
    not_in_force: usize,
}

/// Measures a fleet of `count` nodes.
///
/// # Errors
///
/// Fails if a process can't be started or exits early, or if a node rejects a change.
pub(crate) async fn measure(
    context: &TestbedContext,
    settings: &FleetSettings,
    count: usize,
) -> io::Result<CostReport> {
    let fleet = NodeFleet::start(context, count).await?;
    let mut revisions = [0; 2];
    for (idx, name) in SERVICES.iter().enumerate() {
        let reply =
            fleet.change_service(0, &format!("create-{name}"), &definition(name, 150), 0).await?;
        revisions[idx] = reply.revision;
    }
    context.timer.sleep(SETTLING_TIME).await;
    let mut report = measure_window(&fleet, settings).await?;
    let mut rng = StdRng::seed_from_u64(settings.seed);
    for number in 0..settings.changes {
        let idx = rng.random_range(0..count);
        let service = number % SERVICES.len();
        let definition = definition(SERVICES[service], 151 + number);
        let started = context.timer.now();
        let id = format!("change-{number}");
        let reply = fleet.change_service(idx, &id, &definition, revisions[service]).await?;
        let elapsed = context.timer.now().since(started);
        match reply.code.as_str() {
            "accepted" => report.in_force_ms.push(elapsed.as_secs_f64() * 1e3),
            "not_in_force" => report.not_in_force += 1,
            code => return Err(io::Error::other(format!("{id}: {code}: {}", reply.message))),
        }
        revisions[service] = reply.revision;
    }
    report.in_force_ms.sort_by(f64::total_cmp);
    Ok(report)
}

async fn measure_window(fleet: &NodeFleet<'_>, settings: &FleetSettings) -> io::Result<CostReport> {
    let timer: &TimerService = &fleet.context.timer;
    let before = read_counts(fleet).await?;
    let store_before = fleet.store_calls().await?;
    let started = timer.now();
    timer.sleep(Duration::from_millis(settings.window_ms)).await;
    let store_calls = fleet.store_calls().await? - store_before;
    let elapsed = timer.now().since(started);
    let after = read_counts(fleet).await?;
    let resident = fleet.nodes.iter().map(|it| it.process.resident_kb());
    Ok(CostReport {
        nodes: fleet.nodes.len(),
        elapsed,
        counts: after.iter().zip(&before).map(|(after, before)| *after - *before).collect(),
        resident_kb: resident.collect::<io::Result<_>>()?,
        store_calls,
        in_force_ms: Vec::new(),
        not_in_force: 0,
    })
}

async fn read_counts(fleet: &NodeFleet<'_>) -> io::Result<Vec<NodeCounts>> {
    let reads = fleet.nodes.iter().map(|it| NodeCounts::read(&fleet.context.client, it));
    try_join_all(reads).await
}

/// Returns a definition with upstreams that don't exist.
fn definition(name: &str, latency_target_ms: usize) -> Value {
    let address = |last| SocketAddr::from(([127, 0, 0, last], UNUSED_PORT));
    json!({
        "name": name,
        "latency_target_ms": latency_target_ms,
        "upstreams": [
            { "address": address(2), "availability_zone": "muc-a" },
            { "address": address(3), "availability_zone": "muc-b" },
            { "address": address(4), "availability_zone": "nbg-a" },
        ],
    })
}

impl CostReport {
    /// Header of the Markdown table; [`Self::to_table_row`] returns a row.
    pub(crate) const TABLE_HEADER: &str = "\
        | nodes | datagrams/s out a node: mean (max) | KB/s out a node: mean (max) \
        | KB/s in a node, payload | CPU % a node: mean (max) | RSS MB a node: mean (max) \
        | store calls/s in all | in force everywhere, ms: p50 (max) | changes not confirmed |\n\
        |---|---|---|---|---|---|---|---|---|";

    /// Returns the measurement as a row of the Markdown table.
    pub(crate) fn to_table_row(&self) -> String {
        let seconds = self.elapsed.as_secs_f64();
        let datagrams = self.mean_and_max_per_node(|it| it.datagrams_out as f64 / seconds);
        let sent = self.mean_and_max_per_node(|it| {
            (it.bytes_out + it.datagrams_out * DATAGRAM_HEADER_BYTES) as f64 / seconds / KB
        });
        let received = self.mean_and_max_per_node(|it| it.bytes_in as f64 / seconds / KB);
        let cpu = self.mean_and_max_per_node(|it| {
            it.cpu_ticks as f64 / CLOCK_TICKS_PER_SECOND / seconds * 100.0
        });
        let resident = mean_and_max(self.resident_kb.iter().map(|it| *it as f64 / KB));
        let median = self.in_force_ms.get(self.in_force_ms.len() / 2).copied();
        let longest = self.in_force_ms.last().copied();
        format!(
            "| {} | {:.1} ({:.1}) | {:.2} ({:.2}) | {:.2} | {:.2} ({:.2}) | {:.1} ({:.1}) \
             | {:.2} | {:.0} ({:.0}) | {} |",
            self.nodes,
            datagrams.0,
            datagrams.1,
            sent.0,
            sent.1,
            received.0,
            cpu.0,
            cpu.1,
            resident.0,
            resident.1,
            self.store_calls as f64 / seconds,
            median.unwrap_or(f64::NAN),
            longest.unwrap_or(f64::NAN),
            self.not_in_force,
        )
    }

    fn mean_and_max_per_node(&self, value: impl Fn(&NodeCounts) -> f64) -> (f64, f64) {
        mean_and_max(self.counts.iter().map(value))
    }
}

fn mean_and_max(values: impl ExactSizeIterator<Item = f64>) -> (f64, f64) {
    let count = values.len() as f64;
    let (sum, max) = values.fold((0.0, 0.0_f64), |(sum, max), it| (sum + it, max.max(it)));
    (sum / count, max)
}
