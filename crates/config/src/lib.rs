//! Service definitions with their revisions, and how they are stored, changed and distributed.

mod audit_trail;
mod change_record;
mod config_head;
mod config_janitor;
mod config_loader;
mod config_replica;
mod config_state;
mod config_update;
mod config_writer;
mod definition_check;
mod definition_diff;
mod errors;
mod freshness_guard;
mod in_force_tracker;
mod lease_holder;
mod service_change;
mod service_definition;
pub mod storage_keys;
mod store_reachability;
pub mod traffic;

pub use audit_trail::{RefusedAttempt, read_audit, read_refused};
pub use change_record::{ChangeKind, ChangeRecord};
pub use config_head::{ConfigHead, HeadEntry, RECENT_LIMIT};
pub use config_janitor::{ConfigJanitor, JanitorReport, RetentionLimits};
pub use config_loader::{ConfigLoader, LoadedConfig};
pub use config_replica::{ConfigReplica, UpdateOutcome};
pub use config_state::{ConfigState, ServiceEntry};
pub use config_update::{ConfigUpdate, RemovedService, UpdateEntry};
pub use config_writer::{ChangeOutcome, ChangePreview, ConfigWriter};
pub use definition_diff::{FieldDiff, diff_definitions};
pub use errors::{BadValue, ChangeError, DefinitionError, LoadError};
pub use freshness_guard::{FreshnessGuard, FreshnessLimits, ReadyState, UnreadyReason};
pub use in_force_tracker::{InForceProgress, InForceTracker};
pub use lease_holder::LeaseHolder;
pub use service_change::{ChangeAction, ServiceChange};
pub use service_definition::{
    ConcurrencyMode, HedgeMode, HedgeSettings, ServiceDefinition, ServiceLimits, ShardMapSource,
    UpstreamEntry,
};
pub use store_reachability::{ReachabilityReport, StoreReachability};
