//! The bound on calls to a cold upstream, and this node's share of it.

use std::{cell::Cell, mem, time::Duration};

use mux_model::{InstanceId, TimePoint};
use mux_sharing::{GrantLimit, GrantSchedule};

use crate::CallKind;

/// Time in which the calls to a cold upstream are counted against the bound.
const BOUND_WINDOW: Duration = Duration::from_secs(1);
/// Part of the margin between the rate and the bound that unused grants may fill at once. The rest is
/// for nodes that learn late, nodes that the others do not count, and grants of many nodes that fall due
/// together by chance.
const SAVED_MARGIN_SHARE: f64 = 0.125;
/// Range of the time for which an unused grant remains valid. Within the shortest one a busy node has a
/// call to use it for.
const MIN_GRANT_LIFETIME: Duration = Duration::from_millis(50);
const MAX_GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Time after a reply that states how long the upstream stays cold in which an entry of the store that
/// states less is taken for an older one.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(5);
/// Grants that a node which calls the upstream keeps when others ask for them.
const KEPT_GRANTS: u32 = 1;

/// The margin of the bound on calls to a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpBounds {
    /// Factor on the rate that a cold upstream sustains.
    pub overage: f64,
    /// Further calls in any second.
    pub slack: f64,
}

/// The bound on the calls to each cold upstream of a service, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpRule {
    /// Time for which an upstream is cold after its start.
    pub period: Duration,
    /// Requests per second that a cold upstream sustains; above 0.
    pub rate_per_s: f64,
    /// The margin.
    pub bounds: WarmUpBounds,
    /// Part of the period between two grants of this node after which the first one falls due; 0 to 1.
    ///
    /// Most nodes learn of a cold upstream at about the same time, so that evenly spread phases keep their
    /// grants from falling due together.
    pub phase: f64,
}

impl WarmUpRule {
    fn grant_limit(&self) -> GrantLimit {
        let margin = (self.bounds.overage - 1.0).max(0.0) * self.rate_per_s + self.bounds.slack;
        let lifetime_s = SAVED_MARGIN_SHARE * margin / self.rate_per_s;
        let lifetime = Duration::try_from_secs_f64(lifetime_s).unwrap_or(MAX_GRANT_LIFETIME);
        GrantLimit {
            rate_per_s: self.rate_per_s,
            unused_lifetime: lifetime.clamp(MIN_GRANT_LIFETIME, MAX_GRANT_LIFETIME),
        }
    }
}

/// The place of a node among those that share bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodePlace {
    /// Rank of the node in its availability zone, from 0.
    pub rank: usize,
    /// Number of nodes in the zone.
    pub nodes: usize,
    /// Rank of the zone, from 0.
    pub zone_rank: usize,
    /// Number of zones.
    pub zones: usize,
}

impl NodePlace {
    /// Returns the phase of the grants of the node, from 0 to 1. The nodes of a zone, which have equal
    /// shares, are spread evenly, and those of different zones lie between one another.
    pub fn phase(&self) -> f64 {
        let zone_offset = (self.zone_rank as f64 + 0.5) / self.zones.max(1) as f64;
        ((self.rank as f64 + zone_offset) / self.nodes.max(1) as f64).min(1.0)
    }
}

/// Use of the bound of one cold upstream by this node.
#[derive(Debug, Clone, PartialEq)]
pub struct WarmUpReport {
    /// The upstream.
    pub instance: InstanceId,
    /// Whether the upstream is still cold.
    pub is_cold: bool,
    /// Requests per second that the upstream sustains while it is cold, for all nodes together.
    pub rate_per_s: f64,
    /// Fraction of the rate that is granted to this node.
    pub share: f64,
    /// Calls of this node.
    pub calls: u64,
    /// Times that the upstream was not chosen because this node had no grant; a waiting call counts once
    /// per attempt.
    pub held_back: u64,
    /// Time for which this node has known that the upstream is cold.
    pub age: Duration,
    /// Time until the upstream is warm.
    pub time_left: Duration,
}

/// Number of calls to an upstream within the last second or two.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentCalls {
    window: u128,
    current: u32,
    previous: u32,
}

impl RecentCalls {
    /// Records a call.
    pub(super) fn record(&mut self, now: TimePoint) {
        *self = self.at(now);
        self.current = self.current.saturating_add(1);
    }

    fn count(self, now: TimePoint) -> u32 {
        let Self { current, previous, .. } = self.at(now);
        current.saturating_add(previous)
    }

