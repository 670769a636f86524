//! State of one service at this node.

use std::{
    mem,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use mux_config::{ConcurrencyMode, HedgeMode, ServiceDefinition, ShardMapSource};
use mux_model::{
    AvailabilityZone, CallFailure, FastMap, NotRunReason, RevisionNumber, ServiceName, SnapshotId,
    SnapshotMap, TimePoint, UpstreamId,
};
use mux_query::{SnapshotCatalog, SnapshotClaim};
use mux_routing::{HedgePolicy, RoutingPolicy, ServiceRouter, UpstreamHint, UpstreamLocation};
use mux_upstream::UpstreamStatus;

use super::fan_out_driver::CallReport;

const PERCENT: f64 = 100.0;
const STATUS_LAG: Duration = Duration::from_secs(10); // Maximum age of the data in a status.

/// Counters of one service since this node added it.
#[derive(Debug, Default)]
pub(crate) struct RuntimeCounters {
    /// Calls sent to upstreams.
    pub(crate) calls: AtomicU64,
    /// Shards of the snapshots that queries were pinned to, counted once per query.
    pub(crate) shards: AtomicU64,
    /// Number of times that a query was restarted with another snapshot.
    pub(crate) snapshot_restarts: AtomicU64,
}

impl RuntimeCounters {
    /// Returns the numbers of calls and shards.
    pub(crate) fn read(&self) -> CounterValues {
        let value = |it: &AtomicU64| it.load(Ordering::Relaxed);
        CounterValues { calls: value(&self.calls), shards: value(&self.shards) }
    }

    /// Adds to one counter.
    pub(crate) fn add(counter: &AtomicU64, count: u64) {
        counter.fetch_add(count, Ordering::Relaxed);
    }
}

/// Values of [`RuntimeCounters`] at one point in time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CounterValues {
    /// Calls sent to upstreams.
    pub(crate) calls: u64,
    /// Shards of the snapshots that queries were pinned to, counted once per query.
    pub(crate) shards: u64,
}

/// Latest activity and drain state of an upstream.
#[derive(Debug, Clone, Copy, Default)]
struct UpstreamActivity {
    replied_at: Option<TimePoint>,
    /// Whether it is draining according to its replies; a status received shortly after a drain
    /// report does not end it.
    draining: bool,
    /// Time of the first reply that reported the drain, or of the latest call that it rejected.
    drain_reported_at: Option<TimePoint>,
    /// Drain state last set for the upstream by this node, from a reply or the VM list, or received
    /// through gossip; applies to all services that use the upstream.
    shared_draining: bool,
}

/// One service at this node: its definition, router, snapshots and upstream activity.
#[derive(Debug)]
pub(crate) struct ServiceRuntime {
    definition: ServiceDefinition,
    revision: RevisionNumber,
    placement: ServicePlacement,
    router: Arc<ServiceRouter>,
    catalog: Arc<Mutex<SnapshotCatalog>>,
    activity: Arc<Mutex<FastMap<UpstreamId, UpstreamActivity>>>,
    counters: Arc<RuntimeCounters>,
}

impl ServiceRuntime {
    /// Creates the runtime of a new service.
    pub(crate) fn new(
        definition: ServiceDefinition,
        revision: RevisionNumber,
        placement: &ServicePlacement,
        seed: u64,
    ) -> Self {
        let policy = routing_policy(&definition, placement);
        let locations = upstream_locations(&definition);
        let catalog = new_catalog(&definition.shard_map);
        Self {
            placement: placement.clone(),
            router: Arc::new(ServiceRouter::new(policy, &locations, seed)),
            catalog: Arc::new(Mutex::new(catalog)),
            activity: Arc::default(),
            counters: Arc::default(),
            definition,
            revision,
        }
    }

    /// Creates the runtime for a changed definition or placement, and keeps the learned state.
    pub(crate) fn reconfigure(
        &self,
        definition: ServiceDefinition,
        revision: RevisionNumber,
        placement: &ServicePlacement,
    ) -> Self {
        let locations = upstream_locations(&definition);
        self.router.update(routing_policy(&definition, placement), &locations);
        self.update_catalog(&definition);
        Self {
            placement: placement.clone(),
            router: Arc::clone(&self.router),
            catalog: Arc::clone(&self.catalog),
            activity: Arc::clone(&self.activity),
            counters: Arc::clone(&self.counters),
            definition,
            revision,
        }
    }

