//! Local table of the other members.

use mux_model::{FastMap, NodeId, NodeIncarnation, RevisionNumber, TimePoint};

use crate::{
    MemberRecord, MemberState,
    codec::stable_hash,
    message::{MemberClaim, MemberReport},
    table_digest::TableDigest,
};

/// Change of a table entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TableChange {
    /// No change to publish or disseminate.
    Unchanged,
    /// The member joined or restarted.
    Up,
    /// The member was dead and has refuted that, in the same run.
    Recovered,
    /// The state or incarnation of the member changed.
    Changed,
    /// The member was marked dead.
    Down,
}

/// Record of one other member with local data.
#[derive(Debug, Clone)]
pub(crate) struct TableEntry {
    pub(crate) record: MemberRecord,
    /// Time at which the state was entered or the suspicion timeout was last restarted.
    pub(crate) since: TimePoint,
    /// Whether the suspicion was raised by a failed probe of this node.
    pub(crate) suspected_locally: bool,
}

/// All other members, including dead ones until they expire.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    entries: FastMap<NodeId, TableEntry>,
    /// Members by report key; `None` for a key that two members share, whose reports are ignored.
    report_keys: FastMap<u32, Option<NodeId>>,
}

impl MemberTable {
    /// Returns the entry of `node`.
    pub(crate) fn get(&self, node: &NodeId) -> Option<&TableEntry> {
        self.entries.get(node)
    }

