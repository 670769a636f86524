//! The rate limit that an upstream states in its replies.

use std::time::Duration;

use mux_model::TimePoint;

use crate::CallKind;

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

/// The rate limit that an upstream states for all nodes together.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimit {
    rate: f64,
    stated_since: TimePoint,
    /// When the latest reply with a limit arrived.
    confirmed_at: TimePoint,
    first_calls: u64,
    extra_calls: u64,
}

impl RateLimit {
    /// Creates the limit of `rate` requests per second that a reply stated at `now`.
    fn new(now: TimePoint, rate: f64) -> Self {
        Self { rate, stated_since: now, confirmed_at: now, first_calls: 0, extra_calls: 0 }
    }

    /// Counts a call to the upstream.
    pub(super) fn record_call(&mut self, kind: CallKind) {
        match kind.is_first_arrival() {
            true => self.first_calls += 1,
            false => self.extra_calls += 1,
        }
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
) -> Option<RateLimitChange> {
    match (limit.as_mut(), rate) {
        (None, None) => None,
        (None, Some(rate)) => {
            *limit = Some(RateLimit::new(now, rate));
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
