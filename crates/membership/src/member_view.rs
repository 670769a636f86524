//! Read-only snapshots of the membership.

use mux_model::{NodeId, RevisionNumber, TimePoint};

use crate::{MemberRecord, MemberState};

/// Snapshot of the members that are not dead, including this node.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MemberView {
    /// The members, ordered by name.
    pub members: Vec<MemberRecord>,
    /// Whether another member has answered a probe since the start or the last process pause.
    pub verified: bool,
    /// Time of the last answer to a probe, or of the start if there was none.
    pub last_contact: TimePoint,
}

impl MemberView {
    /// Returns the member named `node`.
    pub fn get(&self, node: &NodeId) -> Option<&MemberRecord> {
        let idx = self.members.binary_search_by(|it| it.node().cmp(node)).ok()?;
        self.members.get(idx)
    }

    /// Returns the members to which new work may be assigned.
    pub fn available(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().filter(|it| it.is_available())
    }

    /// Returns the number of members that have applied at least `revision`, and the total number.
    pub fn applied_and_total(&self, revision: RevisionNumber) -> (usize, usize) {
        let count = self.members.iter().filter(|it| revision <= it.revision).count();
        (count, self.members.len())
    }

    /// Returns the members in `state`.
    pub fn in_state(&self, state: MemberState) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().filter(move |it| it.state == state)
    }
}
