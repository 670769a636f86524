//! Calls between nodes: all that nodes tell each other goes through [`relay_protocol::RelayProtocol`].
//!
//! Nodes read each other's copies of the store, so that the number of calls to the store does not grow
//! with the number of nodes; they exchange evidence against requests and lend each other
//! grants; and a node that is cut from all
//! upstreams forwards its requests.

mod copy_currency;
mod forwarded_request;
mod helper_links;
mod helper_table;
mod peer_rotation;
mod relay_client;
mod relay_protocol;
mod relay_server;
mod store_mirror;

pub use copy_currency::{CopyCurrency, CopyLease, longest_stale_delay};
pub(crate) use forwarded_request::{
    ForwardedAnswer, ForwardedRequest, NotTakenReason, to_header_lines, to_header_map, to_status,
};
pub(crate) use helper_links::{HelperLinks, HelperResult};
pub use helper_table::{HelperRefusal, HelperTable};
pub use peer_rotation::PeerRotation;
pub(crate) use relay_client::{RelayConnection, RelayError};
pub(crate) use relay_protocol::GrantRequest;
pub use relay_protocol::RelayedUpdate;
pub(crate) use relay_server::RelayServer;
pub use store_mirror::{MirrorUpdate, StoreMirror};