    fn at(self, now: TimePoint) -> Self {
        let window = u128::from(now.as_micros()) / BOUND_WINDOW.as_micros();
        match window - self.window.min(window) {
            0 => self,
            1 => Self { window, current: 0, previous: self.current },
            _ => Self { window, current: 0, previous: 0 },
        }
    }
}

/// The grants of this node for calls to a cold upstream.
#[derive(Debug, Clone)]
struct WarmUpGrants {
    rule: WarmUpRule,
    schedule: GrantSchedule,
    since: TimePoint,
    calls: u64,
    held_back: Cell<u64>,
    /// Calls that found no grant since other nodes were last asked for some.
    missing: u32,
    is_reported: bool,
}

/// Whether an upstream is cold, and the grants of this node while it is.
///
/// Answers upstreams that start, return or lose their caches under load, up to a whole zone or all
/// replicas of a shard at once: the nodes together send no more than they sustain, and other replicas get
/// the rest.
#[derive(Debug, Clone, Default)]
pub(super) struct WarmUp {
    cold_until: TimePoint,
    /// When a reply last stated how long the upstream stays cold.
    stated_at: Option<TimePoint>,
    grants: Option<WarmUpGrants>,
    recent_calls: RecentCalls,
}

impl WarmUp {
    /// Applies the time left that an entry of the store states. `rule` is the bound of the service, if
    /// any, and `share` the part of it that belongs to this node.
    pub(super) fn on_entry(
        &mut self,
        now: TimePoint,
        time_left: Duration,
        rule: Option<&WarmUpRule>,
        share: f64,
    ) {
        let is_shorter = now + time_left < self.cold_until;
        if is_shorter && self.stated_at.is_some_and(|it| now.since(it) < MAX_ENTRY_DELAY) {
            return;
        }
        self.set_time_left(now, time_left, rule, share);
    }

    /// Applies the time left that a reply to a call sent at `sent_at` states.
    ///
    /// A reply to an earlier call than the latest statement does not shorten it, as the upstream may have
    /// turned cold in between.
    pub(super) fn on_reply(
        &mut self,
        now: TimePoint,
        sent_at: TimePoint,
        time_left: Duration,
        rule: Option<&WarmUpRule>,
        share: f64,
    ) {
        let is_shorter = now + time_left < self.cold_until;
        if is_shorter && self.stated_at.is_some_and(|it| sent_at <= it) {
            return;
        }
        self.stated_at = Some(now);
        self.set_time_left(now, time_left, rule, share);
    }

    /// Takes the upstream for cold for the whole period of the rule, because what is known of it is
    /// older than the return of its zone.
    pub(super) fn assume_cold(&mut self, now: TimePoint, rule: Option<&WarmUpRule>, share: f64) {
        let period = rule.map_or(Duration::ZERO, |it| it.period);
        self.set_time_left(now, period.max(self.time_left(now)), rule, share);
    }

    /// Replaces the bound of the service.
    pub(super) fn set_rule(&mut self, now: TimePoint, rule: Option<&WarmUpRule>, share: f64) {
        let (Some(rule), true) = (rule, now < self.cold_until) else {
            // An ended warm-up is kept until it has been reported.
            if rule.is_none() {
                self.grants = None;
            }
            return;
        };
        match &mut self.grants {
            Some(grants) => {
                grants.rule = *rule;
                grants.schedule.set_limit(rule.grant_limit());
            }
            None => self.grants = Some(self.new_grants(now, rule, share)),
        }
    }

    fn set_time_left(
        &mut self,
        now: TimePoint,
        time_left: Duration,
        rule: Option<&WarmUpRule>,
        share: f64,
    ) {
        if self.cold_until <= now && !time_left.is_zero() {
            // The grants of an earlier warm-up do not count.
            self.grants = None;
        }
        self.cold_until = now + time_left;
        self.set_rule(now, rule, share);
    }

    /// Creates the grants of a warm-up that this node learns of now. Calls that it has just made count as
    /// granted, because the upstream may have turned cold before them.
    fn new_grants(&self, now: TimePoint, rule: &WarmUpRule, share: f64) -> WarmUpGrants {
        let used_s = f64::from(self.recent_calls.count(now)) / (rule.rate_per_s * share);
        let used = Duration::try_from_secs_f64(used_s).unwrap_or(BOUND_WINDOW).min(BOUND_WINDOW);
        let limit = rule.grant_limit();
        WarmUpGrants {
            rule: *rule,
            schedule: GrantSchedule::new(now + used, limit, share, Duration::ZERO, rule.phase),
            since: now,
            calls: 0,
            held_back: Cell::new(0),
            missing: 0,
            is_reported: false,
        }
    }

