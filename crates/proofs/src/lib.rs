//! Fixtures for tests that run the programs as separate processes; not part of the product.
//!
//! The programs have to be built first: `cargo build -p mustardmux -p standins`.

mod caller_client;
mod caller_crowd;
mod change_client;
mod child_process;
mod fixtures;
mod free_ports;
mod http_client;
mod installation;
mod kv_process;
mod leaf_process;
mod node_process;
mod operator_client;
mod process_relay;
mod process_usage;
mod query_load;
mod relay_process;
mod revision_sampler;
mod simulated_callers;
mod wait;
mod work_directory;
mod zones;

pub use caller_client::{AddressReply, CallerClient, QueryOutcome, QueryRequest};
pub use caller_crowd::{BodyForm, CallerCrowd, CrowdRequest, send_request};
pub use change_client::ChangeClient;
pub use child_process::{ChildProcess, Program};
pub use fixtures::{
    fixed_latency, leaf_settings, service_definition, snapshot_entry, with_overrides,
};
pub use free_ports::free_address;
pub use http_client::{HttpClient, HttpReply};
pub use installation::Installation;
pub use kv_process::KvProcess;
pub use leaf_process::LeafProcess;
pub use node_process::{NodeAddresses, NodeProcess};
pub use operator_client::OperatorClient;
pub use process_relay::{CutMode, ProcessCuts, ProcessRelay};
pub use process_usage::{ProcessUsage, unread_bytes, waiting_connections};
pub use query_load::QueryLoad;
pub use relay_process::RelayProcess;
pub use revision_sampler::{RevisionHistory, RevisionSampler};
pub use simulated_callers::{CallerReport, SimulatedCallers};
pub use wait::{WAIT_TIMEOUT, wait_until};
pub use work_directory::WorkDirectory;
pub use zones::{
    ZONES, long_deadline_service, register_nodes_as_vms, start_in_zones,
    start_in_zones_with_timing, start_leaf_with_all_shards,
};
