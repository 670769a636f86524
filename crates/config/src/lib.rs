//! Service definitions, their revisions, and the rules by which they change.

mod service_definition;

pub use service_definition::{
    ConcurrencyMode, HedgeMode, HedgeSettings, ServiceDefinition, ServiceLimits, ShardMapSource,
    UpstreamEntry,
};
