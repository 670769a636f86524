//! The members as one node knows them.

use std::hash::BuildHasher;

use mux_model::{FastHasher, FastMap, NodeId, NodeIncarnation, RevisionNumber, TimePoint};

use crate::{
    MemberRecord, MemberState,
    codec::stable_hash,
    message::{MemberClaim, MemberReport},
};

/// What a claim or record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TableChange {
    /// Nothing that others need to hear.
    Unchanged,
    /// The member is new or runs anew.
    Up,
    /// The member was dead, and the same run of it is back.
    Back,
    /// The member's state, incarnation or addresses changed.
    Changed,
    /// The member was removed.
    Down,
}

/// One other member with this node's bookkeeping.
#[derive(Debug, Clone)]
pub(crate) struct TableEntry {
    pub(crate) record: MemberRecord,
    /// When the state was entered.
    pub(crate) since: TimePoint,
    /// Whether this node raised the suspicion itself.
    pub(crate) suspected_here: bool,
}

/// All other members, dead ones included until they are forgotten.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    entries: FastMap<NodeId, TableEntry>,
    /// Members by the key of their reports; `None` where two members share a key.
    keys: FastMap<u32, Option<NodeId>>,
}

impl MemberTable {
    /// Returns the entry of `node`.
    pub(crate) fn get(&self, node: &NodeId) -> Option<&TableEntry> {
        self.entries.get(node)
    }

