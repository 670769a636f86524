//! The quotas of all workspaces at one node.

use std::time::Duration;

use mux_model::{FastMap, FastSet, TimePoint, WorkspaceName};
use mux_sharing::GrantLimit;

use crate::{
    QuotaBounds, WorkspaceRule, phase_sequence::PhaseSequence, quota_limits::ConfiguredRate,
    workspace_quota::WorkspaceQuota,
};

/// Range of the delay that is suggested to callers over their quota. Below it, a caller would repeat
/// its request before another one can have a grant; above it, a limit may have changed meanwhile.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Whether the quota of a workspace permits a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// It does, and a grant is used.
    Admitted,
    /// This node has no grant; others may have one.
    MustBorrow,
    /// Neither this node nor those that it has asked have one.
    OverQuota {
        /// Time after which the request may be repeated.
        retry_after: Duration,
    },
}

/// This node's part of the quotas of all workspaces.
///
/// Answers a workspace whose requests exceed its quota, at all nodes together or at a few of them: each
/// node uses its share of the quota, and borrows from the others what these do not use. Its memory is
/// bounded by the configuration.
#[derive(Debug)]
pub struct QuotaTable {
    /// `None` if quotas are not enforced.
    bounds: Option<QuotaBounds>,
    /// The fraction of each quota that this node may use.
    share: f64,
    phases: PhaseSequence,
    quotas: FastMap<WorkspaceName, WorkspaceQuota>,
}

impl QuotaTable {
    /// Creates an empty table of a node with this share of each quota. `seed` has to differ at random
    /// between nodes, so that their grants do not fall due together.
    pub fn new(bounds: Option<QuotaBounds>, share: f64, seed: u64) -> Self {
        let phases = PhaseSequence { state: seed };
        Self { bounds, share, phases, quotas: FastMap::default() }
    }

    /// Replaces the workspaces by those of a new configuration, and returns the names of those that
    /// were removed. Changed limits take effect at once; removed workspaces are forgotten.
    pub fn set_workspaces(
        &mut self,
        now: TimePoint,
        rules: &[WorkspaceRule],
    ) -> Vec<WorkspaceName> {
        let mut names: FastSet<&WorkspaceName> = FastSet::default();
        for rule in rules {
            if !names.insert(&rule.name) {
                // Of rules with the same name, the first determines the settings.
                continue;
            }
            let configured = ConfiguredRate { rate_per_s: rule.rate_per_s, burst: rule.burst };
            let limit = configured.grant_limit(self.bounds.as_ref());
            let quota = self
                .quotas
                .entry(rule.name.clone())
                .or_insert_with(|| WorkspaceQuota::new(configured, limit, now));
            quota.configured = configured;
            quota.set_limit(now, limit, self.share, self.share);
        }
        let removed: Vec<_> =
            self.quotas.keys().filter(|it| !names.contains(it)).cloned().collect();
        for name in &removed {
            self.quotas.remove(name);
        }
        removed
    }

    /// Applies changed bounds, or a changed share of this node.
    pub fn set_share(&mut self, now: TimePoint, bounds: Option<QuotaBounds>, share: f64) {
        if self.bounds == bounds && self.share == share {
            return;
        }
        for quota in self.quotas.values_mut() {
            let limit = quota.configured.grant_limit(bounds.as_ref());
            quota.set_limit(now, limit, self.share, share);
        }
        self.bounds = bounds;
        self.share = share;
    }

    /// Returns the number of workspaces with a limit.
    pub fn limited_workspaces(&self) -> usize {
        self.quotas.values().filter(|it| it.limit.is_some()).count()
    }

    /// Decides on a new request of a workspace.
    pub fn admit(&mut self, now: TimePoint, name: &WorkspaceName) -> QuotaVerdict {
        let share = self.share;
        let Some(quota) = self.quotas.get_mut(name) else {
            // The configuration that admitted its key has just been replaced.
            return QuotaVerdict::OverQuota { retry_after: MIN_RETRY_AFTER };
        };
        quota.count_demand(now);
        let Some(schedule) = quota.schedule(self.bounds.as_ref(), share, &mut self.phases) else {
            return QuotaVerdict::Admitted;
        };
        if schedule.available(now, share) == 0 {
            return QuotaVerdict::MustBorrow;
        }
        schedule.use_grant(now, share);
        QuotaVerdict::Admitted
    }

