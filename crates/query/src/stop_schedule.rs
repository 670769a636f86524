//! Which requests a stopping node still takes.

use std::time::Duration;

use mux_model::TimePoint;

/// Time that an idempotent request may need, in latency targets of its route. One that needs longer is
/// repeated by its caller at another node.
const IDEMPOTENT_TARGETS: u32 = 4;
/// Time that a request which must not be repeated may need, in latency targets of its route.
const AT_MOST_ONCE_TARGETS: u32 = 8;

/// When a stopping node gives the requests in flight their final answers, whatever their state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StopSchedule {
    /// Time at which the final answers are due.
    pub answer_by: TimePoint,
}

impl StopSchedule {
    /// Returns whether an idempotent request can be expected to be complete in time. `allowed` is the time
    /// until its deadline, `latency_target` that of its route.
    pub fn takes_idempotent(
        &self,
        now: TimePoint,
        allowed: Duration,
        latency_target: Duration,
    ) -> bool {
        self.leaves(now, allowed.min(latency_target.saturating_mul(IDEMPOTENT_TARGETS)))
    }

    /// Returns whether a request that must not be repeated can be expected to be complete in time. An
    /// interruption would leave its caller without knowing whether it took effect.
    pub fn takes_at_most_once(
        &self,
        now: TimePoint,
        allowed: Duration,
        latency_target: Duration,
    ) -> bool {
        self.leaves(now, allowed.min(latency_target.saturating_mul(AT_MOST_ONCE_TARGETS)))
    }

    fn leaves(&self, now: TimePoint, needed: Duration) -> bool {
        now + needed <= self.answer_by
    }
}
