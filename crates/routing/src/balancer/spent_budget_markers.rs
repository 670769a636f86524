//! Which services a node is to mark as having spent its part of the budget.

use mux_model::{FastSet, ServiceName};

use super::retry_budget::SPENT_SHARE;

/// Part of the budget from which a service is marked along with others, and down to which it stays
/// marked; less than the share that needs a mark, so that services that come close to it one after
/// the other cost one write.
const NEAR_SHARE: f64 = 0.45;

/// Decides when the marks that a process leaves for the one after it are written anew.
///
/// Answers a fault during which the shares of many services run out within a second or two: one
/// more service is worth a write at once, one less is not.
#[derive(Debug, Clone)]
pub struct SpentBudgetMarkers {
    written: FastSet<ServiceName>,
}

impl SpentBudgetMarkers {
    /// Creates marks of which those in `written` are in force.
    pub fn new(written: FastSet<ServiceName>) -> Self {
        Self { written }
    }

    /// Takes in what is spent of the parts of all services; returns the marks to write, none of
    /// which removes them all, or `None` if those in force will do.
    pub fn pending_update(&self, parts: &[(ServiceName, f64)]) -> Option<Vec<ServiceName>> {
        let is_missing = |(service, part): &(ServiceName, f64)| {
            SPENT_SHARE < *part && !self.written.contains(service)
        };
        let near = parts.iter().filter(|(_, part)| NEAR_SHARE < *part);
        let mut near: Vec<_> = near.map(|(service, _)| service.clone()).collect();
        let is_over = near.is_empty() && !self.written.is_empty();
        if !is_over && !parts.iter().any(is_missing) {
            return None;
        }
        near.sort_unstable();
        Some(near)
    }

    /// Takes in that the store holds these marks.
    pub fn on_written(&mut self, services: Vec<ServiceName>) {
        self.written = services.into_iter().collect();
    }
}