    /// Returns the name.
    pub(crate) fn name(&self) -> &ServiceName {
        &self.definition.name
    }

    /// Returns the definition.
    pub(crate) fn definition(&self) -> &ServiceDefinition {
        &self.definition
    }

    /// Returns the revision at which the service was last changed.
    pub(crate) fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Returns whether this node is a home node, with connections to the service's upstreams.
    pub(crate) fn is_home(&self) -> bool {
        self.placement.home
    }

    /// Returns the number of connections that this node may hold to each upstream.
    pub(crate) fn connection_share(&self) -> u32 {
        self.placement.connection_share
    }

    /// Returns the router.
    pub(crate) fn router(&self) -> &ServiceRouter {
        &self.router
    }

    /// Returns the counters.
    pub(crate) fn counters(&self) -> &RuntimeCounters {
        &self.counters
    }

    /// Returns the map of the snapshot that is preferred for a query, apart from those in
    /// `excluded`; `None` if no such snapshot has a known replica.
    pub(crate) fn preferred_map(&self, excluded: &[SnapshotId]) -> Option<Arc<SnapshotMap>> {
        self.lock_catalog().pin(self.definition.coverage_target, excluded)
    }

    /// Returns whether a confirmed snapshot other than `current` and those in `unavailable` meets
    /// the coverage target.
    pub(crate) fn has_other_snapshot(
        &self,
        unavailable: &[SnapshotId],
        current: SnapshotId,
    ) -> bool {
        let excluded: Vec<_> = unavailable.iter().copied().chain([current]).collect();
        self.lock_catalog().has_sufficient_snapshot(self.definition.coverage_target, &excluded)
    }

    /// Records that an upstream's status could not be read.
    pub(crate) fn record_status_failure(&self, upstream: UpstreamId) {
        self.lock_catalog().on_unreachable(upstream);
    }

    /// Records the result of a call; returns the drain state that the upstream reported if it has
    /// changed.
    pub(crate) fn record_call(&self, now: TimePoint, report: &CallReport) -> Option<bool> {
        let upstream = report.upstream;
        match &report.result {
            Ok(reply) => {
                if let Some(newest) = reply.newest_snapshot {
                    self.lock_catalog().on_newest(now, upstream, newest);
                }
                self.record_reply(now, upstream, reply.in_flight, reply.draining)
            }
            Err(CallFailure::NotRun { reason: NotRunReason::SnapshotMissing, .. }) => {
                self.lock_catalog().on_missing(now, upstream, report.snapshot);
                None
            }
            Err(CallFailure::NotRun { reason: NotRunReason::Draining, .. }) => {
                self.record_reply(now, upstream, None, true)
            }
            Err(_) => None,
        }
    }

    /// Records an upstream's status; returns the drain state that the upstream reported if it has
    /// changed.
    pub(crate) fn record_status(
        &self,
        now: TimePoint,
        upstream: UpstreamId,
        status: &UpstreamStatus,
    ) -> Option<bool> {
        let claims = status.snapshots.iter().map(|it| SnapshotClaim {
            snapshot: it.snapshot,
            shard_count: it.shard_count,
            shards: &it.shards,
        });
        self.lock_catalog().on_status(now, upstream, claims);
        // A status can be outdated: one created before the drain must not end it.
        let draining = status.draining || self.is_drain_recent(now, upstream);
        self.record_reply(now, upstream, Some(status.in_flight), draining)
    }

    /// Sets the drain state that this node applies to all services using the upstream, whichever
    /// source reported it.
    pub(crate) fn set_shared_draining(&self, now: TimePoint, upstream: UpstreamId, draining: bool) {
        let reported_draining = {
            let mut table = self.lock_activity();
            let activity = table.entry(upstream).or_default();
            activity.shared_draining = draining;
            activity.draining
        };
        let hint = UpstreamHint { in_flight: None, draining: draining || reported_draining };
        self.router.observe(now, upstream, hint);
    }

    /// Returns the time since `upstream` last replied.
    pub(crate) fn reply_age(&self, now: TimePoint, upstream: UpstreamId) -> Option<Duration> {
        let replied_at = self.lock_activity().get(&upstream)?.replied_at?;
        Some(now.since(replied_at))
    }

