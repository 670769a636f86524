//! The choice of an upstream for a call.

use std::time::Duration;

use mux_model::{TimePoint, UpstreamId};
use rand::RngExt;

use super::{
    LatencyEstimate,
    balancer_state::{BalancerState, SATURATED_RETRY_DELAY},
    tracked_upstream::HealthTier,
};
use crate::{AcquireError, CallKind};

/// Largest relative random surcharge on a cost, so that nodes with the same view do not all choose
/// the same upstream.
const COST_JITTER: f64 = 0.1;
/// Factor by which the expected latency may exceed the limit at an upstream with a free slot. A call
/// there delays no other one, so it is rejected only if it is almost certainly useless.
const FREE_SLOT_ALLOWANCE: f64 = 4.0;

impl BalancerState {
    /// Chooses the upstream for a call; returns its index.
    pub(super) fn choose(
        &self,
        now: TimePoint,
        excluded: &[UpstreamId],
        kind: CallKind,
        estimate: &LatencyEstimate,
        max_latency: Duration,
    ) -> Result<usize, AcquireError> {
        let mut rng = rand::rng();
        let return_draw = rng.random::<f64>();
        let mut best: Option<(bool, HealthTier, f64, usize)> = None;
        let mut shortest_refusal: Option<Duration> = None;
        let mut any_saturated = false;
        let mut any_too_late = false;
        let mut shortest_quiet: Option<Duration> = None;
        let mut shortest_rate_wait: Option<Duration> = None;
        let max_latency_us = max_latency.as_secs_f64() * 1e6;
        for (idx, upstream) in self.upstreams.iter().enumerate() {
            if !upstream.is_active || excluded.contains(&upstream.id) {
                continue;
            }
            if upstream.has_left(now, self.drain_limit) {
                continue;
            }
            if let Some(time_left) = upstream.quiet_time_left(now) {
                shortest_quiet = Some(shortest_quiet.map_or(time_left, |it| it.min(time_left)));
                continue;
            }
            if let Some(wait) = upstream.time_to_grant(now, kind) {
                shortest_rate_wait = Some(shortest_rate_wait.map_or(wait, |it| it.min(wait)));
                continue;
            }
            if upstream.is_in_dial_backoff(now) && !upstream.has_free_connection() {
                // Connections in use will become free; new ones cannot be opened during the
                // backoff.
                any_saturated |= upstream.has_connection();
                continue;
            }
            if let Some(wait) = upstream.refusal_time_left(now) {
                shortest_refusal = Some(shortest_refusal.map_or(wait, |it| it.min(wait)));
                continue;
            }
            if self.max_connections(upstream) <= upstream.in_flight() {
                any_saturated = true;
                continue;
            }
            let limit_us = match upstream.has_free_slot(now) {
                true => max_latency_us * FREE_SLOT_ALLOWANCE,
                false => max_latency_us,
            };
            if limit_us < upstream.expected_latency_us(now, estimate) {
                any_too_late = true;
                continue;
            }
            let health_tier = upstream.health_tier(now, estimate);
            let jitter = 1.0 + COST_JITTER * rng.random::<f64>();
            let cost = upstream.cost(now, estimate, self.dial_us) * jitter;
            // While load returns to its zone, the upstream gets a part of the calls, and those that no
            // other one takes.
            let zone = &upstream.availability_zone;
            let is_last_resort = self.zones.load_share(now, zone) <= return_draw;
            let rank = (is_last_resort, health_tier, cost);
            if best.is_none_or(|it| rank < (it.0, it.1, it.2)) {
                best = Some((is_last_resort, health_tier, cost, idx));
            }
        }
        let saturated = AcquireError::Saturated { retry_after: SATURATED_RETRY_DELAY };
        match best {
            // A hedge to a stalled or suspect upstream would only waste retry budget.
            Some((_, health_tier, ..))
                if kind == CallKind::Hedge && HealthTier::Healthy < health_tier =>
            {
                Err(saturated)
            }
            Some((.., idx)) => Ok(idx),
            // The call can't be answered in time, and waiting would only delay it further.
            None if any_too_late && kind.is_first_arrival() => Err(AcquireError::ReplyTooLate),
            // One of the connections in use becomes free sooner than a refusing upstream accepts a
            // new one.
            None if any_saturated || any_too_late => Err(saturated),
            None if let Some(retry_after) = shortest_refusal => {
                Err(AcquireError::Saturated { retry_after })
            }
            None => Err(match (shortest_rate_wait, shortest_quiet) {
                (Some(wait), quiet) if quiet.is_none_or(|it| wait <= it) => {
                    AcquireError::RateLimited { retry_after: wait }
                }
                (_, Some(retry_after)) => AcquireError::Quiet { retry_after },
                _ => AcquireError::NoReplica,
            }),
        }
    }
}
