//! State of one upstream, shared between its connections.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicI64, AtomicU64, Ordering},
    },
    time::Duration,
};

use mux_model::{FastMap, SnapshotId};
use mux_timer::TimerService;
use mux_upstream::{HeldSnapshot, UpstreamStatus};
use serde::Serialize;
use tokio::sync::Semaphore;

use super::{
    behaviour_sampler::BehaviourSampler,
    leaf_settings::{LeafControl, LeafSettings},
};

/// State of one upstream.
pub(crate) struct LeafState {
    pub(crate) settings: LeafSettings,
    pub(crate) timer: TimerService,
    pub(crate) slots: Arc<Semaphore>,
    pub(crate) counters: LeafCounters,
    behaviour: Mutex<LeafBehaviour>,
    calls: Mutex<CallCounts>,
}

/// Call counts by `request ID/shard`, and by `key/shard` for queries with a string member `key`.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct CallCounts {
    /// Calls received, by `request ID/shard`.
    received: FastMap<String, u64>,
    /// Calls run, by `request ID/shard` and by `key/shard`.
    run: FastMap<String, u64>,
}

/// State that control requests change.
struct LeafBehaviour {
    control: LeafControl,
    sampler: BehaviourSampler,
}

/// Faults and service time of one request, sampled before it is processed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SimulatedOutcome {
    pub(crate) shed: bool,
    pub(crate) fail: bool,
    pub(crate) truncate: bool,
    pub(crate) service_time: Duration,
}

/// Counters since the start.
#[derive(Debug, Default)]
pub(crate) struct LeafCounters {
    pub(crate) received: AtomicU64,
    pub(crate) runs: AtomicU64,
    pub(crate) completed: AtomicU64,
    pub(crate) cancelled: AtomicU64,
    pub(crate) shed: AtomicU64,
    pub(crate) rejected_draining: AtomicU64,
    pub(crate) rejected_snapshot: AtomicU64,
    pub(crate) rejected_deadline: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) truncated: AtomicU64,
    pub(crate) connections_accepted: AtomicU64,
    pub(crate) connections_refused: AtomicU64,
    pub(crate) connections_open: AtomicI64,
    pub(crate) in_flight: AtomicI64,
}

/// Reply of `GET` and `PUT /v1/control`.
#[derive(Debug, Serialize)]
pub(crate) struct LeafReport {
    received: u64,
    runs: u64,
    completed: u64,
    cancelled: u64,
    shed: u64,
    refused_draining: u64,
    refused_snapshot: u64,
    refused_deadline: u64,
    failed: u64,
    cut: u64,
    connections_accepted: u64,
    connections_refused: u64,
    connections_open: i64,
    in_flight: i64,
    control: LeafControl,
    /// Call counts; empty unless `record_calls` is set.
    calls: CallCounts,
}

impl LeafState {
    pub(crate) fn new(settings: LeafSettings, timer: TimerService) -> Self {
        let control = LeafControl {
            snapshots: Some(settings.snapshots.clone()),
            latency: Some(settings.latency),
            ..LeafControl::default()
        };
        let sampler = BehaviourSampler::new(settings.seed);
        Self {
            timer,
            slots: Arc::new(Semaphore::new(settings.slots)),
            counters: LeafCounters::default(),
            behaviour: Mutex::new(LeafBehaviour { control, sampler }),
            calls: Mutex::default(),
            settings,
        }
    }

    /// Applies a change of behaviour.
    pub(crate) fn apply(&self, change: LeafControl) {
        let mut behaviour = lock(&self.behaviour);
        let control = &mut behaviour.control;
        replace_if_set(&mut control.snapshots, change.snapshots);
        replace_if_set(&mut control.draining, change.draining);
        replace_if_set(&mut control.shed_rate, change.shed_rate);
        replace_if_set(&mut control.error_rate, change.error_rate);
        replace_if_set(&mut control.cut_rate, change.cut_rate);
        replace_if_set(&mut control.reported_in_flight, change.reported_in_flight);
        replace_if_set(&mut control.latency, change.latency);
        replace_if_set(&mut control.silence, change.silence);
    }

