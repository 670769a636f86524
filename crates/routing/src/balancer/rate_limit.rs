//! The rate limit that an upstream states in its replies, and this node's share of it.

use std::{mem, time::Duration};

use mux_model::TimePoint;
use mux_sharing::{GrantLimit, GrantSchedule};
use rand::RngExt;

use crate::CallKind;

/// Time for which a grant that was not used remains valid. It bounds the calls that all nodes can
/// make at once after a quiet time.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Lowest rate of calls of all nodes together. Without any call, no node would learn that the limit
/// has ended.
const MIN_RATE_PER_S: f64 = 0.25;

/// Calls of this node to an upstream under one rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitReport {
    /// Requests per second that the upstream accepts from all nodes together.
    pub rate: f64,
    /// Time since the upstream first stated a limit.
    pub age: Duration,
    /// First calls of queries since then.
    pub first_calls: u64,
    /// Hedges and retries since then.
    pub extra_calls: u64,
}

/// Change of an upstream's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateLimitChange {
    /// The upstream states a limit, in requests per second, for the first time.
    Started(f64),
    /// The upstream states another limit than before.
    Changed(RateLimitReport),
    /// The upstream no longer states a limit.
    Ended(RateLimitReport),
}

/// The rate limit that an upstream states for all nodes together, and the grants of this node.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimit {
    /// Requests per second.
    rate: f64,
    grants: GrantSchedule,
    stated_since: TimePoint,
    /// When the latest reply with a limit arrived.
    confirmed_at: TimePoint,
    first_calls: u64,
    extra_calls: u64,
    /// Calls that found no grant since [`Self::take_missing`] was last called.
    missing: u32,
}

impl RateLimit {
    /// Creates the limit of `rate` requests per second that a reply stated at `now`.
    fn new(now: TimePoint, rate: f64, share: f64) -> Self {
        // The phases of the nodes differ, so that their grants do not fall due together.
        let phase = rand::rng().random::<f64>();
        Self {
            rate,
            grants: GrantSchedule::new(now, grant_limit(rate), share, Duration::ZERO, phase),
            stated_since: now,
            confirmed_at: now,
            first_calls: 0,
            extra_calls: 0,
            missing: 0,
        }
    }

    /// Returns when the upstream last stated the limit.
    pub(super) fn confirmed_at(&self) -> TimePoint {
        self.confirmed_at
    }

    /// Returns the limit that the upstream stated, in requests per second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the time until a call is granted to a node with this share of the rate; zero if one is
    /// granted now.
    ///
    /// A hedge must leave a grant for the next first call, which an upstream in need should serve
    /// rather than load that may turn out to be unnecessary.
    pub(super) fn time_to_grant(&self, now: TimePoint, share: f64, kind: CallKind) -> Duration {
        let grants = if kind == CallKind::Hedge { 2 } else { 1 };
        self.grants.time_to_grants(now, share, grants)
    }

    /// Uses the earliest valid grant for a call.
    pub(super) fn use_grant(&mut self, now: TimePoint, share: f64, kind: CallKind) {
        self.grants.use_grant(now, share);
        match kind.is_first_arrival() {
            true => self.first_calls += 1,
            false => self.extra_calls += 1,
        }
    }

    /// Returns the latest grant, which was not used for a call after all.
    pub(super) fn return_grant(&mut self) {
        self.grants.return_grant();
    }

    /// Records that a call found no grant.
    pub(super) fn on_missing(&mut self) {
        self.missing = self.missing.saturating_add(1);
    }

    /// Returns the number of calls that found no grant since the last time.
    pub(super) fn take_missing(&mut self) -> u32 {
        mem::take(&mut self.missing)
    }

    /// Gives up to `wanted` grants that this node does not need to another one; returns how many.
    pub(super) fn lend(&mut self, now: TimePoint, share: f64, wanted: u32) -> u32 {
        self.grants.lend_unneeded(now, share, wanted)
    }

    /// Adds grants that another node has given up.
    pub(super) fn add_borrowed(&mut self, now: TimePoint, count: u32) {
        self.grants.add_borrowed(now, count);
    }

    fn report(&self, now: TimePoint) -> RateLimitReport {
        RateLimitReport {
            rate: self.rate,
            age: now.since(self.stated_since),
            first_calls: self.first_calls,
            extra_calls: self.extra_calls,
        }
    }
}

/// Updates the limit of an upstream from a reply that states `rate`, or no limit.
///
/// A reply to a call that was sent before the limit was last confirmed does not end it, because the
/// upstream may have sent that reply before it stated the limit.
pub(super) fn update_rate_limit(
    limit: &mut Option<RateLimit>,
    now: TimePoint,
    sent_at: TimePoint,
    rate: Option<f64>,
    share: f64,
) -> Option<RateLimitChange> {
    match (limit.as_mut(), rate) {
        (None, None) => None,
        (None, Some(rate)) => {
            *limit = Some(RateLimit::new(now, rate, share));
            Some(RateLimitChange::Started(rate))
        }
        (Some(known), Some(rate)) => {
            known.confirmed_at = now;
            if known.rate == rate {
                return None;
            }
            let report = known.report(now);
            known.rate = rate;
            known.grants.set_limit(grant_limit(rate));
            Some(RateLimitChange::Changed(report))
        }
        (Some(known), None) if sent_at <= known.confirmed_at => None,
        (Some(known), None) => {
            let report = known.report(now);
            *limit = None;
            Some(RateLimitChange::Ended(report))
        }
    }
}

fn grant_limit(rate: f64) -> GrantLimit {
    GrantLimit { rate_per_s: rate.max(MIN_RATE_PER_S), unused_lifetime: GRANT_LIFETIME }
}
