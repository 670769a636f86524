//! What each upstream of one service says about the snapshots that it holds.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use mux_model::{Coverage, FastMap, ShardIndex, SnapshotId, SnapshotMap, TimePoint, UpstreamId};

use crate::{SnapshotClaim, snapshot_catalog::RankedSnapshot};

/// Shards above which a claim is taken for an error.
const MAX_SHARD_COUNT: u32 = 65_536;
/// Snapshots, newest first, that are taken from one status.
const MAX_CLAIMS: usize = 16;
/// Time by which an upstream may be heard of later than the one heard of last and still count.
const CLAIM_LIFETIME_MS: u64 = 10_000;
/// Time between two judgements of all upstreams while nothing else changes.
const JUDGE_INTERVAL_MS: u64 = 500;
/// Time for which a status is not believed after its upstream proved it wrong.
const WITHDRAWAL_MS: u64 = 5_000;
/// Upstreams that have to speak of a snapshot, if there are that many.
const WITNESSES: usize = 2;

/// The claims of all upstreams, by snapshot.
#[derive(Debug, Clone, Default)]
pub(crate) struct SnapshotClaims {
    snapshots: BTreeMap<SnapshotId, KnownSnapshot>,
    sources: FastMap<UpstreamId, ClaimSource>,
    last_heard: TimePoint,
    judged_at: TimePoint,
}

/// One snapshot that at least one upstream claims to hold.
///
/// The shard count is the highest ever claimed: a claim that is too low cannot raise coverage.
#[derive(Debug, Clone)]
struct KnownSnapshot {
    shard_count: u32,
    holders: BTreeMap<UpstreamId, Vec<ShardIndex>>,
    map: Arc<SnapshotMap>,
}

/// What is known about one upstream as a source of claims.
#[derive(Debug, Clone, Default)]
struct ClaimSource {
    heard_at: Option<TimePoint>,
    fresh: bool,
    stale: bool,
    withdrawn: Vec<WithdrawnClaim>,
}

/// A claim that was proved wrong and is not believed for a while.
#[derive(Debug, Clone, Copy)]
struct WithdrawnClaim {
    snapshot: SnapshotId,
    until: TimePoint,
}

/// A checked claim of one upstream.
#[derive(Debug, Default)]
struct HeldShards {
    shard_count: u32,
    shards: Vec<ShardIndex>,
}

