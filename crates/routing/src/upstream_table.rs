//! The upstreams of one service, divided into parts with a lock each.

use std::{
    hash::BuildHasher,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use mux_model::{AvailabilityZone, FastHasher, FastMap, TimePoint, UpstreamId};

use crate::{
    SlotShare, UpstreamLocation, UpstreamReport, query_admission::SlotWait,
    upstream_state::UpstreamState,
};

const PART_COUNT: usize = 16;
/// Calls that wait for an upstream when its slots are never idle.
const WAITING_CALLS: f64 = 4.0;
/// Bounds of the target wait, as multiples of the mean latency.
const MIN_TARGET_RATIO: f64 = 0.5;
const MAX_TARGET_RATIO: f64 = 1.5;
/// Shortest target wait.
const MIN_TARGET_WAIT_MS: u64 = 5;

type TablePart = FastMap<UpstreamId, UpstreamState>;

/// The state of every upstream that is a member or has calls in flight.
#[derive(Debug)]
pub(crate) struct UpstreamTable {
    parts: [Mutex<TablePart>; PART_COUNT],
}

impl UpstreamTable {
    /// Creates a table without upstreams.
    pub(crate) fn new() -> Self {
        Self { parts: std::array::from_fn(|_| Mutex::default()) }
    }

    /// Makes `places` the members; upstreams that stay keep their state.
    pub(crate) fn update(&self, places: &[UpstreamLocation], own_zone: &AvailabilityZone) {
        let members: FastMap<UpstreamId, bool> =
            places.iter().map(|it| (it.upstream, it.availability_zone == *own_zone)).collect();
        for part in &self.parts {
            let mut part = lock(part);
            for (upstream, state) in part.iter_mut() {
                if !members.contains_key(upstream) {
                    state.leave();
                }
            }
            part.retain(|_, state| !state.is_over());
        }
        for (upstream, same_zone) in members {
            let mut part = self.part(upstream);
            part.entry(upstream).or_insert_with(UpstreamState::new).join(same_zone);
        }
    }

    /// Calls `f` with the state of `upstream`; `None` if it is not known.
    pub(crate) fn with<T>(
        &self,
        upstream: UpstreamId,
        f: impl FnOnce(&mut UpstreamState) -> T,
    ) -> Option<T> {
        self.part(upstream).get_mut(&upstream).map(f)
    }

    /// Forgets `upstream` if nothing depends on it any more.
    pub(crate) fn remove_if_over(&self, upstream: UpstreamId) {
        let mut part = self.part(upstream);
        if part.get(&upstream).is_some_and(UpstreamState::is_over) {
            part.remove(&upstream);
        }
    }

    /// Sums up the waits for slots since the last time, and forgets them.
    ///
    /// `share` is this node's share of each upstream.
    pub(crate) fn take_slot_wait(&self, now: TimePoint, share: Option<SlotShare>) -> SlotWait {
        let mut longest = Duration::ZERO;
        let mut latencies = Vec::new();
        let mut open_count = 0;
        let mut pause_ends = Vec::new();
        for part in &self.parts {
            for state in lock(part).values_mut() {
                longest = longest.max(state.take_waits().mean());
                if state.is_open() {
                    open_count += 1;
                    latencies.push(state.latency(now));
                    pause_ends.extend(state.paused_until(now));
                }
            }
        }
        latencies.retain(|it| !it.is_zero());
        let known_count = u32::try_from(latencies.len()).unwrap_or(u32::MAX);
        let mean = latencies.iter().sum::<Duration>() / known_count.max(1);
        let is_blocked = open_count == pause_ends.len();
        SlotWait {
            longest,
            target: target_wait(mean, share),
            blocked_until: pause_ends.into_iter().min().filter(|_| is_blocked),
        }
    }

    /// Describes all upstreams in the order of their addresses.
    pub(crate) fn report(&self, now: TimePoint, share: Option<SlotShare>) -> Vec<UpstreamReport> {
        let mut reports = Vec::new();
        for part in &self.parts {
            let part = lock(part);
            reports.extend(part.iter().map(|(upstream, it)| it.report(now, *upstream, share)));
        }
        reports.sort_by_key(|it| it.upstream);
        reports
    }

    fn part(&self, upstream: UpstreamId) -> MutexGuard<'_, TablePart> {
        let hash = FastHasher::default().hash_one(upstream);
        // The upper bits are the well mixed ones.
        let idx = usize::try_from(hash >> 32).unwrap_or(0) % PART_COUNT;
        lock(&self.parts[idx])
    }
}

/// Returns the wait that `WAITING_CALLS` calls have at one upstream, by Little's law.
fn target_wait(latency: Duration, share: Option<SlotShare>) -> Duration {
    let ceiling = share.map_or(1, |it| it.ceiling);
    let ratio = WAITING_CALLS / f64::from(ceiling);
    let wait = latency.mul_f64(ratio.clamp(MIN_TARGET_RATIO, MAX_TARGET_RATIO));
    wait.max(Duration::from_millis(MIN_TARGET_WAIT_MS))
}

fn lock(part: &Mutex<TablePart>) -> MutexGuard<'_, TablePart> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}
