//! This node's part of the quota of one workspace.

use std::time::Duration;

use mux_model::TimePoint;
use mux_sharing::{GrantLimit, GrantSchedule};

use crate::{
    QuotaBounds,
    demand_rate::DemandRate,
    phase_sequence::PhaseSequence,
    quota_limits::{ConfiguredRate, saved_time, to_duration},
};

/// Time for which a node keeps grants for its own requests instead of lending them.
const KEPT_TIME: Duration = Duration::from_millis(50);
/// A node asks others for grants when it has fewer than it is expected to need within this time.
const LOW_TIME: Duration = Duration::from_millis(40);
/// A node asks others for the grants that it is expected to need within this time. Grants of others
/// expire soon, so that a longer time would waste some.
const REFILL_TIME: Duration = Duration::from_millis(60);

/// This node's grants under the quota of one workspace, and its exchange of grants with others.
#[derive(Debug)]
pub(crate) struct WorkspaceQuota {
    pub(crate) configured: ConfiguredRate,
    /// When this process learned of the workspace.
    known_since: TimePoint,
    /// `None` for no limit.
    pub(crate) limit: Option<GrantLimit>,
    /// `None` without a limit, or before the first use.
    schedule: Option<GrantSchedule>,
    /// Whether the schedule begins with a part of the slack.
    has_saved: bool,
    demand: DemandRate,
    /// Requests that wait for the end of the round in which others are asked for grants.
    waiting: u32,
    is_asking: bool,
    last_borrowed: u32,
}

impl WorkspaceQuota {
    pub(crate) fn new(
        configured: ConfiguredRate,
        limit: Option<GrantLimit>,
        known_since: TimePoint,
    ) -> Self {
        Self {
            configured,
            limit,
            known_since,
            schedule: None,
            has_saved: true,
            demand: DemandRate::default(),
            waiting: 0,
            is_asking: false,
            last_borrowed: 0,
        }
    }

    /// Returns the schedule of grants, which is created at the first use; `None` for no limit.
    ///
    /// A node that knows the workspace for a short time only, such as after its start, has not more than
    /// its part of the slack in unused grants, because it does not know what was used before.
    pub(crate) fn schedule(
        &mut self,
        bounds: Option<&QuotaBounds>,
        share: f64,
        phases: &mut PhaseSequence,
    ) -> Option<&mut GrantSchedule> {
        let limit = self.limit?;
        let saved = bounds.filter(|_| self.has_saved).map(|it| saved_time(&limit, it));
        let since = self.known_since;
        let make = || {
            GrantSchedule::new(since, limit, share, saved.unwrap_or_default(), phases.next_phase())
        };
        Some(self.schedule.get_or_insert_with(make))
    }

    /// Returns the schedule of grants; `None` before the first use.
    pub(crate) fn schedule_mut(&mut self) -> Option<&mut GrantSchedule> {
        self.schedule.as_mut()
    }

    /// Applies a changed limit or share.
    ///
    /// A change of the limit keeps the number of unused grants as far as the limit permits, so that it
    /// neither forgives nor adds any. A smaller share keeps a smaller number, because the other nodes
    /// have the rest. A schedule that was given the new values at once would have grants in
    /// retrospect for the time since its last one, at all nodes together.
    pub(crate) fn set_limit(
        &mut self,
        now: TimePoint,
        limit: Option<GrantLimit>,
        old_share: f64,
        share: f64,
    ) {
        let is_changed = self.limit != limit || old_share != share;
        let previous = self.limit;
        self.limit = limit;
        if !is_changed {
            return;
        }
        let (Some(schedule), Some(previous), Some(limit)) = (self.schedule, previous, limit) else {
            if previous.is_none() || limit.is_none() {
                // What was used without a limit is unknown, so that there are no unused grants.
                self.schedule = None;
                self.has_saved = false;
                self.known_since = now;
            }
            return;
        };
        let unused = schedule.available(now, old_share);
        let period_s = 1.0 / (previous.rate_per_s * old_share);
        let next = schedule.time_to_grants(now, old_share, unused.saturating_add(1));
        let phase = next.as_secs_f64() / period_s;
        let kept = f64::from(unused) * (share / old_share).min(1.0);
        let saved = match kept {
            // The period may be infinite.
            0.0 => Duration::ZERO,
            kept => to_duration(kept / (limit.rate_per_s * share)),
        };
        let phase = if phase.is_finite() { phase } else { 1.0 };
        self.schedule = Some(GrantSchedule::new(now, limit, share, saved, phase));
    }

    /// Counts a request of the workspace at this node.
    pub(crate) fn count_demand(&mut self, now: TimePoint) {
        self.demand.count(now);
    }

    /// Returns how many grants the node keeps for its own requests.
    pub(crate) fn kept_grants(&self, now: TimePoint) -> u32 {
        self.demand.expected(now, KEPT_TIME)
    }

    /// Returns whether other nodes are being asked for grants.
    pub(crate) fn is_asking(&self) -> bool {
        self.is_asking
    }

    /// Returns whether the last round of questions brought grants.
    pub(crate) fn has_borrowed(&self) -> bool {
        0 < self.last_borrowed
    }

    /// Records that a request waits for grants of other nodes.
    pub(crate) fn add_waiting(&mut self) {
        self.waiting = self.waiting.saturating_add(1);
    }

    /// Records that a request no longer waits for grants of other nodes.
    pub(crate) fn remove_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Begins a round in which other nodes are asked for grants, if `available` ones are not enough;
    /// returns for how many. There is one round at a time.
    pub(crate) fn begin_asking(&mut self, now: TimePoint, available: u32) -> Option<u32> {
        if self.is_asking {
            return None;
        }
        let low = self.demand.expected(now, LOW_TIME).max(self.waiting);
        if low == 0 || low <= available {
            return None;
        }
        let needed = self.demand.expected(now, REFILL_TIME).saturating_add(self.waiting);
        self.is_asking = true;
        Some(needed.saturating_sub(available).max(1))
    }

    /// Ends the round that brought `borrowed` grants.
    pub(crate) fn end_asking(&mut self, borrowed: u32) {
        self.is_asking = false;
        self.last_borrowed = borrowed;
    }
}
