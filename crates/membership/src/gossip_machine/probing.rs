//! Failure detection: direct and indirect probes, suspicion, and marking members dead.

use std::{net::SocketAddr, time::Duration};

use mux_model::{NodeId, TimePoint};
use rand::seq::IteratorRandom;

use super::GossipMachine;
use crate::{
    GossipAction, MemberState,
    member_table::claim_of,
    message::{GossipBody, MemberClaim},
    probe_tracker::{Probe, ProbeKind, UnansweredProbe},
};

const DEAD_PROBE_PERIOD_MIN: Duration = Duration::from_secs(2);
const DEAD_PROBE_PERIOD_PER_MEMBER: Duration = Duration::from_millis(50);
const CLAIM_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Minimum suspicion timeout while this node may itself be isolated.
const ISOLATED_SUSPICION_TIMEOUT_MIN: Duration = Duration::from_secs(60);
const HEALING_PERIOD: Duration = Duration::from_secs(15);

impl GossipMachine {
    /// Sends indirect probes for unanswered direct ones, and handles probes that timed out.
    pub(super) fn handle_overdue_probes(
        &mut self,
        now: TimePoint,
        actions: &mut Vec<GossipAction>,
    ) {
        for probe in self.probes.take_unanswered(now) {
            self.probe_indirectly(now, &probe, actions);
        }
        for probe in self.probes.take_expired(now) {
            self.on_probe_failed(now, &probe, actions);
        }
    }

    /// Sends the probes that are due.
    pub(super) fn send_due_probes(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        if self.next_probe <= now {
            self.next_probe = now + self.settings.probe_period;
            self.probe_next(now, actions);
        }
        if self.next_dead_probe <= now {
            let count = u32::try_from(self.member_count()).unwrap_or(u32::MAX);
            let period =
                DEAD_PROBE_PERIOD_PER_MEMBER.saturating_mul(count).max(DEAD_PROBE_PERIOD_MIN);
            self.next_dead_probe = now + period;
            self.probe_dead_member(now, actions);
        }
        if self.next_claim_check <= now && !self.unverified_claims.is_empty() {
            self.next_claim_check = now + CLAIM_CHECK_PERIOD;
            self.check_next_claim(now, actions);
        }
    }

    /// Probes a few random live members to verify the view after a pause.
    pub(super) fn probe_random_members(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        for (node, peer) in self.random_members(self.settings.fanout, None) {
            self.send_ping(now, ProbeKind::Informational, (node, peer), None, actions);
        }
    }

    /// Sends a probe with `claim`, or else with the failure claim that the table holds about the
    /// target, so that the target can refute it.
    pub(super) fn send_ping(
        &mut self,
        now: TimePoint,
        kind: ProbeKind,
        target: (NodeId, SocketAddr),
        claim: Option<MemberClaim>,
        actions: &mut Vec<GossipAction>,
    ) {
        let (node, peer) = target.clone();
        let claim = claim.or_else(|| self.failure_claim_about(&node));
        let (ack_timeout, period) = (self.settings.ack_timeout, self.settings.probe_period);
        let sequence = self.probes.start(now, kind, target, ack_timeout, period);
        self.send(now, peer, GossipBody::Ping { sequence, target: node }, claim, actions);
    }

    /// Handles an answer to a probe.
    pub(super) fn on_ack(
        &mut self,
        now: TimePoint,
        sequence: u32,
        actions: &mut Vec<GossipAction>,
    ) {
        let Some(probe) = self.probes.complete(sequence) else {
            return;
        };
        if let ProbeKind::Relay { requester, sequence } = probe.kind {
            self.send(now, requester, GossipBody::IndirectAck { sequence }, None, actions);
        }
        self.on_contact(now, actions);
    }

    /// Marks the members dead whose suspicion timed out. Does nothing while the view is unverified.
    ///
    /// The timeout is longer for a suspicion raised since any member last answered a probe of this
    /// node, as this node may itself be isolated.
    pub(super) fn expire_suspicions(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        if !self.verified {
            return;
        }
        let timeout = self.settings.suspicion_timeout(self.member_count());
        let suspects = self.table.iter().filter(|it| it.record.state == MemberState::Suspect);
        let overdue = suspects.filter(|it| {
            let limit = match it.since < self.last_contact {
                true => timeout,
                false => timeout.max(ISOLATED_SUSPICION_TIMEOUT_MIN),
            };
            limit <= now.since(it.since)
        });
        let overdue: Vec<_> = overdue.map(|it| it.record.node().clone()).collect();
        for node in overdue {
            let change = self.table.mark_dead(now, &node);
            self.on_change(now, &node, change, actions);
        }
    }

