//! This node's grants under a bound that holds over all nodes.

use std::time::Duration;

use mux_model::TimePoint;

use crate::use_rate::UseRate;

/// Longest time between two grants.
const MAX_GRANT_PERIOD: Duration = Duration::from_secs(3_600);
/// Part of the lifetime of an unused grant for which grants of other nodes remain valid. These have
/// been unused for a while, so that a full lifetime would double what can be used at once.
const BORROWED_LIFETIME_DIVISOR: u32 = 4;
/// Shortest time for which grants of other nodes remain valid.
const MIN_BORROWED_LIFETIME: Duration = Duration::from_millis(50);
/// Longest time for which grants of other nodes remain valid, because the bound may change meanwhile.
const MAX_BORROWED_LIFETIME: Duration = Duration::from_secs(1);
/// Time for whose expected use a node keeps grants when it lends others.
const KEPT_USE_PERIOD: Duration = Duration::from_millis(500);

/// A bound on the rate of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantLimit {
    /// Grants per second.
    pub rate_per_s: f64,
    /// Time for which an unused grant remains valid. Together, the nodes can use at most the grants of
    /// this time at once.
    pub unused_lifetime: Duration,
}

/// The grants of this node under a bound that holds over all nodes.
///
/// A node with a share of 1 in 10 of 5 grants a second has one grant each 2 s. If the phases of the
/// nodes differ, grants with a long period, of which each node keeps at most one, do not fall due
/// together after a quiet time.
///
/// Grants move between nodes only when one node lends them and another adds them, so that a lost
/// message can only reduce their number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantSchedule {
    limit: GrantLimit,
    /// When the next grant falls due, in microseconds of the process's clock; negative if it was due
    /// before the start of the process.
    next_grant_us: i64,
    /// Period of the grants to which `next_grant_us` applies.
    period_us: i64,
    borrowed: u32,
    borrowed_until: TimePoint,
    use_rate: UseRate,
}

impl GrantSchedule {
    /// Creates the schedule of a node that has made no use of the bound since `since`, with the unused
    /// grants of the time `saved` before. `phase` is the part of a period until the next grant after
    /// them, from 0 to 1.
    pub fn new(
        since: TimePoint,
        limit: GrantLimit,
        share: f64,
        saved: Duration,
        phase: f64,
    ) -> Self {
        let period_us = period_us(&limit, share);
        let saved_us = to_i64(saved.min(limit.unused_lifetime).as_micros());
        let phase_us = (period_us as f64 * phase.clamp(0.0, 1.0)) as i64;
        Self {
            limit,
            next_grant_us: to_i64(since.as_micros().into()) - saved_us + phase_us,
            period_us,
            borrowed: 0,
            borrowed_until: TimePoint::ZERO,
            use_rate: UseRate::default(),
        }
    }

    /// Returns the bound.
    pub fn limit(&self) -> GrantLimit {
        self.limit
    }

    /// Replaces the bound; grants that were used under the previous one remain used.
    pub fn set_limit(&mut self, limit: GrantLimit) {
        self.limit = limit;
    }

    /// Returns the time until `count` grants are available to a node with this share; zero if they are
    /// available now.
    pub fn time_to_grants(&self, now: TimePoint, share: f64, count: u32) -> Duration {
        let missing = count.saturating_sub(self.borrowed(now));
        if missing == 0 {
            return Duration::ZERO;
        }
        let (first_us, period_us) = self.earliest_grant(now, share);
        let last_us = first_us.saturating_add(period_us.saturating_mul(i64::from(missing) - 1));
        let wait_us = last_us.saturating_sub(to_i64(now.as_micros().into()));
        Duration::from_micros(u64::try_from(wait_us).unwrap_or_default())
    }

    /// Returns the number of grants that are available now.
    pub fn available(&self, now: TimePoint, share: f64) -> u32 {
        self.own_available(now, share).saturating_add(self.borrowed(now))
    }