    /// Samples the faults and the service time of the next request.
    pub(crate) fn sample_outcome(&self) -> SimulatedOutcome {
        let cold = self.counters.runs.load(Ordering::Relaxed) < self.settings.cold_calls;
        let factor = if cold { self.settings.cold_factor } else { 1.0 };
        let mut behaviour = lock(&self.behaviour);
        let LeafBehaviour { control, sampler } = &mut *behaviour;
        SimulatedOutcome {
            shed: sampler.sample_event(control.shed_rate.unwrap_or(0.0)),
            fail: sampler.sample_event(control.error_rate.unwrap_or(0.0)),
            truncate: sampler.sample_event(control.cut_rate.unwrap_or(0.0)),
            service_time: sampler
                .sample_latency(&control.latency.unwrap_or_default())
                .mul_f64(factor),
        }
    }

    /// Returns whether the upstream is draining.
    pub(crate) fn is_draining(&self) -> bool {
        lock(&self.behaviour).control.draining.unwrap_or(false)
    }

    /// Returns whether the upstream holds `shard` of `snapshot`.
    pub(crate) fn holds(&self, snapshot: SnapshotId, shard: u32) -> bool {
        let behaviour = lock(&self.behaviour);
        let held = behaviour.control.snapshots.iter().flatten();
        held.filter(|it| it.snapshot == snapshot).any(|it| it.shards.iter().any(|s| s.0 == shard))
    }

    /// Returns the newest snapshot that the upstream holds.
    pub(crate) fn newest_snapshot(&self) -> Option<SnapshotId> {
        lock(&self.behaviour).control.snapshots.iter().flatten().map(|it| it.snapshot).max()
    }

    /// Returns the number of requests in flight to report, which a control request may falsify.
    pub(crate) fn reported_in_flight(&self) -> u64 {
        let reported = lock(&self.behaviour).control.reported_in_flight;
        let actual = self.counters.in_flight.load(Ordering::Relaxed);
        let count = reported.filter(|it| 0 <= *it).unwrap_or(actual);
        u64::try_from(count).unwrap_or(0)
    }

    /// Counts a run under the key `call`.
    pub(crate) fn record_run(&self, call: String) {
        *lock(&self.calls).run.entry(call).or_default() += 1;
    }

    /// Counts a received call under the key `call`.
    pub(crate) fn record_received(&self, call: String) {
        *lock(&self.calls).received.entry(call).or_default() += 1;
    }

    pub(crate) fn status(&self) -> UpstreamStatus {
        let snapshots: Vec<HeldSnapshot> =
            lock(&self.behaviour).control.snapshots.clone().unwrap_or_default();
        UpstreamStatus {
            availability_zone: self.settings.availability_zone.clone(),
            draining: self.is_draining(),
            slots: u32::try_from(self.settings.slots).unwrap_or(u32::MAX),
            in_flight: u32::try_from(self.reported_in_flight()).unwrap_or(u32::MAX),
            snapshots,
        }
    }

    pub(crate) fn report(&self) -> LeafReport {
        let counters = &self.counters;
        let read = |it: &AtomicU64| it.load(Ordering::Relaxed);
        LeafReport {
            received: read(&counters.received),
            runs: read(&counters.runs),
            completed: read(&counters.completed),
            cancelled: read(&counters.cancelled),
            shed: read(&counters.shed),
            refused_draining: read(&counters.rejected_draining),
            refused_snapshot: read(&counters.rejected_snapshot),
            refused_deadline: read(&counters.rejected_deadline),
            failed: read(&counters.failed),
            cut: read(&counters.truncated),
            connections_accepted: read(&counters.connections_accepted),
            connections_refused: read(&counters.connections_refused),
            connections_open: counters.connections_open.load(Ordering::Relaxed),
            in_flight: counters.in_flight.load(Ordering::Relaxed),
            control: lock(&self.behaviour).control.clone(),
            calls: lock(&self.calls).clone(),
        }
    }
}

fn replace_if_set<T>(current: &mut Option<T>, change: Option<T>) {
    if change.is_some() {
        *current = change;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
