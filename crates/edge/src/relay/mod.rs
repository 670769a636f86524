//! Calls between nodes: all that nodes tell each other goes through [`relay_protocol::RelayProtocol`].
//!
//! Nodes read each other's copies of the store, so that the number of calls to the store does not grow
//! with the number of nodes; they exchange evidence against requests; and a node that may be cut from
//! all upstreams asks whether others reach them.

mod helper_links;
mod peer_rotation;
mod relay_client;
mod relay_protocol;
mod relay_server;
mod store_mirror;

pub(crate) use helper_links::HelperLinks;
pub use peer_rotation::PeerRotation;
pub(crate) use relay_client::{RelayConnection, RelayError};
pub use relay_protocol::RelayedUpdate;
pub(crate) use relay_server::RelayServer;
pub use store_mirror::{MirrorUpdate, StoreMirror};
