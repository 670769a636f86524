//! Assignment of services to nodes and of node addresses to callers.

mod address_planner;
mod candidate_node;
mod home_limits;
mod home_nodes;
mod node_registry;
mod stable_hash;
mod watcher_nodes;

pub use address_planner::{AddressAnswer, AddressEntry, AddressPlanner, AddressQuery};
pub use candidate_node::CandidateNode;
pub use home_limits::HomeLimits;
pub use home_nodes::home_nodes;
pub use node_registry::{NodeRecord, NodeRegistry, RelayEndpoint, RelayPeer};
pub use watcher_nodes::watcher_nodes;