    /// Returns the claim that a member is suspect or dead, if the table holds one.
    pub(super) fn failure_claim_about(&self, node: &NodeId) -> Option<MemberClaim> {
        let entry = self.table.get(node)?;
        (MemberState::Suspect <= entry.record.state).then(|| claim_of(&entry.record))
    }

    /// Starts the healing period, after a partition, a pause or the start, in which failure claims
    /// of peers are not applied; this node probes the members instead.
    pub(super) fn start_healing_period(&mut self, now: TimePoint) {
        self.healing_until = now + HEALING_PERIOD;
    }

    /// Returns up to `amount` random live members other than `except`.
    pub(super) fn random_members(
        &mut self,
        amount: usize,
        except: Option<&NodeId>,
    ) -> Vec<(NodeId, SocketAddr)> {
        let live = self.table.live().map(|it| &it.record.identity);
        let others = live.filter(|it| Some(&it.node) != except);
        let sample = others.sample(&mut self.rng, amount);
        sample.into_iter().map(|it| (it.node.clone(), it.peer)).collect()
    }

    fn probe_next(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        let Some(target) = self.probes.next_target(&self.table, &mut self.rng) else {
            return;
        };
        self.send_ping(now, ProbeKind::FailureDetection, target, None, actions);
    }

    fn probe_indirectly(
        &mut self,
        now: TimePoint,
        probe: &UnansweredProbe,
        actions: &mut Vec<GossipAction>,
    ) {
        for (_, peer) in self.random_members(self.settings.indirect_probes, Some(&probe.target)) {
            let body = GossipBody::PingRequest {
                sequence: probe.sequence,
                target: probe.target.clone(),
                peer: probe.target_address,
            };
            self.send(now, peer, body, None, actions);
        }
    }

    fn probe_dead_member(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        let dead = self.table.iter().filter(|it| it.record.state == MemberState::Dead);
        let Some(entry) = dead.choose(&mut self.rng) else {
            return;
        };
        let target = (entry.record.node().clone(), entry.record.identity.peer);
        self.send_ping(now, ProbeKind::Informational, target, None, actions);
    }

    fn check_next_claim(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        let Some(claim) = self.unverified_claims.pop_front() else {
            return;
        };
        let Some(entry) = self.table.get(&claim.node) else {
            return;
        };
        if claim.incarnation < entry.record.incarnation || self.probes.is_probing(&claim.node) {
            return;
        }
        let target = (claim.node.clone(), entry.record.identity.peer);
        match entry.record.state {
            // The answer to a probe brings the member back; no answer changes nothing.
            MemberState::Dead => {
                self.send_ping(now, ProbeKind::Informational, target, None, actions)
            }
            _ => self.send_ping(now, ProbeKind::FailureDetection, target, Some(claim), actions),
        }
    }

    fn on_probe_failed(&mut self, now: TimePoint, probe: &Probe, actions: &mut Vec<GossipAction>) {
        if probe.kind != ProbeKind::FailureDetection {
            return;
        }
        let change = self.table.mark_suspect(now, &probe.target);
        self.on_change(now, &probe.target, change, actions);
    }

    fn on_contact(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        let silence = now.since(self.last_contact);
        let was_isolated = !self.verified || self.settings.probe_period * 4 < silence;
        if was_isolated {
            self.clear_own_suspicions(now, actions);
            self.start_healing_period(now);
        }
        self.verified = true;
        self.last_contact = now;
        self.view_outdated = true;
    }

    /// Clears the suspicions that this node raised while no member answered its probes. Members
    /// that it has removed stay removed until they answer a probe themselves.
    fn clear_own_suspicions(&mut self, now: TimePoint, actions: &mut Vec<GossipAction>) {
        let last_contact = self.last_contact;
        let raised = self.table.live().filter(|it| it.suspected_locally && last_contact < it.since);
        let nodes: Vec<_> = raised.map(|it| it.record.node().clone()).collect();
        for node in nodes {
            let change = self.table.clear_suspicion(now, &node);
            self.on_change(now, &node, change, actions);
        }
    }
}