    /// Returns all entries, including dead members.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &TableEntry> {
        self.entries.values()
    }

    /// Returns the entries of members that are not dead.
    pub(crate) fn live(&self) -> impl Iterator<Item = &TableEntry> {
        self.iter().filter(|it| it.record.state != MemberState::Dead)
    }

    /// Returns the entry of `node` unless the member is dead.
    pub(crate) fn live_entry(&self, node: &NodeId) -> Option<&TableEntry> {
        self.get(node).filter(|it| it.record.state != MemberState::Dead)
    }

    /// Returns the number of other members that are not dead.
    pub(crate) fn live_count(&self) -> usize {
        self.live().count()
    }

    /// Merges the full record of a member or run that is not in the table.
    pub(crate) fn apply_record(&mut self, now: TimePoint, record: &MemberRecord) -> TableChange {
        let Some(entry) = self.entries.get_mut(record.node()) else {
            self.insert(now, record.clone());
            return match record.state {
                MemberState::Dead => TableChange::Unchanged,
                _ => TableChange::Up,
            };
        };
        let known = &entry.record;
        if record.incarnation <= known.incarnation {
            return TableChange::Unchanged;
        }
        let was_dead = known.state == MemberState::Dead;
        self.insert(now, record.clone());
        match record.state {
            MemberState::Dead if was_dead => TableChange::Unchanged,
            MemberState::Dead => TableChange::Down,
            _ => TableChange::Up,
        }
    }

    /// Sets the incarnation and state from a claim that overrides the current ones.
    pub(crate) fn apply_claim(&mut self, now: TimePoint, claim: &MemberClaim) -> TableChange {
        let Some(entry) = self.entries.get_mut(&claim.node) else {
            return TableChange::Unchanged;
        };
        let before = entry.record.state;
        entry.record.incarnation = claim.incarnation;
        entry.record.state = claim.state;
        entry.suspected_locally = false;
        if before != claim.state {
            entry.since = now;
        }
        change_between(before, claim.state)
    }

    /// Marks a member as suspect after a failed probe of this node.
    pub(crate) fn mark_suspect(&mut self, now: TimePoint, node: &NodeId) -> TableChange {
        let Some(entry) = self.entries.get_mut(node) else {
            return TableChange::Unchanged;
        };
        if MemberState::Suspect <= entry.record.state {
            return TableChange::Unchanged;
        }
        entry.record.state = MemberState::Suspect;
        entry.since = now;
        entry.suspected_locally = true;
        TableChange::Changed
    }

    /// Marks a member as dead.
    pub(crate) fn mark_dead(&mut self, now: TimePoint, node: &NodeId) -> TableChange {
        let Some(entry) = self.entries.get_mut(node) else {
            return TableChange::Unchanged;
        };
        entry.record.state = MemberState::Dead;
        entry.since = now;
        TableChange::Down
    }

    /// Clears a suspicion that this node raised.
    pub(crate) fn clear_suspicion(&mut self, now: TimePoint, node: &NodeId) -> TableChange {
        let Some(entry) = self.entries.get_mut(node) else {
            return TableChange::Unchanged;
        };
        let before = entry.record.state;
        entry.record.state = MemberState::Alive;
        entry.since = now;
        entry.suspected_locally = false;
        change_between(before, MemberState::Alive)
    }

    /// Restarts the timeouts of all suspicions.
    pub(crate) fn restart_suspicion_timers(&mut self, now: TimePoint) {
        for entry in self.entries.values_mut() {
            if entry.record.state == MemberState::Suspect {
                entry.since = now;
            }
        }
    }

    /// Merges a report; returns the member and its revision if that is higher than before.
    pub(crate) fn apply_report(
        &mut self,
        report: &MemberReport,
    ) -> Option<(NodeId, RevisionNumber)> {
        let node = self.report_keys.get(&report.key)?.as_ref()?;
        let record = &mut self.entries.get_mut(node)?.record;
        if report.report_number <= record.report_number {
            return None;
        }
        let is_higher = record.revision < report.revision;
        record.report_number = report.report_number;
        record.load = report.load;
        record.revision = report.revision;
        is_higher.then(|| (node.clone(), report.revision))
    }

    /// Removes the entries of dead members for which `expired` holds.
    pub(crate) fn remove_expired(&mut self, expired: impl Fn(&TableEntry) -> bool) {
        self.entries.retain(|_, it| it.record.state != MemberState::Dead || !expired(it));
        self.report_keys
            .retain(|_, node| node.as_ref().is_none_or(|it| self.entries.contains_key(it)));
    }

    /// Returns the digest of the live members and `local`.
    pub(crate) fn digest(&self, local: &MemberRecord) -> TableDigest {
        TableDigest::of(self.live().map(|it| &it.record).chain([local]))
    }

    fn insert(&mut self, now: TimePoint, record: MemberRecord) {
        let node = record.node().clone();
        self.remove_report_key(&node);
        let key = report_key(&node, record.run);
        let shared = self.report_keys.contains_key(&key);
        self.report_keys.insert(key, (!shared).then(|| node.clone()));
        self.entries.insert(node, TableEntry { record, since: now, suspected_locally: false });
    }

    /// Removes the report key of the previous run, so that its late reports are ignored.
    fn remove_report_key(&mut self, node: &NodeId) {
        let Some(entry) = self.entries.get(node) else {
            return;
        };
        let key = report_key(node, entry.record.run);
        if self.report_keys.get(&key).is_some_and(Option::is_some) {
            self.report_keys.remove(&key);
        }
    }
}

/// Returns the key that identifies one run of `node` in reports.
pub(crate) fn report_key(node: &NodeId, run: NodeIncarnation) -> u32 {
    stable_hash(node.as_str().as_bytes()) ^ stable_hash(&run.0.to_le_bytes())
}

/// Returns the claim with the incarnation and state of `record`.
pub(crate) fn claim_of(record: &MemberRecord) -> MemberClaim {
    MemberClaim {
        node: record.node().clone(),
        run: record.run,
        incarnation: record.incarnation,
        state: record.state,
    }
}

fn change_between(before: MemberState, after: MemberState) -> TableChange {
    match (before, after) {
        (MemberState::Dead, MemberState::Dead) => TableChange::Unchanged,
        (MemberState::Dead, _) => TableChange::Recovered,
        (_, MemberState::Dead) => TableChange::Down,
        _ => TableChange::Changed,
    }
}
