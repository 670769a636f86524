//! The claims of each upstream of one service about the snapshots that it holds.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use mux_model::{Coverage, FastMap, ShardIndex, SnapshotId, SnapshotMap, TimePoint, UpstreamId};

use crate::{SnapshotClaim, snapshot_catalog::SnapshotCandidate};

/// Maximum shard count of a valid claim.
const MAX_SHARD_COUNT: u32 = 65_536;
/// Maximum number of snapshots kept from one status (the newest ones), and maximum number of
/// rejected claims kept for one upstream.
const MAX_CLAIMS: usize = 16;
/// An upstream is responsive while its last contact is less than this time before the latest
/// contact with any upstream.
const MAX_CONTACT_LAG_MS: u64 = 10_000;
/// Minimum time after which a contact with a responsive upstream causes another check of all
/// upstreams; a contact with an unresponsive one does so at once.
const CONTACT_CHECK_INTERVAL_MS: u64 = 500;
/// Time for which a claim is ignored after its upstream refused a call for that snapshot.
const REJECTION_MS: u64 = 5_000;
/// Number of responsive upstreams that have to claim a snapshot to confirm it; one is enough if no
/// other is responsive.
const REQUIRED_HOLDERS: usize = 2;

/// The claims of all upstreams, by snapshot.
#[derive(Debug, Clone, Default)]
pub(crate) struct SnapshotClaims {
    snapshots: BTreeMap<SnapshotId, KnownSnapshot>,
    sources: FastMap<UpstreamId, ClaimSource>,
    latest_contact: TimePoint,
    contacts_checked_at: TimePoint,
}

/// One snapshot that at least one upstream claims to hold.
///
/// The shard count is the highest claimed since the snapshot last had no holder, so that a claim
/// that is too low cannot raise coverage.
#[derive(Debug, Clone)]
struct KnownSnapshot {
    shard_count: u32,
    holders: BTreeMap<UpstreamId, Vec<ShardIndex>>,
    map: Arc<SnapshotMap>,
}

/// The state of one upstream as a source of claims.
#[derive(Debug, Clone, Default)]
struct ClaimSource {
    last_contact: Option<TimePoint>,
    responsive: bool,
    stale: bool,
    rejected: Vec<RejectedClaim>,
}

/// A claim that is ignored until `until`, because the upstream refused a call for the snapshot.
#[derive(Debug, Clone, Copy)]
struct RejectedClaim {
    snapshot: SnapshotId,
    until: TimePoint,
}

/// A validated claim of one upstream.
#[derive(Debug, Default)]
struct ValidClaim {
    shard_count: u32,
    shards: Vec<ShardIndex>,
}

impl SnapshotClaims {
    /// Replaces all claims of `upstream`; returns whether the candidates may have changed.
    pub(crate) fn replace<'a>(
        &mut self,
        now: TimePoint,
        upstream: UpstreamId,
        claims: impl IntoIterator<Item = SnapshotClaim<'a>>,
    ) -> bool {
        let source = self.sources.entry(upstream).or_default();
        source.stale = false;
        source.rejected.retain(|it| now < it.until);
        let mut valid = check_claims(claims);
        valid.retain(|snapshot, _| !source.is_rejected(*snapshot));
        let mut changed = self.drop_claims(upstream, |it| valid.contains_key(&it));
        for (snapshot, claim) in valid {
            let known =
                self.snapshots.entry(snapshot).or_insert_with(|| KnownSnapshot::new(snapshot));
            changed |= known.add_holder(upstream, claim);
        }
        self.record_contact(now, upstream) || changed
    }

    /// Removes the claim of `upstream` to `snapshot` and ignores new ones for a while; returns
    /// whether the candidates may have changed.
    pub(crate) fn reject(
        &mut self,
        now: TimePoint,
        upstream: UpstreamId,
        snapshot: SnapshotId,
    ) -> bool {
        let until = now + Duration::from_millis(REJECTION_MS);
        let source = self.sources.entry(upstream).or_default();
        source.stale = true;
        source.rejected.retain(|it| now < it.until && it.snapshot != snapshot);
        source.rejected.truncate(MAX_CLAIMS - 1);
        source.rejected.push(RejectedClaim { snapshot, until });
        let dropped = self.drop_claims(upstream, |it| it != snapshot);
        self.record_contact(now, upstream) || dropped
    }

    /// Marks the status of `upstream` as outdated if it does not claim `snapshot`, the newest that
    /// its reply named; returns whether the responsiveness of any upstream changed.
    pub(crate) fn record_newest(
        &mut self,
        now: TimePoint,
        upstream: UpstreamId,
        snapshot: SnapshotId,
    ) -> bool {
        let known = self.snapshots.get(&snapshot);
        if known.is_none_or(|it| !it.holders.contains_key(&upstream)) {
            self.sources.entry(upstream).or_default().stale = true;
        }
        self.record_contact(now, upstream)
    }

    /// Marks `upstream` as unreachable; returns whether the candidates may have changed.
    pub(crate) fn mark_unreachable(&mut self, upstream: UpstreamId) -> bool {
        let Some(source) = self.sources.get_mut(&upstream) else {
            return false;
        };
        source.last_contact = None;
        self.check_contacts()
    }

    /// Removes `upstream` and its claims; returns whether the candidates may have changed.
    pub(crate) fn remove(&mut self, upstream: UpstreamId) -> bool {
        let dropped = self.drop_claims(upstream, |_| false);
        self.sources.remove(&upstream).is_some() || dropped
    }

    /// Returns the upstreams whose replies contradict their latest status.
    pub(crate) fn stale_sources(&self) -> impl Iterator<Item = UpstreamId> {
        self.sources.iter().filter(|(_, it)| it.stale).map(|(upstream, _)| *upstream)
    }

    /// Returns every snapshot with the criteria for pinning it.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = SnapshotCandidate> {
        let responsive_sources = self.sources.values().filter(|it| it.responsive).count();
        let required_holders = responsive_sources.clamp(1, REQUIRED_HOLDERS);
        self.snapshots.values().map(move |it| {
            let responsive_holders =
                it.holders.keys().filter(|it| self.is_responsive(**it)).count();
            SnapshotCandidate {
                map: Arc::clone(&it.map),
                reachable: it.reachable(|upstream| self.is_responsive(upstream)),
                confirmed: required_holders <= responsive_holders,
            }
        })
    }

    fn is_responsive(&self, upstream: UpstreamId) -> bool {
        self.sources.get(&upstream).is_some_and(|it| it.responsive)
    }

    fn record_contact(&mut self, now: TimePoint, upstream: UpstreamId) -> bool {
        self.latest_contact = self.latest_contact.max(now);
        let source = self.sources.entry(upstream).or_default();
        source.last_contact = Some(now);
        let checked_recently =
            now.since(self.contacts_checked_at) < Duration::from_millis(CONTACT_CHECK_INTERVAL_MS);
        if source.responsive && checked_recently {
            return false;
        }
        self.contacts_checked_at = now;
        self.check_contacts()
    }

    /// Compares the last contact of each source with the latest one, so that a delay common to all
    /// sources makes none of them unresponsive; returns whether any state changed.
    fn check_contacts(&mut self) -> bool {
        let max_lag = Duration::from_millis(MAX_CONTACT_LAG_MS);
        let mut changed = false;
        for source in self.sources.values_mut() {
            let responsive =
                source.last_contact.is_some_and(|it| self.latest_contact.since(it) < max_lag);
            changed |= source.responsive != responsive;
            source.responsive = responsive;
        }
        changed
    }

    /// Removes the claims of `upstream` to the snapshots that `keep` rejects; returns whether any
    /// claim was removed.
    fn drop_claims(&mut self, upstream: UpstreamId, keep: impl Fn(SnapshotId) -> bool) -> bool {
        let mut changed = false;
        self.snapshots.retain(|snapshot, known| {
            if !keep(*snapshot) {
                changed |= known.remove_holder(upstream);
            }
            !known.holders.is_empty()
        });
        changed
    }
}