impl SnapshotClaims {
    /// Replaces all claims of `upstream`; returns whether anything changed.
    pub(crate) fn replace<'a>(
        &mut self,
        now: TimePoint,
        upstream: UpstreamId,
        claims: impl IntoIterator<Item = SnapshotClaim<'a>>,
    ) -> bool {
        let source = self.sources.entry(upstream).or_default();
        source.stale = false;
        source.withdrawn.retain(|it| now < it.until);
        let mut held = check_claims(claims);
        held.retain(|snapshot, _| !source.has_withdrawn(*snapshot));
        let mut changed = self.drop_claims(upstream, |it| held.contains_key(&it));
        for (snapshot, held) in held {
            let known =
                self.snapshots.entry(snapshot).or_insert_with(|| KnownSnapshot::new(snapshot));
            changed |= known.hold(upstream, held);
        }
        self.hear(now, upstream) || changed
    }

    /// Drops the claim of `upstream` to `snapshot`; returns whether anything changed.
    pub(crate) fn withdraw(
        &mut self,
        now: TimePoint,
        upstream: UpstreamId,
        snapshot: SnapshotId,
    ) -> bool {
        let until = now + Duration::from_millis(WITHDRAWAL_MS);
        let source = self.sources.entry(upstream).or_default();
        source.stale = true;
        source.withdrawn.retain(|it| now < it.until && it.snapshot != snapshot);
        source.withdrawn.truncate(MAX_CLAIMS - 1);
        source.withdrawn.push(WithdrawnClaim { snapshot, until });
        let dropped = self.drop_claims(upstream, |it| it != snapshot);
        self.hear(now, upstream) || dropped
    }

    /// Notes that a reply named a snapshot; returns whether anything changed.
    pub(crate) fn note_newest(
        &mut self,
        now: TimePoint,
        upstream: UpstreamId,
        snapshot: SnapshotId,
    ) -> bool {
        let known = self.snapshots.get(&snapshot);
        if known.is_none_or(|it| !it.holders.contains_key(&upstream)) {
            self.sources.entry(upstream).or_default().stale = true;
        }
        self.hear(now, upstream)
    }

    /// Notes that `upstream` cannot be reached; returns whether anything changed.
    pub(crate) fn note_unreachable(&mut self, upstream: UpstreamId) -> bool {
        let Some(source) = self.sources.get_mut(&upstream) else {
            return false;
        };
        source.heard_at = None;
        self.refresh()
    }

    /// Forgets `upstream`; returns whether anything changed.
    pub(crate) fn remove(&mut self, upstream: UpstreamId) -> bool {
        let dropped = self.drop_claims(upstream, |_| false);
        self.sources.remove(&upstream).is_some() || dropped
    }

    /// Returns the upstreams whose replies contradict their latest status.
    pub(crate) fn stale_sources(&self) -> impl Iterator<Item = UpstreamId> {
        self.sources.iter().filter(|(_, it)| it.stale).map(|(upstream, _)| *upstream)
    }

    /// Returns every snapshot with how good it is to pin.
    pub(crate) fn ranked(&self) -> impl Iterator<Item = RankedSnapshot> {
        let fresh_sources = self.sources.values().filter(|it| it.fresh).count();
        let witnesses = fresh_sources.clamp(1, WITNESSES);
        self.snapshots.values().map(move |it| {
            let fresh_holders = it.holders.keys().filter(|it| self.is_fresh(**it)).count();
            RankedSnapshot {
                map: Arc::clone(&it.map),
                reachable: it.reachable(|upstream| self.is_fresh(upstream)),
                corroborated: witnesses <= fresh_holders,
            }
        })
    }

    fn is_fresh(&self, upstream: UpstreamId) -> bool {
        self.sources.get(&upstream).is_some_and(|it| it.fresh)
    }

    fn hear(&mut self, now: TimePoint, upstream: UpstreamId) -> bool {
        self.last_heard = self.last_heard.max(now);
        let source = self.sources.entry(upstream).or_default();
        source.heard_at = Some(now);
        let was_judged = now.since(self.judged_at) < Duration::from_millis(JUDGE_INTERVAL_MS);
        if source.fresh && was_judged {
            return false;
        }
        self.judged_at = now;
        self.refresh()
    }

    /// Judges each source against the one heard of last, so that a delay common to all of them
    /// makes none of them count less; returns whether any judgement changed.
    fn refresh(&mut self) -> bool {
        let lifetime = Duration::from_millis(CLAIM_LIFETIME_MS);
        let mut changed = false;
        for source in self.sources.values_mut() {
            let fresh = source.heard_at.is_some_and(|it| self.last_heard.since(it) < lifetime);
            changed |= source.fresh != fresh;
            source.fresh = fresh;
        }
        changed
    }

    /// Drops the claims of `upstream` to snapshots other than those that `keep` accepts.
    fn drop_claims(&mut self, upstream: UpstreamId, keep: impl Fn(SnapshotId) -> bool) -> bool {
        let mut changed = false;
        self.snapshots.retain(|snapshot, known| {
            if !keep(*snapshot) {
                changed |= known.release(upstream);
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

    fn hold(&mut self, upstream: UpstreamId, held: HeldShards) -> bool {
        let is_known = self.holders.get(&upstream) == Some(&held.shards);
        if is_known && held.shard_count <= self.shard_count {
            return false;
        }
        self.shard_count = self.shard_count.max(held.shard_count);
        self.holders.insert(upstream, held.shards);
        self.rebuild();
        true
    }

    fn release(&mut self, upstream: UpstreamId) -> bool {
        if self.holders.remove(&upstream).is_none() {
            return false;
        }
        self.rebuild();
        true
    }

    fn rebuild(&mut self) {
        let mut replicas = vec![Vec::new(); index(self.shard_count)];
        for (upstream, shards) in &self.holders {
            for shard in shards {
                replicas[index(shard.0)].push(*upstream);
            }
        }
        self.map = Arc::new(SnapshotMap::new(self.map.snapshot(), replicas));
    }

    fn reachable(&self, is_fresh: impl Fn(UpstreamId) -> bool) -> Coverage {
        let has_fresh = |it: &ShardIndex| self.map.replicas(*it).iter().any(|it| is_fresh(*it));
        let contributed = self.map.shards().filter(has_fresh).count();
        let contributed = u32::try_from(contributed).unwrap_or(u32::MAX);
        Coverage { contributed, total: self.shard_count }
    }
}

impl ClaimSource {
    fn has_withdrawn(&self, snapshot: SnapshotId) -> bool {
        self.withdrawn.iter().any(|it| it.snapshot == snapshot)
    }
}

/// Returns the newest claims that are within bounds.
///
/// A shard beyond the claimed count raises the count, never the coverage.
fn check_claims<'a>(
    claims: impl IntoIterator<Item = SnapshotClaim<'a>>,
) -> BTreeMap<SnapshotId, HeldShards> {
    let mut checked: BTreeMap<SnapshotId, HeldShards> = BTreeMap::new();
    for claim in claims {
        let implied = claim.shards.iter().map(|it| it.0.saturating_add(1)).max().unwrap_or(0);
        let shard_count = claim.shard_count.max(implied);
        if MAX_SHARD_COUNT < shard_count {
            continue;
        }
        let held = checked.entry(claim.snapshot).or_default();
        held.shard_count = held.shard_count.max(shard_count);
        held.shards.extend_from_slice(claim.shards);
        held.shards.sort_unstable();
        held.shards.dedup();
        if MAX_CLAIMS < checked.len() {
            checked.pop_first();
        }
    }
    checked
}

fn index(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
