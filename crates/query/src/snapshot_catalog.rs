//! Which snapshots of one service can be pinned.

use std::{cmp::Ordering, sync::Arc};

use mux_model::{Coverage, ShardIndex, SnapshotId, SnapshotMap, TimePoint, UpstreamId};

use crate::snapshot_claims::SnapshotClaims;

/// What an upstream says about one snapshot that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotClaim<'a> {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Shards that the whole snapshot has.
    pub shard_count: u32,
    /// Shards of it that the upstream holds.
    pub shards: &'a [ShardIndex],
}

/// Chooses the snapshot that a new query is pinned to.
///
/// Maps are rebuilt only when what an upstream says changes, so that pinning is cheap.
#[derive(Debug, Clone)]
pub struct SnapshotCatalog {
    source: CatalogSource,
    ranking: Vec<RankedSnapshot>,
}

/// Where the maps come from.
#[derive(Debug, Clone)]
enum CatalogSource {
    Learned(SnapshotClaims),
    Fixed,
}

/// A snapshot that can be pinned, and how good it is.
#[derive(Debug, Clone)]
pub(crate) struct RankedSnapshot {
    pub(crate) map: Arc<SnapshotMap>,
    /// Shards with a replica at an upstream that was heard of lately.
    pub(crate) reachable: Coverage,
    /// Whether more than one upstream speaks of the snapshot.
    pub(crate) corroborated: bool,
}

impl RankedSnapshot {
    /// Orders two snapshots by how well a new query is pinned to them.
    fn compare(&self, other: &Self, coverage_target: f64) -> Ordering {
        let lhs_meets = self.reachable.meets(coverage_target);
        let rhs_meets = other.reachable.meets(coverage_target);
        let by_share = self.reachable.share().total_cmp(&other.reachable.share());
        let by_share = if lhs_meets && rhs_meets { Ordering::Equal } else { by_share };
        self.corroborated
            .cmp(&other.corroborated)
            .then(lhs_meets.cmp(&rhs_meets))
            .then(by_share)
            .then(self.map.snapshot().cmp(&other.map.snapshot()))
    }
}

impl SnapshotCatalog {
    /// Creates a catalog that learns its snapshots from the upstreams.
    pub fn learned() -> Self {
        Self { source: CatalogSource::Learned(SnapshotClaims::default()), ranking: Vec::new() }
    }

    /// Creates a catalog with the one map that the operator set.
    pub fn fixed(map: SnapshotMap) -> Self {
        let reachable = Coverage { contributed: map.reachable_count(), total: map.shard_count() };
        let ranked = RankedSnapshot { map: Arc::new(map), reachable, corroborated: true };
        Self { source: CatalogSource::Fixed, ranking: vec![ranked] }
    }

    /// Returns the map that a new query is pinned to; `None` if no shard has a replica.
    ///
    /// That is the newest snapshot with replicas for a share of `coverage_target` of its shards, or
    /// else the one with the highest share. A snapshot that one upstream alone speaks of counts
    /// only if there is no other. Snapshots in `gone` are left out; a query adds a snapshot there
    /// when its upstreams have proved that they no longer hold it.
    pub fn pin(&self, coverage_target: f64, gone: &[SnapshotId]) -> Option<Arc<SnapshotMap>> {
        let usable = self.usable(gone);
        let best = usable.max_by(|lhs, rhs| lhs.compare(rhs, coverage_target))?;
        Some(Arc::clone(&best.map))
    }

    /// Returns whether a snapshot other than those in `gone` meets `coverage_target`.
    pub fn has_complete(&self, coverage_target: f64, gone: &[SnapshotId]) -> bool {
        self.usable(gone).any(|it| it.corroborated && it.reachable.meets(coverage_target))
    }

    /// Returns the number of shards of `snapshot` by the highest claim so far.
    ///
    /// It can exceed that of a map pinned earlier; coverage is then counted against this number.
    pub fn shard_count(&self, snapshot: SnapshotId) -> Option<u32> {
        let ranked = self.ranking.iter().find(|it| it.map.snapshot() == snapshot)?;
        Some(ranked.map.shard_count())
    }

    /// Takes in everything that the status of `upstream` says about snapshots.
    pub fn on_status<'a>(
        &mut self,
        now: TimePoint,
        upstream: UpstreamId,
        claims: impl IntoIterator<Item = SnapshotClaim<'a>>,
    ) {
        self.learn(|it| it.replace(now, upstream, claims));
    }

    /// Takes in that `upstream` has refused a call because it does not hold `snapshot`.
    pub fn on_missing(&mut self, now: TimePoint, upstream: UpstreamId, snapshot: SnapshotId) {
        self.learn(|it| it.withdraw(now, upstream, snapshot));
    }

    /// Takes in the newest snapshot that `upstream` named in a reply.
    pub fn on_newest(&mut self, now: TimePoint, upstream: UpstreamId, snapshot: SnapshotId) {
        self.learn(|it| it.note_newest(now, upstream, snapshot));
    }

    /// Takes in that `upstream` cannot be reached; what it said counts less until it is heard of.
    pub fn on_unreachable(&mut self, upstream: UpstreamId) {
        self.learn(|it| it.note_unreachable(upstream));
    }

    /// Forgets an upstream that is no longer part of the service.
    pub fn remove_upstream(&mut self, upstream: UpstreamId) {
        self.learn(|it| it.remove(upstream));
    }

    /// Returns the upstreams whose status is known to be outdated and worth reading now.
    pub fn stale_sources(&self) -> impl Iterator<Item = UpstreamId> {
        let claims = match &self.source {
            CatalogSource::Learned(claims) => Some(claims),
            CatalogSource::Fixed => None,
        };
        claims.into_iter().flat_map(SnapshotClaims::stale_sources)
    }

    fn usable(&self, gone: &[SnapshotId]) -> impl Iterator<Item = &RankedSnapshot> {
        let is_usable = |it: &&RankedSnapshot| {
            0 < it.map.reachable_count() && !gone.contains(&it.map.snapshot())
        };
        self.ranking.iter().filter(is_usable)
    }

    fn learn(&mut self, change: impl FnOnce(&mut SnapshotClaims) -> bool) {
        let CatalogSource::Learned(claims) = &mut self.source else {
            return;
        };
        if change(claims) {
            self.ranking = claims.ranked().collect();
        }
    }
}