impl KnownSnapshot {
    fn new(snapshot: SnapshotId) -> Self {
        let map = Arc::new(SnapshotMap::new(snapshot, Vec::new()));
        Self { shard_count: 0, holders: BTreeMap::new(), map }
    }

    fn add_holder(&mut self, upstream: UpstreamId, claim: ValidClaim) -> bool {
        let is_unchanged = self.holders.get(&upstream) == Some(&claim.shards);
        if is_unchanged && claim.shard_count <= self.shard_count {
            return false;
        }
        self.shard_count = self.shard_count.max(claim.shard_count);
        self.holders.insert(upstream, claim.shards);
        self.rebuild();
        true
    }

    fn remove_holder(&mut self, upstream: UpstreamId) -> bool {
        if self.holders.remove(&upstream).is_none() {
            return false;
        }
        self.rebuild();
        true
    }

    fn rebuild(&mut self) {
        let mut replicas = vec![Vec::new(); to_index(self.shard_count)];
        for (upstream, shards) in &self.holders {
            for shard in shards {
                replicas[to_index(shard.0)].push(*upstream);
            }
        }
        self.map = Arc::new(SnapshotMap::new(self.map.snapshot(), replicas));
    }

    fn reachable(&self, is_responsive: impl Fn(UpstreamId) -> bool) -> Coverage {
        let has_responsive_replica =
            |it: &ShardIndex| self.map.replicas(*it).iter().any(|it| is_responsive(*it));
        let contributed = self.map.shards().filter(has_responsive_replica).count();
        let contributed = u32::try_from(contributed).unwrap_or(u32::MAX);
        Coverage { contributed, total: self.shard_count }
    }
}

impl ClaimSource {
    fn is_rejected(&self, snapshot: SnapshotId) -> bool {
        self.rejected.iter().any(|it| it.snapshot == snapshot)
    }
}

/// Returns the newest claims that are within the limits.
///
/// A claimed shard number beyond the claimed shard count raises the count to include it, so that
/// the coverage is not computed from a count that is known to be too low.
fn check_claims<'a>(
    claims: impl IntoIterator<Item = SnapshotClaim<'a>>,
) -> BTreeMap<SnapshotId, ValidClaim> {
    let mut checked: BTreeMap<SnapshotId, ValidClaim> = BTreeMap::new();
    for claim in claims {
        let implied_count = claim.shards.iter().map(|it| it.0.saturating_add(1)).max().unwrap_or(0);
        let shard_count = claim.shard_count.max(implied_count);
        if MAX_SHARD_COUNT < shard_count {
            continue;
        }
        let valid = checked.entry(claim.snapshot).or_default();
        valid.shard_count = valid.shard_count.max(shard_count);
        valid.shards.extend_from_slice(claim.shards);
        valid.shards.sort_unstable();
        valid.shards.dedup();
        if MAX_CLAIMS < checked.len() {
            checked.pop_first();
        }
    }
    checked
}

fn to_index(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