    /// Returns whether the upstream is cold and the calls to it are bounded.
    pub(super) fn is_bounded(&self, now: TimePoint) -> bool {
        self.active(now).is_some()
    }

    /// Returns whether the upstream is cold.
    pub(super) fn is_cold(&self, now: TimePoint) -> bool {
        now < self.cold_until
    }

    fn time_left(&self, now: TimePoint) -> Duration {
        self.cold_until.since(now.min(self.cold_until))
    }

    fn active(&self, now: TimePoint) -> Option<&WarmUpGrants> {
        self.grants.as_ref().filter(|_| self.is_cold(now))
    }

    fn active_mut(&mut self, now: TimePoint) -> Option<&mut WarmUpGrants> {
        let is_cold = self.is_cold(now);
        self.grants.as_mut().filter(|_| is_cold)
    }

    /// Returns the time until the bound allows a call of this node; zero if it allows one now. A hedge
    /// must leave a grant for the next first call.
    pub(super) fn time_to_grant(&self, now: TimePoint, share: f64, kind: CallKind) -> Duration {
        let Some(grants) = self.active(now) else {
            return Duration::ZERO;
        };
        let count = if kind == CallKind::Hedge { 2 } else { 1 };
        let wait = grants.schedule.time_to_grants(now, share, count);
        if !wait.is_zero() {
            grants.held_back.set(grants.held_back.get() + 1);
        }
        wait
    }

    /// Records a call, which uses a grant if the upstream is cold.
    pub(super) fn on_call(&mut self, now: TimePoint, share: f64) {
        self.recent_calls.record(now);
        if let Some(grants) = self.active_mut(now) {
            grants.schedule.use_grant(now, share);
            grants.calls += 1;
        }
    }

    /// Returns the grant of the latest call, which is not made after all.
    pub(super) fn return_grant(&mut self) {
        if let Some(grants) = &mut self.grants {
            grants.schedule.return_grant();
            grants.calls = grants.calls.saturating_sub(1);
        }
    }

    /// Records a call that finds no grant.
    pub(super) fn record_missing(&mut self, now: TimePoint, share: f64) {
        if let Some(grants) = self.active_mut(now)
            && grants.schedule.available(now, share) == 0
        {
            grants.missing = grants.missing.saturating_add(1);
        }
    }

    /// Returns the number of calls that found no grant since the last time.
    pub(super) fn take_missing(&mut self) -> u32 {
        self.grants.as_mut().map_or(0, |it| mem::take(&mut it.missing))
    }

    /// Gives up to `wanted` grants to another node; returns how many. A node without calls keeps none, as
    /// among many nodes each has one grant at a time.
    pub(super) fn lend(&mut self, now: TimePoint, share: f64, wanted: u32) -> u32 {
        let kept = if self.recent_calls.count(now) == 0 { 0 } else { KEPT_GRANTS };
        let grants = self.active_mut(now);
        grants.map_or(0, |it| it.schedule.lend(now, share, wanted, kept))
    }

    /// Adds grants that another node has given up.
    pub(super) fn add_borrowed(&mut self, now: TimePoint, count: u32) {
        if let Some(grants) = self.active_mut(now) {
            grants.schedule.add_borrowed(now, count);
        }
    }

    /// Returns the use of the bound; `None` if the upstream is not cold, or not bounded.
    pub(super) fn report(
        &self,
        now: TimePoint,
        instance: &InstanceId,
        share: f64,
    ) -> Option<WarmUpReport> {
        let grants = self.grants.as_ref()?;
        Some(WarmUpReport {
            instance: instance.clone(),
            is_cold: self.is_cold(now),
            rate_per_s: grants.rule.rate_per_s,
            share,
            calls: grants.calls,
            held_back: grants.held_back.get(),
            age: now.since(grants.since),
            time_left: self.time_left(now),
        })
    }

    /// Returns the use of the bound if the warm-up has begun or ended since the last call of this method.
    pub(super) fn take_change(
        &mut self,
        now: TimePoint,
        instance: &InstanceId,
        share: f64,
    ) -> Option<WarmUpReport> {
        let report = self.report(now, instance, share)?;
        let grants = self.grants.as_mut()?;
        let was_reported = std::mem::replace(&mut grants.is_reported, true);
        if !report.is_cold {
            self.grants = None;
            return Some(report);
        }
        (!was_reported).then_some(report)
    }
}
