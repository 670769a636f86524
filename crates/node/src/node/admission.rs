//! Decides whether the node admits queries.

use std::time::Duration;

use mux_config::{ReadyState, ServiceDefinition, UnreadyReason};
use mux_model::{RevisionNumber, TimePoint};

use super::{Node, StopPhase};
use crate::dispatch::{ProblemCode, QueryProblem};

const STOPPING_RETRY_MS: u64 = 1;

impl Node {
    /// Checks whether this node admits queries at present.
    ///
    /// # Errors
    ///
    /// Returns the problem to report to the caller, with a suggested retry delay.
    pub(crate) fn check_admission(&self) -> Result<(), QueryProblem> {
        if self.stop_state.phase() == StopPhase::Rejecting {
            return Err(stopping_problem());
        }
        let ReadyState::NotReady { reason, retry_after } = self.readiness() else {
            return Ok(());
        };
        let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        Err(QueryProblem::not_run(ProblemCode::NotReady, unready_message(reason))
            .retry_after_ms(millis))
    }

    /// Checks whether a query of a service with this definition can be expected to be complete before the
    /// planned stop of this node ends, if one has begun.
    ///
    /// # Errors
    ///
    /// Returns the problem to report to the caller.
    pub(crate) fn check_time_to_stop(
        &self,
        definition: &ServiceDefinition,
        deadline: TimePoint,
    ) -> Result<(), QueryProblem> {
        let Some(schedule) = self.stop_state.schedule() else {
            return Ok(());
        };
        let now = self.timer.now();
        let allowed = deadline.since(now);
        let latency_target = Duration::from_millis(definition.latency_target_ms);
        let is_taken = match definition.idempotent {
            true => schedule.takes_idempotent(now, allowed, latency_target),
            false => schedule.takes_at_most_once(now, allowed, latency_target),
        };
        if is_taken { Ok(()) } else { Err(stopping_problem()) }
    }

    /// Waits until queries in flight have to be interrupted, as this node is about to exit.
    pub(crate) async fn wait_for_interruption(&self) {
        self.stop_state.wait_for_interruption(&self.timer).await;
    }

    /// Returns whether the configuration is verified and up to date, and the key-value service or a
    /// peer can be reached.
    ///
    /// Detects process pauses first, so that a pause not handled yet is taken into account.
    pub(crate) fn readiness(&self) -> ReadyState {
        self.detect_pauses();
        self.lock_freshness().readiness(self.timer.now())
    }

    /// Marks configuration and membership as unverified if the process was paused since the last
    /// check.
    pub(crate) fn detect_pauses(&self) {
        let count = self.timer.pause_count();
        let is_new = self.lock_freshness().on_pause_count(self.timer.now(), count);
        if is_new {
            self.gossip.on_pause();
        }
    }

    /// Records a reply of the key-value service to a request sent at `sent_at`.
    pub(crate) fn on_store_contact(&self, sent_at: TimePoint, revision: RevisionNumber) {
        self.detect_pauses();
        self.lock_freshness().on_store_contact(sent_at, revision);
        let mut last_contacts =
            self.last_contacts.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        last_contacts.store = Some(self.timer.now());
    }

    /// Records a reply of a peer to a probe at `moment`; `revision` is the highest among the peers.
    pub(crate) fn on_peer_contact(&self, moment: TimePoint, revision: RevisionNumber) {
        self.detect_pauses();
        self.lock_freshness().on_peer_contact(moment, revision);
        let mut last_contacts =
            self.last_contacts.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        last_contacts.peer = Some(moment);
    }

    /// Records how many other nodes may be running, including failed members.
    pub(crate) fn on_other_nodes(&self, count: usize) {
        self.lock_freshness().on_other_nodes(count);
    }
}

fn stopping_problem() -> QueryProblem {
    let message = "the node is stopping; use another address";
    QueryProblem::not_run(ProblemCode::Draining, message).retry_after_ms(STOPPING_RETRY_MS)
}

/// Returns the message for the reason why the node is not ready.
pub(super) fn unready_message(reason: UnreadyReason) -> &'static str {
    match reason {
        UnreadyReason::NoConfiguration => "the node has no configuration yet; use another address",
        UnreadyReason::Unverified => "the node is verifying its configuration; use another address",
        UnreadyReason::Isolated => {
            "the node reaches neither the key-value service nor a peer; use another address"
        }
        UnreadyReason::Behind => "the node's configuration is outdated; use another address",
    }
}
