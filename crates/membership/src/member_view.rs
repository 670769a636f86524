//! A snapshot of the members for readers.

use mux_model::{NodeId, RevisionNumber, TimePoint};

use crate::{MemberRecord, MemberState};

/// The members that are not dead, this node included, ordered by name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MemberView {
    /// The members.
    pub members: Vec<MemberRecord>,
    /// Whether another member has answered a probe since the start or the last pause.
    pub verified: bool,
    /// When another member last answered a probe.
    pub last_contact: TimePoint,
}

impl MemberView {
    /// Returns the member with the name `node`.
    pub fn get(&self, node: &NodeId) -> Option<&MemberRecord> {
        let idx = self.members.binary_search_by(|it| it.node().cmp(node)).ok()?;
        self.members.get(idx)
    }

    /// Returns the members that are to get new work.
    pub fn available(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().filter(|it| it.is_available())
    }

    /// Returns how many members reported `revision` or a higher one, and how many there are.
    pub fn in_force(&self, revision: RevisionNumber) -> (usize, usize) {
        let count = self.members.iter().filter(|it| revision <= it.revision).count();
        (count, self.members.len())
    }

    /// Returns the members in `state`.
    pub fn in_state(&self, state: MemberState) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().filter(move |it| it.state == state)
    }
}
