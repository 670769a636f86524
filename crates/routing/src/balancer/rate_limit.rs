//! The rate limit that an upstream states in its replies, and this node's share of it.

use std::time::Duration;

use mux_model::TimePoint;
use rand::RngExt;

use crate::CallKind;

/// Time for which a grant that was not used remains valid. It bounds the calls that all nodes can
/// make at once after a quiet time.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Lowest rate of calls of all nodes together. Without any call, no node would learn that the limit
/// has ended.
const MIN_RATE_PER_S: f64 = 0.25;
/// Longest time between two grants.
const MAX_GRANT_PERIOD: Duration = Duration::from_secs(3_600);

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
///
/// A node with a share of 1 in 10 of 5 requests a second has one grant each 2 s. The phases of the
/// nodes' grants are random, so that grants with a long period, of which each node has saved up at
/// most one, do not fall due together after a quiet time.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimit {
    /// Requests per second.
    rate: f64,
    /// When the next grant becomes valid, for the given period of grants.
    next_grant_at: TimePoint,
    grant_period: Duration,
    stated_since: TimePoint,
    /// When the latest reply with a limit arrived.
    confirmed_at: TimePoint,
    first_calls: u64,
    extra_calls: u64,
}

impl RateLimit {
    /// Creates the limit of `rate` requests per second that a reply stated at `now`.
    fn new(now: TimePoint, rate: f64, share: f64) -> Self {
        let grant_period = grant_period(rate, share);
        Self {
            rate,
            next_grant_at: now + grant_period.mul_f64(rand::rng().random::<f64>()),
            grant_period,
            stated_since: now,
            confirmed_at: now,
            first_calls: 0,
            extra_calls: 0,
        }
    }

    /// Returns when the upstream last stated the limit.
    pub(super) fn confirmed_at(&self) -> TimePoint {
        self.confirmed_at
    }

    /// Returns the time until a call is granted to a node with this share of the rate; zero if one is
    /// granted now.
    ///
    /// A hedge must leave a grant for the next first call, which an upstream in need should serve
    /// rather than load that may turn out to be unnecessary.
    pub(super) fn time_to_grant(&self, now: TimePoint, share: f64, kind: CallKind) -> Duration {
        let (granted_at, period) = self.earliest_grant(now, share);
        match kind {
            CallKind::Hedge => (granted_at + period).since(now),
            CallKind::First | CallKind::Retry | CallKind::Resend => granted_at.since(now),
        }
    }

    /// Uses the earliest valid grant for a call.
    pub(super) fn use_grant(&mut self, now: TimePoint, share: f64, kind: CallKind) {
        let (granted_at, period) = self.earliest_grant(now, share);
        self.next_grant_at = granted_at + period;
        self.grant_period = period;
        match kind.is_first_arrival() {
            true => self.first_calls += 1,
            false => self.extra_calls += 1,
        }
    }

    /// Returns the latest grant, which was not used for a call after all.
    pub(super) fn return_grant(&mut self) {
        self.next_grant_at = self.next_grant_at - self.grant_period;
    }

    /// Returns when the earliest grant that has not expired becomes valid, and the period of grants.
    fn earliest_grant(&self, now: TimePoint, share: f64) -> (TimePoint, Duration) {
        let period = grant_period(self.rate, share);
        // The rate or the share may have changed since the last grant.
        let next_grant_at = self.next_grant_at + period - self.grant_period;
        let expired_time = now.since(next_grant_at).saturating_sub(GRANT_LIFETIME);
        let expired_grants = (expired_time.as_secs_f64() / period.as_secs_f64()).ceil();
        (next_grant_at + period.mul_f64(expired_grants), period)
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

/// Returns the time between two grants of a node with this share of `rate`, in requests per second.
fn grant_period(rate: f64, share: f64) -> Duration {
    let period_secs = 1.0 / (rate.max(MIN_RATE_PER_S) * share);
    let max_period_secs = MAX_GRANT_PERIOD.as_secs_f64();
    // A period below the resolution of the clock would be a division by zero elsewhere.
    Duration::from_secs_f64(period_secs.clamp(1e-6, max_period_secs))
}
