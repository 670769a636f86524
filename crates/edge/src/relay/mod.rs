//! Reading another node's copy of the store, so that the number of calls to the store does not grow
//! with the number of nodes.

mod peer_rotation;
mod relay_client;
mod relay_protocol;
mod relay_server;
mod store_mirror;

pub use peer_rotation::PeerRotation;
pub(crate) use relay_client::{RelayConnection, RelayError};
pub use relay_protocol::RelayedUpdate;
pub(crate) use relay_server::RelayServer;
pub use store_mirror::{MirrorUpdate, StoreMirror};
