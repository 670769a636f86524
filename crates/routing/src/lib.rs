//! Replica choice, limits and budgets, by what this node itself sees.

mod replica_router;

pub use replica_router::{
    AcquireError, CallKind, CallOutcome, HedgePolicy, QueryRefusal, ReplicaRouter, RoutingPolicy,
    UpstreamHint,
};
