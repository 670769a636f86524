//! Replica choice, limits and budgets, by what this node itself sees.

mod replica_router;
mod service_router;
mod slot_share;
mod upstream_place;

pub use replica_router::{
    AcquireError, CallKind, CallOutcome, HedgePolicy, QueryRefusal, ReplicaRouter, RoutingPolicy,
    UpstreamHint,
};
pub use service_router::ServiceRouter;
pub use slot_share::SlotShare;
pub use upstream_place::UpstreamPlace;
