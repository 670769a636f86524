//! What the router derives from its policy.

use crate::{HedgePolicy, RoutingPolicy, SlotShare};

/// The parts of a policy that decisions need, cheap to copy.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouterSettings {
    /// This node's share of each upstream; `None`: calls in flight are not limited.
    pub(crate) share: Option<SlotShare>,
    /// Queries that this node works on at once.
    pub(crate) queries_in_flight: u32,
    /// When a second replica is asked.
    pub(crate) hedge: HedgePolicy,
    /// Hedges and retries as a share of first calls; `None`: not limited.
    pub(crate) budget: Option<f64>,
}

impl RouterSettings {
    /// Derives the settings from `policy`.
    pub(crate) fn new(policy: &RoutingPolicy) -> Self {
        let nodes = policy.sharing_nodes;
        Self {
            share: policy.slots_per_upstream.map(|it| SlotShare::new(it, nodes)),
            queries_in_flight: policy.queries_in_flight,
            hedge: policy.hedge,
            budget: policy.extra_load_budget,
        }
    }
}