    /// Returns the upstreams whose latest status is outdated, because their replies contradict it.
    pub(crate) fn outdated_upstreams(&self) -> Vec<UpstreamId> {
        self.lock_catalog().stale_sources().collect()
    }

    fn update_catalog(&self, definition: &ServiceDefinition) {
        let mut catalog = self.lock_catalog();
        if definition.shard_map != self.definition.shard_map {
            *catalog = new_catalog(&definition.shard_map);
        }
        for old in &self.definition.upstreams {
            if !definition.upstreams.iter().any(|it| it.address == old.address) {
                catalog.remove_upstream(old.address);
            }
        }
    }

    fn is_drain_recent(&self, now: TimePoint, upstream: UpstreamId) -> bool {
        let table = self.lock_activity();
        let reported_at =
            table.get(&upstream).filter(|it| it.draining).and_then(|it| it.drain_reported_at);
        reported_at.is_some_and(|it| now.since(it) < STATUS_LAG)
    }

    /// Records the state that the upstream reported, and returns the reported drain state if it has
    /// changed. Does not change the shared drain state: the router treats the upstream as draining
    /// if either says so.
    fn record_reply(
        &self,
        now: TimePoint,
        upstream: UpstreamId,
        in_flight: Option<u32>,
        draining: bool,
    ) -> Option<bool> {
        let (was_draining, shared_draining) = {
            let mut table = self.lock_activity();
            let activity = table.entry(upstream).or_default();
            activity.replied_at = Some(now);
            let was_draining = mem::replace(&mut activity.draining, draining);
            if draining && (!was_draining || in_flight.is_none()) {
                activity.drain_reported_at = Some(now);
            }
            (was_draining, activity.shared_draining)
        };
        let hint = UpstreamHint { in_flight, draining: draining || shared_draining };
        self.router.observe(now, upstream, hint);
        (was_draining != draining).then_some(draining)
    }

    fn lock_activity(&self) -> MutexGuard<'_, FastMap<UpstreamId, UpstreamActivity>> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_catalog(&self) -> MutexGuard<'_, SnapshotCatalog> {
        self.catalog.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Placement of a service at this node, derived from the members of the installation.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ServicePlacement {
    /// Whether this node is a home node of the service.
    pub(crate) home: bool,
    /// Number of home nodes of the service.
    pub(crate) home_count: u32,
    /// Number of connections that this node may hold to each upstream.
    pub(crate) connection_share: u32,
    /// Availability zone of this node.
    pub(crate) availability_zone: AvailabilityZone,
}

fn routing_policy(definition: &ServiceDefinition, placement: &ServicePlacement) -> RoutingPolicy {
    let limits = &definition.limits;
    let hedging = &definition.hedging;
    let slots = match limits.concurrency {
        ConcurrencyMode::Adaptive => Some(limits.slots_per_upstream),
        ConcurrencyMode::Unlimited => None,
    };
    let hedge = match hedging.mode {
        HedgeMode::Off => HedgePolicy::Off,
        HedgeMode::Fixed => HedgePolicy::Fixed(Duration::from_millis(hedging.fixed_delay_ms)),
        HedgeMode::Adaptive => HedgePolicy::Quantile(hedging.quantile),
    };
    let budget = match hedging.mode {
        HedgeMode::Fixed => None,
        HedgeMode::Off | HedgeMode::Adaptive => Some(hedging.budget_percent / PERCENT),
    };
    RoutingPolicy {
        slots_per_upstream: slots,
        sharing_nodes: placement.home_count,
        queries_in_flight: limits.queries_in_flight,
        hedge,
        extra_load_budget: budget,
        availability_zone: placement.availability_zone.clone(),
    }
}

fn upstream_locations(definition: &ServiceDefinition) -> Vec<UpstreamLocation> {
    definition
        .upstreams
        .iter()
        .map(|it| UpstreamLocation {
            upstream: it.address,
            availability_zone: it.availability_zone.clone(),
        })
        .collect()
}

fn new_catalog(source: &ShardMapSource) -> SnapshotCatalog {
    match source {
        ShardMapSource::Learned => SnapshotCatalog::learned(),
        ShardMapSource::Fixed { snapshot, shards } => {
            SnapshotCatalog::fixed(SnapshotMap::new(*snapshot, shards.clone()))
        }
    }
}
