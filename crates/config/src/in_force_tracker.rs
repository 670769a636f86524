//! Tracks the nodes at which a revision is in force.

use mux_model::{FastMap, NodeId, RevisionNumber};

/// Rollout progress of a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForceProgress {
    /// Number of live members that have applied the revision or a higher one.
    pub in_force: usize,
    /// Number of live members.
    pub members: usize,
}

/// Tracks one revision until every live member has applied it.
///
/// A member that has left, or is known to have stopped admitting requests, is not counted.
#[derive(Debug, Clone)]
pub struct InForceTracker {
    revision: RevisionNumber,
    members: FastMap<NodeId, RevisionNumber>,
}

impl InForceTracker {
    /// Starts to track `revision` at `members`.
    pub fn start(revision: RevisionNumber, members: impl IntoIterator<Item = NodeId>) -> Self {
        let members = members.into_iter().map(|it| (it, RevisionNumber::default())).collect();
        Self { revision, members }
    }

    /// Returns the tracked revision.
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Records the applied revision that `member` reported; unknown members are ignored.
    pub fn on_ack(&mut self, member: &NodeId, revision: RevisionNumber) {
        if let Some(applied) = self.members.get_mut(member) {
            *applied = revision.max(*applied);
        }
    }

    /// Records that `member` no longer serves requests.
    pub fn on_member_removed(&mut self, member: &NodeId) {
        self.members.remove(member);
    }

    /// Returns the progress of the rollout.
    pub fn progress(&self) -> InForceProgress {
        let in_force = self.members.values().filter(|it| self.revision <= **it).count();
        InForceProgress { in_force, members: self.members.len() }
    }

    /// Lists the members that have not applied the revision, in no particular order.
    pub fn missing(&self) -> impl Iterator<Item = &NodeId> {
        self.members.iter().filter(|(_, applied)| **applied < self.revision).map(|(node, _)| node)
    }

    /// Returns whether every live member has applied the revision.
    pub fn is_done(&self) -> bool {
        self.missing().next().is_none()
    }
}
