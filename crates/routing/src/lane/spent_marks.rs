//! Which services a node is to mark as having spent its part of the budget.

use std::time::Duration;

use mux_model::{FastMap, FastSet, ServiceName, TimePoint};

/// Time for which a mark is kept once the budget is no longer spent, so that one that is about to
/// be spent again costs no writes; what is in the window then is no reason for a mark.
const KEEP_TIME: Duration = Duration::from_secs(2);

/// Decides when the marks that a process leaves for the one after it are written anew.
///
/// Answers a fault during which the shares of many services run out within a second or two: one
/// more service is worth a write at once, one less is not.
#[derive(Debug, Clone)]
pub struct SpentMarks {
    /// When the budget of a service was last found spent.
    spent_at: FastMap<ServiceName, TimePoint>,
    written: FastSet<ServiceName>,
}

impl SpentMarks {
    /// Creates marks of which those in `written` are in force.
    pub fn new(written: FastSet<ServiceName>) -> Self {
        Self { spent_at: FastMap::default(), written }
    }

    /// Takes in the services whose budget is spent now; returns the marks to write, none of which
    /// removes them all, or `None` if those in force will do.
    pub fn on_check(
        &mut self,
        now: TimePoint,
        spent: FastSet<ServiceName>,
    ) -> Option<Vec<ServiceName>> {
        for service in spent {
            self.spent_at.insert(service, now);
        }
        self.spent_at.retain(|_, at| now.since(*at) < KEEP_TIME);
        let is_missing = self.spent_at.keys().any(|it| !self.written.contains(it));
        let is_over = self.spent_at.is_empty() && !self.written.is_empty();
        if !is_missing && !is_over {
            return None;
        }
        let mut services: Vec<_> = self.spent_at.keys().cloned().collect();
        services.sort_unstable();
        Some(services)
    }

    /// Takes in that the store holds these marks.
    pub fn on_written(&mut self, services: Vec<ServiceName>) {
        self.written = services.into_iter().collect();
    }
}
