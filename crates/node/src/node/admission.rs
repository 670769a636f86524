//! Whether the node admits queries.

use mux_config::{ReadyState, UnreadyReason};
use mux_model::{RevisionNumber, TimePoint};

use super::{Node, StopPhase};
use crate::dispatch::{ProblemCode, QueryProblem};

const REFUSING_RETRY_MS: u64 = 1;

impl Node {
    /// Checks whether a query may run here now.
    ///
    /// # Errors
    ///
    /// Returns the problem to tell the caller, with the time to come back.
    pub(crate) fn check_admission(&self) -> Result<(), QueryProblem> {
        if self.stop.phase() == StopPhase::Refusing {
            let message = "the node is stopping; use another address";
            return Err(QueryProblem::not_run(ProblemCode::Draining, message)
                .retry_after_ms(REFUSING_RETRY_MS));
        }
        let ReadyState::NotReady { reason, retry_after } = self.readiness() else {
            return Ok(());
        };
        let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        Err(QueryProblem::not_run(ProblemCode::NotReady, describe(reason)).retry_after_ms(millis))
    }

    /// Returns whether the configuration may be relied on.
    ///
    /// A pause that the heartbeat has not noticed yet counts as noticed.
    pub(crate) fn readiness(&self) -> ReadyState {
        self.notice_pauses();
        self.lock_guard().readiness(self.timer.now())
    }

    /// Treats all knowledge as unverified if the process was paused since it was last asked.
    pub(crate) fn notice_pauses(&self) {
        let count = self.timer.pause_count();
        let is_new = self.lock_guard().on_pause_count(self.timer.now(), count);
        if is_new {
            self.gossip.on_pause();
        }
    }

    /// Records a reply of the key-value service to a request sent at `sent_at`.
    pub(crate) fn on_store_contact(&self, sent_at: TimePoint, revision: RevisionNumber) {
        self.notice_pauses();
        self.lock_guard().on_store_contact(sent_at, revision);
        let mut contacts = self.contacts.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        contacts.store = Some(self.timer.now());
    }

    /// Records that a peer with `revision` answered a probe at `moment`.
    pub(crate) fn on_peer_contact(&self, moment: TimePoint, revision: RevisionNumber) {
        self.notice_pauses();
        self.lock_guard().on_peer_contact(moment, revision);
        let mut contacts = self.contacts.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        contacts.peer = Some(moment);
    }

    /// Records how many other nodes may be running, lost ones included.
    pub(crate) fn on_other_nodes(&self, count: usize) {
        self.lock_guard().on_other_nodes(count);
    }
}

/// Says in words why the node is not ready.
pub(super) fn describe(reason: UnreadyReason) -> &'static str {
    match reason {
        UnreadyReason::NoConfiguration => "the node has no configuration yet; use another address",
        UnreadyReason::Unverified => "the node is verifying its configuration; use another address",
        UnreadyReason::Isolated => {
            "the node reaches neither the key-value service nor a peer; use another address"
        }
        UnreadyReason::Behind => "the node's configuration is outdated; use another address",
    }
}
