//! Support for tests of the program as separate processes; not shipped.
//!
//! The tests run the programs of this build: `cargo build -p mustardmux -p standins` comes first.

mod caller_client;
mod child_process;
mod fixtures;
mod free_ports;
mod http_client;
mod installation;
mod kv_process;
mod leaf_process;
mod node_process;
mod operator_client;
mod relay_process;
mod wait;
mod work_directory;

pub use caller_client::{AddressReply, CallerClient, QueryOutcome, QueryParts};
pub use child_process::{ChildProcess, Program};
pub use fixtures::{fixed_latency, held_snapshot, leaf_settings, service_definition, with_members};
pub use free_ports::free_address;
pub use http_client::{HttpClient, HttpReply};
pub use installation::Installation;
pub use kv_process::KvProcess;
pub use leaf_process::LeafProcess;
pub use node_process::{NodeAddresses, NodeProcess};
pub use operator_client::OperatorClient;
pub use relay_process::RelayProcess;
pub use wait::{WAIT_LIMIT, wait_until};
pub use work_directory::WorkDirectory;
