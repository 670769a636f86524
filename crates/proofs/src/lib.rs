//! Support for tests of the program as separate processes; not shipped.
//!
//! The tests run the programs of this build: `cargo build -p mustardmux -p standins` comes first.

mod address_caller;
mod caller_client;
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
mod query_load;
mod relay_process;
mod revision_watch;
mod wait;
mod work_directory;
mod zones;

pub use address_caller::{AddressCallers, CallerReport};
pub use caller_client::{AddressReply, CallerClient, QueryOutcome, QueryParts};
pub use change_client::ChangeClient;
pub use child_process::{ChildProcess, Program};
pub use fixtures::{fixed_latency, held_snapshot, leaf_settings, service_definition, with_overrides};
pub use free_ports::free_address;
pub use http_client::{HttpClient, HttpReply};
pub use installation::Installation;
pub use kv_process::KvProcess;
pub use leaf_process::LeafProcess;
pub use node_process::{NodeAddresses, NodeProcess};
pub use operator_client::OperatorClient;
pub use query_load::QueryLoad;
pub use relay_process::RelayProcess;
pub use revision_watch::{RevisionHistory, RevisionWatch};
pub use wait::{WAIT_LIMIT, wait_until};
pub use work_directory::WorkDirectory;
pub use zones::{
    ZONES, list_nodes, patient_service, start_in_zones, start_whole_leaf, start_with_timing,
};