    /// Decides again on a request that waits for grants of other nodes.
    pub fn admit_waiting(&mut self, now: TimePoint, name: &WorkspaceName) -> QuotaVerdict {
        let share = self.share;
        let Some(quota) = self.quotas.get_mut(name) else {
            return QuotaVerdict::OverQuota { retry_after: MIN_RETRY_AFTER };
        };
        let Some(limit) = quota.limit else {
            return QuotaVerdict::Admitted;
        };
        let may_borrow = quota.is_asking() || quota.has_borrowed();
        let Some(schedule) = quota.schedule_mut() else {
            return QuotaVerdict::MustBorrow;
        };
        if 0 < schedule.available(now, share) {
            schedule.use_grant(now, share);
            QuotaVerdict::Admitted
        } else if may_borrow {
            QuotaVerdict::MustBorrow
        } else {
            QuotaVerdict::OverQuota { retry_after: retry_after(&limit) }
        }
    }

    /// Returns the delay that is suggested to a request over the quota of its workspace.
    pub fn retry_after(&self, name: &WorkspaceName) -> Duration {
        let limit = self.quotas.get(name).and_then(|it| it.limit);
        limit.map_or(MIN_RETRY_AFTER, |it| retry_after(&it))
    }

    /// Returns the grant of an admitted request that was not run.
    pub fn return_grant(&mut self, name: &WorkspaceName) {
        let quota = self.quotas.get_mut(name);
        if let Some(schedule) = quota.and_then(WorkspaceQuota::schedule_mut) {
            schedule.return_grant();
        }
    }

    /// Records that a request waits for grants of other nodes.
    pub fn add_waiting(&mut self, name: &WorkspaceName) {
        if let Some(quota) = self.quotas.get_mut(name) {
            quota.add_waiting();
        }
    }

    /// Records that a request no longer waits for grants of other nodes.
    pub fn remove_waiting(&mut self, name: &WorkspaceName) {
        if let Some(quota) = self.quotas.get_mut(name) {
            quota.remove_waiting();
        }
    }

    /// Begins a round in which other nodes are asked for grants of a workspace; returns for how many,
    /// or `None` if no more are needed or a round is under way. Has to be followed by
    /// [`Self::end_asking`].
    ///
    /// Answers a workspace whose requests reach a few nodes, at which the shares of the others are
    /// needed.
    pub fn begin_asking(&mut self, now: TimePoint, name: &WorkspaceName) -> Option<u32> {
        let share = self.share;
        let quota = self.quotas.get_mut(name)?;
        let available = quota.schedule_mut()?.available(now, share);
        quota.begin_asking(now, available)
    }

    /// Ends the round that brought `borrowed` grants, which [`Self::add_borrowed`] has added as each
    /// node lent them.
    pub fn end_asking(&mut self, name: &WorkspaceName, borrowed: u32) {
        if let Some(quota) = self.quotas.get_mut(name) {
            quota.end_asking(borrowed);
        }
    }

    /// Gives up to `wanted` grants to another node, but keeps what this one is expected to need;
    /// returns how many.
    pub fn lend(&mut self, now: TimePoint, name: &WorkspaceName, wanted: u32) -> u32 {
        let share = self.share;
        let Some(quota) = self.quotas.get_mut(name) else {
            return 0;
        };
        let kept = quota.kept_grants(now);
        let schedule = quota.schedule(self.bounds.as_ref(), share, &mut self.phases);
        schedule.map_or(0, |it| it.lend(now, share, wanted, kept))
    }

    /// Adds grants that another node has given up.
    pub fn add_borrowed(&mut self, now: TimePoint, name: &WorkspaceName, count: u32) {
        let quota = self.quotas.get_mut(name).filter(|_| 0 < count);
        if let Some(schedule) = quota.and_then(WorkspaceQuota::schedule_mut) {
            schedule.add_borrowed(now, count);
        }
    }
}

/// Returns the time between two grants of all nodes together, within the range of suggested delays.
fn retry_after(limit: &GrantLimit) -> Duration {
    let period = Duration::try_from_secs_f64(1.0 / limit.rate_per_s).unwrap_or(MAX_RETRY_AFTER);
    period.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
