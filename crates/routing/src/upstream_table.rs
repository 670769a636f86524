//! Concurrent table of the upstreams of one service, striped over several locks.

use std::{
    hash::BuildHasher,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{AvailabilityZone, FastHasher, FastMap, TimePoint, UpstreamId};

use crate::{
    SlotShare, UpstreamLocation, UpstreamReport, query_admission::SlotWaitSummary,
    upstream_state::UpstreamState,
};

const STRIPE_COUNT: usize = 16;
/// Number of waiting calls that is enough to keep the slots of an upstream busy.
const TARGET_WAITING_CALLS: f64 = 4.0;
/// Bounds of the target wait, as multiples of the mean latency.
const MIN_TARGET_RATIO: f64 = 0.5;
const MAX_TARGET_RATIO: f64 = 1.5;
/// Minimum target wait.
const MIN_TARGET_WAIT_MS: u64 = 5;

type TableStripe = FastMap<UpstreamId, UpstreamState>;

/// The state of every upstream that belongs to the service or has calls in flight.
#[derive(Debug)]
pub(crate) struct UpstreamTable {
    stripes: [Mutex<TableStripe>; STRIPE_COUNT],
}

impl UpstreamTable {
    /// Creates a table without upstreams.
    pub(crate) fn new() -> Self {
        Self { stripes: std::array::from_fn(|_| Mutex::default()) }
    }

    /// Replaces the upstreams of the service by `locations`; those that remain keep their state.
    pub(crate) fn update(&self, locations: &[UpstreamLocation], own_zone: &AvailabilityZone) {
        let members: FastMap<UpstreamId, bool> =
            locations.iter().map(|it| (it.upstream, it.availability_zone == *own_zone)).collect();
        for stripe in &self.stripes {
            let mut stripe = lock(stripe);
            for (upstream, state) in stripe.iter_mut() {
                if !members.contains_key(upstream) {
                    state.remove_from_service();
                }
            }
            stripe.retain(|_, state| !state.is_unused());
        }
        for (upstream, same_zone) in members {
            let mut stripe = self.stripe(upstream);
            stripe.entry(upstream).or_insert_with(UpstreamState::new).add_to_service(same_zone);
        }
    }

    /// Calls `f` with the state of `upstream`; returns `None` if it is unknown.
    pub(crate) fn with<T>(
        &self,
        upstream: UpstreamId,
        f: impl FnOnce(&mut UpstreamState) -> T,
    ) -> Option<T> {
        self.stripe(upstream).get_mut(&upstream).map(f)
    }

    /// Removes `upstream` if it has left the service and has no calls in flight.
    pub(crate) fn remove_if_unused(&self, upstream: UpstreamId) {
        let mut stripe = self.stripe(upstream);
        if stripe.get(&upstream).is_some_and(UpstreamState::is_unused) {
            stripe.remove(&upstream);
        }
    }

    /// Summarizes the waits for slots since the last call of this method, and resets them.
    ///
    /// `share` is this node's share of the slots of each upstream.
    pub(crate) fn take_slot_wait_summary(
        &self,
        now: TimePoint,
        share: Option<SlotShare>,
    ) -> SlotWaitSummary {
        let mut longest_mean = Duration::ZERO;
        let mut latencies = Vec::new();
        let mut accepting_count = 0;
        let mut pause_ends = Vec::new();
        for stripe in &self.stripes {
            for state in lock(stripe).values_mut() {
                longest_mean = longest_mean.max(state.take_slot_waits().mean());
                if state.accepts_new_calls() {
                    accepting_count += 1;
                    latencies.push(state.latency(now));
                    pause_ends.extend(state.paused_until(now));
                }
            }
        }
        latencies.retain(|it| !it.is_zero());
        let known_count = u32::try_from(latencies.len()).unwrap_or(u32::MAX);
        let mean = latencies.iter().sum::<Duration>() / known_count.max(1);
        let is_blocked = accepting_count == pause_ends.len();
        SlotWaitSummary {
            longest_mean,
            target: target_wait(mean, share),
            blocked_until: pause_ends.into_iter().min().filter(|_| is_blocked),
        }
    }

    /// Returns the reports of all upstreams, sorted by address.
    pub(crate) fn report(&self, now: TimePoint, share: Option<SlotShare>) -> Vec<UpstreamReport> {
        let mut reports = Vec::new();
        for stripe in &self.stripes {
            let stripe = lock(stripe);
            reports.extend(stripe.iter().map(|(upstream, it)| it.report(now, *upstream, share)));
        }
        reports.sort_by_key(|it| it.upstream);
        reports
    }

    fn stripe(&self, upstream: UpstreamId) -> MutexGuard<'_, TableStripe> {
        let hash = FastHasher::default().hash_one(upstream);
        // The hash function distributes the upper bits better than the lower ones.
        let idx = usize::try_from(hash >> 32).unwrap_or(0) % STRIPE_COUNT;
        lock(&self.stripes[idx])
    }
}

/// Returns the wait at an upstream with `TARGET_WAITING_CALLS` waiting calls, by Little's law.
fn target_wait(latency: Duration, share: Option<SlotShare>) -> Duration {
    let max_in_flight = share.map_or(1, |it| it.max_in_flight);
    let ratio = TARGET_WAITING_CALLS / f64::from(max_in_flight);
    let wait = latency.mul_f64(ratio.clamp(MIN_TARGET_RATIO, MAX_TARGET_RATIO));
    wait.max(Duration::from_millis(MIN_TARGET_WAIT_MS))
}

fn lock(stripe: &Mutex<TableStripe>) -> MutexGuard<'_, TableStripe> {
    stripe.lock().unwrap_or_else(PoisonError::into_inner)
}