    /// Uses a grant: the earliest one of this node, or a borrowed one if none of its own is available.
    pub fn use_grant(&mut self, now: TimePoint, share: f64) {
        self.use_rate.on_use(now);
        let borrowed = self.borrowed(now);
        if 0 < borrowed && self.own_available(now, share) == 0 {
            self.borrowed = borrowed - 1;
        } else {
            self.skip_grants(now, share, 1);
        }
    }

    /// Returns the latest grant, which was not used after all.
    pub fn return_grant(&mut self) {
        self.next_grant_us = self.next_grant_us.saturating_sub(self.period_us);
    }

    /// Gives up to `wanted` available grants to another node, but keeps `kept` of them; returns how
    /// many.
    pub fn lend(&mut self, now: TimePoint, share: f64, wanted: u32, kept: u32) -> u32 {
        let lent = self.own_available(now, share).saturating_sub(kept).min(wanted);
        if 0 < lent {
            self.skip_grants(now, share, lent);
        }
        lent
    }

    /// Gives up to `wanted` available grants to another node, except those that this node is about to
    /// use itself; returns how many.
    ///
    /// Answers nodes of which one makes most calls: the others lend all that they do not use, and each
    /// keeps what it uses in half a second.
    pub fn lend_unneeded(&mut self, now: TimePoint, share: f64, wanted: u32) -> u32 {
        let kept = self.use_rate.expected_uses(now, KEPT_USE_PERIOD);
        self.lend(now, share, wanted, kept)
    }

    /// Adds grants that another node has given up.
    pub fn add_borrowed(&mut self, now: TimePoint, count: u32) {
        self.borrowed = self.borrowed(now).saturating_add(count);
        let lifetime = self.limit.unused_lifetime / BORROWED_LIFETIME_DIVISOR;
        self.borrowed_until = now + lifetime.clamp(MIN_BORROWED_LIFETIME, MAX_BORROWED_LIFETIME);
    }

    fn borrowed(&self, now: TimePoint) -> u32 {
        if now < self.borrowed_until { self.borrowed } else { 0 }
    }

    fn own_available(&self, now: TimePoint, share: f64) -> u32 {
        let (first_us, period_us) = self.earliest_grant(now, share);
        match to_i64(now.as_micros().into()).saturating_sub(first_us) {
            age_us if age_us < 0 => 0,
            age_us => u32::try_from(age_us / period_us + 1).unwrap_or(u32::MAX),
        }
    }

    fn skip_grants(&mut self, now: TimePoint, share: f64, count: u32) {
        let (first_us, period_us) = self.earliest_grant(now, share);
        self.next_grant_us = first_us.saturating_add(period_us.saturating_mul(i64::from(count)));
        self.period_us = period_us;
    }

    /// Returns when the earliest grant that has not expired falls due, and the period of the grants.
    fn earliest_grant(&self, now: TimePoint, share: f64) -> (i64, i64) {
        let period_us = period_us(&self.limit, share);
        // The rate or the share may have changed since the last grant.
        let next_us = self.next_grant_us.saturating_add(period_us - self.period_us);
        let unused_us = to_i64(now.as_micros().into()).saturating_sub(next_us);
        let expired_us = unused_us.saturating_sub(to_i64(self.limit.unused_lifetime.as_micros()));
        let expired_grants = match expired_us {
            it if it <= 0 => 0,
            it => (it - 1) / period_us + 1,
        };
        (next_us.saturating_add(period_us.saturating_mul(expired_grants)), period_us)
    }
}

/// Returns the time between two grants of a node with this share, in microseconds.
fn period_us(limit: &GrantLimit, share: f64) -> i64 {
    let period_us = 1e6 / (limit.rate_per_s * share);
    // Without a rate or a share, the period is infinite or not a number.
    let max_us = MAX_GRANT_PERIOD.as_micros() as f64;
    if period_us.is_finite() { period_us.clamp(1.0, max_us) as i64 } else { max_us as i64 }
}

fn to_i64(micros: u128) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}