    /// Returns all entries.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &TableEntry> {
        self.entries.values()
    }

    /// Returns the entries that are not dead.
    pub(crate) fn live(&self) -> impl Iterator<Item = &TableEntry> {
        self.iter().filter(|it| it.record.state != MemberState::Dead)
    }

    /// Returns the entry of `node` unless it is dead.
    pub(crate) fn live_entry(&self, node: &NodeId) -> Option<&TableEntry> {
        self.get(node).filter(|it| it.record.state != MemberState::Dead)
    }

    /// Returns the number of other members that are not dead.
    pub(crate) fn live_count(&self) -> usize {
        self.live().count()
    }

    /// Merges a full record of another member.
    pub(crate) fn apply_record(&mut self, now: TimePoint, record: &MemberRecord) -> TableChange {
        let Some(entry) = self.entries.get_mut(record.node()) else {
            self.insert(now, record.clone());
            return match record.state {
                MemberState::Dead => TableChange::Unchanged,
                _ => TableChange::Up,
            };
        };
        let known = &entry.record;
        if record.incarnation <= known.incarnation || record.run == known.run {
            return self.apply_claim(now, &claim_of(record));
        }
        let was_dead = known.state == MemberState::Dead;
        self.insert(now, record.clone());
        match record.state {
            MemberState::Dead if was_dead => TableChange::Unchanged,
            MemberState::Dead => TableChange::Down,
            _ => TableChange::Up,
        }
    }

    /// Merges a claim about a known member.
    pub(crate) fn apply_claim(&mut self, now: TimePoint, claim: &MemberClaim) -> TableChange {
        let Some(entry) = self.entries.get_mut(&claim.node) else {
            return TableChange::Unchanged;
        };
        let record = &mut entry.record;
        if (claim.incarnation, claim.state) <= (record.incarnation, record.state) {
            return TableChange::Unchanged;
        }
        let before = record.state;
        record.incarnation = claim.incarnation;
        record.state = claim.state;
        entry.suspected_here = false;
        if before != claim.state {
            entry.since = now;
        }
        change_between(before, claim.state)
    }

    /// Marks a member as suspect because it did not answer this node.
    pub(crate) fn suspect(&mut self, now: TimePoint, node: &NodeId) -> TableChange {
        let Some(entry) = self.entries.get_mut(node) else {
            return TableChange::Unchanged;
        };
        if MemberState::Suspect <= entry.record.state {
            return TableChange::Unchanged;
        }
        entry.record.state = MemberState::Suspect;
        entry.since = now;
        entry.suspected_here = true;
        TableChange::Changed
    }

    /// Removes a suspect member.
    pub(crate) fn bury(&mut self, now: TimePoint, node: &NodeId) -> TableChange {
        let Some(entry) = self.entries.get_mut(node) else {
            return TableChange::Unchanged;
        };
        entry.record.state = MemberState::Dead;
        entry.since = now;
        TableChange::Down
    }

    /// Takes back this node's own suspicion of `node`.
    pub(crate) fn absolve(&mut self, now: TimePoint, node: &NodeId) -> TableChange {
        let Some(entry) = self.entries.get_mut(node) else {
            return TableChange::Unchanged;
        };
        let before = entry.record.state;
        entry.record.state = MemberState::Alive;
        entry.since = now;
        entry.suspected_here = false;
        change_between(before, MemberState::Alive)
    }

    /// Starts the time of every suspicion anew.
    pub(crate) fn restart_suspicions(&mut self, now: TimePoint) {
        for entry in self.entries.values_mut() {
            if entry.record.state == MemberState::Suspect {
                entry.since = now;
            }
        }
    }

    /// Merges a report; returns the member and its revision if that rose.
    pub(crate) fn apply_report(
        &mut self,
        report: &MemberReport,
    ) -> Option<(NodeId, RevisionNumber)> {
        let node = self.keys.get(&report.key)?.as_ref()?;
        let record = &mut self.entries.get_mut(node)?.record;
        if report.report <= record.report {
            return None;
        }
        let rose = record.revision < report.revision;
        record.report = report.report;
        record.load = report.load;
        record.revision = record.revision.max(report.revision);
        rose.then(|| (node.clone(), report.revision))
    }

    /// Forgets the dead members for which `expired` holds.
    pub(crate) fn forget(&mut self, expired: impl Fn(&TableEntry) -> bool) {
        self.entries.retain(|_, it| it.record.state != MemberState::Dead || !expired(it));
        self.keys.retain(|_, node| node.as_ref().is_none_or(|it| self.entries.contains_key(it)));
    }

    /// Returns a hash of the names, incarnations and states of the live members and `local`.
    pub(crate) fn digest(&self, local: &MemberRecord) -> u64 {
        let hasher = FastHasher::default();
        let records = self.live().map(|it| &it.record);
        records
            .chain([local])
            .fold(0, |digest, it| digest ^ hasher.hash_one((it.node(), it.incarnation, it.state)))
    }

    fn insert(&mut self, now: TimePoint, record: MemberRecord) {
        let node = record.node().clone();
        self.drop_key(&node);
        let key = report_key(&node, record.run);
        let shared = self.keys.contains_key(&key);
        self.keys.insert(key, (!shared).then(|| node.clone()));
        self.entries.insert(node, TableEntry { record, since: now, suspected_here: false });
    }

    /// Drops the key of an earlier run, so that its late reports are not taken for the new run's.
    fn drop_key(&mut self, node: &NodeId) {
        let Some(entry) = self.entries.get(node) else {
            return;
        };
        let key = report_key(node, entry.record.run);
        if self.keys.get(&key).is_some_and(Option::is_some) {
            self.keys.remove(&key);
        }
    }
}

/// Returns the key under which the reports of one run of `node` travel.
pub(crate) fn report_key(node: &NodeId, run: NodeIncarnation) -> u32 {
    stable_hash(node.as_str().as_bytes()) ^ stable_hash(&run.0.to_le_bytes())
}

/// Returns the claim that `record` makes.
pub(crate) fn claim_of(record: &MemberRecord) -> MemberClaim {
    MemberClaim {
        node: record.node().clone(),
        incarnation: record.incarnation,
        state: record.state,
    }
}

fn change_between(before: MemberState, after: MemberState) -> TableChange {
    match (before, after) {
        (MemberState::Dead, MemberState::Dead) => TableChange::Unchanged,
        (MemberState::Dead, _) => TableChange::Back,
        (_, MemberState::Dead) => TableChange::Down,
        _ => TableChange::Changed,
    }
}
