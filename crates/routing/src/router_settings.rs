//! Settings that the router derives from its policy.

use crate::{HedgePolicy, RoutingPolicy, SlotShare};

/// The values of a policy that each routing decision reads; cheap to copy.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouterSettings {
    /// This node's share of the slots of each upstream; `None`: calls in flight are not limited.
    pub(crate) share: Option<SlotShare>,
    /// Maximum number of queries in flight at this node.
    pub(crate) queries_in_flight: u32,
    /// When a hedge is sent to another replica.
    pub(crate) hedge: HedgePolicy,
    /// Maximum ratio of hedges and retries to first calls; `None`: not limited.
    pub(crate) budget_ratio: Option<f64>,
}

impl RouterSettings {
    /// Derives the settings from `policy`.
    pub(crate) fn new(policy: &RoutingPolicy) -> Self {
        let nodes = policy.sharing_nodes;
        Self {
            share: policy.slots_per_upstream.map(|it| SlotShare::new(it, nodes)),
            queries_in_flight: policy.queries_in_flight,
            hedge: policy.hedge,
            budget_ratio: policy.extra_load_budget,
        }
    }
}
