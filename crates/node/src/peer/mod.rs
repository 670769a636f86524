//! Calls between nodes.

mod peer_client;
mod peer_protocol;
mod peer_server;

pub(crate) use peer_client::{PeerClient, PeerError};
pub(crate) use peer_protocol::PeerProtocol;
pub(crate) use peer_server::{MAX_EXCHANGED_EVIDENCE, PeerServer};
