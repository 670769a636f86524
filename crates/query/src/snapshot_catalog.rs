//! The snapshots of one service to which a query can be pinned.

use std::{cmp::Ordering, sync::Arc};

use mux_model::{Coverage, ShardIndex, SnapshotId, SnapshotMap, TimePoint, UpstreamId};

use crate::snapshot_claims::SnapshotClaims;

/// Report of an upstream about the shards of one snapshot that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotClaim<'a> {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Number of shards of the whole snapshot.
    pub shard_count: u32,
    /// Shards that the upstream holds.
    pub shards: &'a [ShardIndex],
}

/// Chooses the snapshot that a new query is pinned to.
///
/// A snapshot is confirmed if two responsive upstreams claim it, or one if no other is responsive;
/// the operator's map is always confirmed. Maps are rebuilt only when the claims of an upstream
/// change, so that pinning is cheap.
#[derive(Debug, Clone)]
pub struct SnapshotCatalog {
    source: CatalogSource,
    candidates: Vec<SnapshotCandidate>,
}

/// Source of the shard maps.
#[derive(Debug, Clone)]
enum CatalogSource {
    Learned(SnapshotClaims),
    Fixed,
}

/// A snapshot to which a query can be pinned, with the criteria for the choice.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotCandidate {
    pub(crate) map: Arc<SnapshotMap>,
    /// Shards with a replica at a responsive upstream.
    pub(crate) reachable: Coverage,
    /// Whether two responsive upstreams claim the snapshot, or one if no other is responsive;
    /// always true for the operator's map.
    pub(crate) confirmed: bool,
}

impl SnapshotCandidate {
    /// Compares two snapshots as candidates for a new query; the greater one is preferred.
    fn compare(&self, other: &Self, coverage_target: f64) -> Ordering {
        let lhs_meets = self.reachable.meets(coverage_target);
        let rhs_meets = other.reachable.meets(coverage_target);
        let by_share = self.reachable.share().total_cmp(&other.reachable.share());
        let by_share = if lhs_meets && rhs_meets { Ordering::Equal } else { by_share };
        self.confirmed
            .cmp(&other.confirmed)
            .then(lhs_meets.cmp(&rhs_meets))
            .then(by_share)
            .then(self.map.snapshot().cmp(&other.map.snapshot()))
    }
}

impl SnapshotCatalog {
    /// Creates a catalog whose snapshots come from the status reports of the upstreams.
    pub fn learned() -> Self {
        Self { source: CatalogSource::Learned(SnapshotClaims::default()), candidates: Vec::new() }
    }

    /// Creates a catalog with the single map that the operator configured.
    pub fn fixed(map: SnapshotMap) -> Self {
        let reachable = Coverage { contributed: map.located_count(), total: map.shard_count() };
        let candidate = SnapshotCandidate { map: Arc::new(map), reachable, confirmed: true };
        Self { source: CatalogSource::Fixed, candidates: vec![candidate] }
    }

    /// Returns the map to which a new query is pinned; `None` if no snapshot outside `excluded` has
    /// a replica.
    ///
    /// This is the newest snapshot whose share of reachable shards meets `coverage_target`, or else
    /// the one with the highest share. An unconfirmed snapshot is used only if no confirmed one is
    /// usable. A query excludes the snapshots that its upstreams no longer hold.
    pub fn pin(&self, coverage_target: f64, excluded: &[SnapshotId]) -> Option<Arc<SnapshotMap>> {
        let usable = self.usable(excluded);
        let best = usable.max_by(|lhs, rhs| lhs.compare(rhs, coverage_target))?;
        Some(Arc::clone(&best.map))
    }

    /// Returns whether a confirmed snapshot outside `excluded` meets `coverage_target`.
    pub fn has_sufficient_snapshot(&self, coverage_target: f64, excluded: &[SnapshotId]) -> bool {
        self.usable(excluded).any(|it| it.confirmed && it.reachable.meets(coverage_target))
    }

    /// Returns the highest shard count claimed for `snapshot`, or the shard count of the operator's
    /// map; `None` if the snapshot is unknown.
    ///
    /// It can exceed the shard count of a map pinned earlier; coverage is then relative to the
    /// higher number.
    pub fn shard_count(&self, snapshot: SnapshotId) -> Option<u32> {
        let candidate = self.candidates.iter().find(|it| it.map.snapshot() == snapshot)?;
        Some(candidate.map.shard_count())
    }

    /// Replaces the claims of `upstream` by those of its new status.
    pub fn on_status<'a>(
        &mut self,
        now: TimePoint,
        upstream: UpstreamId,
        claims: impl IntoIterator<Item = SnapshotClaim<'a>>,
    ) {
        self.update_claims(|it| it.replace(now, upstream, claims));
    }

    /// Records that `upstream` refused a call because it does not hold `snapshot`.
    pub fn on_missing(&mut self, now: TimePoint, upstream: UpstreamId, snapshot: SnapshotId) {
        self.update_claims(|it| it.reject(now, upstream, snapshot));
    }

    /// Marks the status of `upstream` as outdated if it does not claim `snapshot`, the newest that
    /// its reply named.
    pub fn on_newest(&mut self, now: TimePoint, upstream: UpstreamId, snapshot: SnapshotId) {
        self.update_claims(|it| it.record_newest(now, upstream, snapshot));
    }

    /// Records that `upstream` is unreachable; it counts as unresponsive until its next contact.
    pub fn on_unreachable(&mut self, upstream: UpstreamId) {
        self.update_claims(|it| it.mark_unreachable(upstream));
    }

    /// Removes an upstream that is no longer part of the service.
    pub fn remove_upstream(&mut self, upstream: UpstreamId) {
        self.update_claims(|it| it.remove(upstream));
    }

    /// Returns the upstreams whose status is known to be outdated and should be fetched now.
    pub fn stale_sources(&self) -> impl Iterator<Item = UpstreamId> {
        let claims = match &self.source {
            CatalogSource::Learned(claims) => Some(claims),
            CatalogSource::Fixed => None,
        };
        claims.into_iter().flat_map(SnapshotClaims::stale_sources)
    }

    fn usable(&self, excluded: &[SnapshotId]) -> impl Iterator<Item = &SnapshotCandidate> {
        let is_usable = |it: &&SnapshotCandidate| {
            0 < it.map.located_count() && !excluded.contains(&it.map.snapshot())
        };
        self.candidates.iter().filter(is_usable)
    }

    fn update_claims(&mut self, change: impl FnOnce(&mut SnapshotClaims) -> bool) {
        let CatalogSource::Learned(claims) = &mut self.source else {
            return;
        };
        if change(claims) {
            self.candidates = claims.candidates().collect();
        }
    }
}
