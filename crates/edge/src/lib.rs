//! The tier that callers connect to on a platform with a shared store: listeners, fan-out,
//! connections to upstreams, and what a node learns from the store.
//!
//! What is spoken on the wire and in the store is the business of an adapter, which implements
//! [`WireProtocol`] and [`ClusterStore`].

mod caller;
mod edge;
mod edge_metrics;
mod edge_settings;
mod errors;
mod query;
mod run_edge;
mod store;
mod sync;
mod upstream;
mod wire;

pub use edge_settings::{EdgeSettings, ListenAddresses};
pub use errors::EdgeError;
pub use run_edge::{run, serve};
pub use store::{
    ClusterStore, ClusterStoreError, StoreChange, StoreEntry, StoreKey, StoreLease, StoreRevision,
    StoreUpdate,
};
pub use wire::{
    AddressRequest, CallMetadata, ReplyKind, ReplyMetadata, RequestMetadata, RequestMetadataError,
    WireProtocol,
};
