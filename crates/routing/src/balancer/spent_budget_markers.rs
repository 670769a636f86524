//! Markers for services for which this node has spent much of its share of the retry budget.
//!
//! They are kept in the key-value store for the next process on the same node.

use mux_model::{FastSet, ServiceName};

use super::retry_budget::SPENT_THRESHOLD;

/// Spent fraction of the budget above which a service is included whenever the markers are written.
/// It is below the threshold that triggers a write, so that several services that approach that
/// threshold one after another cost a single write.
const NEAR_SPENT_THRESHOLD: f64 = 0.45;

/// Decides when to rewrite the markers that a process leaves for its successor.
///
/// During a fault, the budgets of many services can run out within a second or two. To save writes,
/// an additional service is written at once, but the removal of a single service is not.
#[derive(Debug, Clone)]
pub struct SpentBudgetMarkers {
    written: FastSet<ServiceName>,
    /// Whether the store may hold other markers of this node than the written ones.
    is_doubtful: bool,
    /// Whether this node has ever had markers in the store.
    has_marked: bool,
}

impl SpentBudgetMarkers {
    /// Creates the state for a store that holds markers for the services in `written`.
    pub fn new(written: FastSet<ServiceName>) -> Self {
        let has_marked = !written.is_empty();
        Self { written, is_doubtful: false, has_marked }
    }

    /// Returns the services to mark, given the spent fractions of all services, or `None` if the
    /// stored markers need no update. An empty list removes all markers.
    pub fn pending_update(
        &self,
        spent_fractions: &[(ServiceName, f64)],
    ) -> Option<Vec<ServiceName>> {
        let is_missing = |(service, fraction): &(ServiceName, f64)| {
            SPENT_THRESHOLD < *fraction && !self.written.contains(service)
        };
        let near = spent_fractions.iter().filter(|(_, fraction)| NEAR_SPENT_THRESHOLD < *fraction);
        let mut near: Vec<_> = near.map(|(service, _)| service.clone()).collect();
        let is_cleared = near.is_empty() && !self.written.is_empty();
        if !is_cleared && !self.is_doubtful && !spent_fractions.iter().any(is_missing) {
            return None;
        }
        near.sort_unstable();
        Some(near)
    }

    /// Records that the store was restored from an older copy: it may lack written markers, and hold
    /// some that were removed.
    pub fn on_store_restored(&mut self) {
        self.is_doubtful = self.has_marked;
    }

    /// Records that the store holds markers for these services.
    pub fn on_written(&mut self, services: Vec<ServiceName>) {
        self.is_doubtful = false;
        self.has_marked |= !services.is_empty();
        self.written = services.into_iter().collect();
    }
}
