//! A node of the query tier on a platform with a shared store: listeners, fan-out, connections to
//! upstreams, and synchronization with the store.
//!
//! The wire protocol and the format of the store's entries are defined by an adapter, which
//! implements [`WireProtocol`] and [`ClusterStore`].

mod balancer_table;
mod caller;
mod edge_metrics;
mod edge_settings;
mod edge_state;
mod errors;
mod evacuation_metrics;
mod planned_stop;
mod quarantine_state;
mod query;
mod reach;
mod relay;
mod request_quarantine;
mod route_states;
mod run_edge;
mod service_limits;
mod sharing;
mod store;
mod sync;
mod upstream;
mod warm_up_metrics;
mod wire;
mod workspace_quotas;

pub use edge_settings::{
    EdgeSettings, ListenAddresses, ProcessLimits, RuntimeLimits, SettingsChange,
};
pub use errors::EdgeError;
pub use relay::{
    CopyCurrency, CopyLease, HelperRefusal, HelperTable, MirrorUpdate, PeerRotation, RelayedUpdate,
    StoreMirror, longest_stale_delay,
};
pub use run_edge::{run, serve};
pub use store::{
    ClusterStore, ClusterStoreError, StoreChange, StoreEntry, StoreEra, StoreKey, StoreLease,
    StoreRevision, StoreUpdate,
};
pub use sync::ReadPacing;
pub use upstream::{
    BufferReservation, LimitedStream, MAX_REPLY_BYTES, ReplyBuffers, SHORT_REPLY_BYTES,
};
pub use wire::{
    AddressRequest, CallMetadata, QuietRequest, RateLimitStatement, ReplyIdentity, ReplyKind,
    ReplyMetadata, RequestMetadata, RequestMetadataError, WarmUpStatement, WireProtocol,
};
