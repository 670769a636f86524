//! Shares the evidence against requests that crash upstreams.

use std::{future, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use mux_model::TimePoint;
use mux_placement::RelayPeer;
use mux_quarantine::{EvidenceSource, EvidenceUpdate};
use rand::seq::SliceRandom;
use slog::{info, warn};

use crate::{
    ClusterStore,
    edge_state::EdgeState,
    quarantine_state::TrialClaim,
    relay::{RelayConnection, RelayError},
    request_quarantine::end_trial,
};

/// Maximum number of changes in one call to the store.
const MAX_CHANGES_PER_CALL: usize = 32;
/// Period of the checks for evidence to share.
const SHARING_PERIOD: Duration = Duration::from_secs(1);
/// Time from new evidence to the check for evidence to share.
const NEW_EVIDENCE_DELAY: Duration = Duration::from_millis(320);
/// Pause between two calls to the store if one does not hold all changes, or evidence is due at once.
const FURTHER_CHANGES_DELAY: Duration = Duration::from_millis(100);
/// Period of the checks for evidence to forget.
const EXPIRY_PERIOD: Duration = Duration::from_secs(5);
/// Time without a reply of the store after which nodes exchange evidence directly.
const MAX_STORE_REPLY_AGE: Duration = Duration::from_millis(2_500);
/// Period of the direct exchanges.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);
/// Number of peers in one exchange.
const EXCHANGE_PEERS: usize = 3;
/// Maximum number of pieces of evidence that a node sends in one exchange.
pub(crate) const MAX_EXCHANGED_EVIDENCE: usize = 64;
/// Time from a crash within which a reply shows that the process had not ended. Later, it may be that of
/// the next process.
const FALSE_CRASH_PERIOD: Duration = Duration::from_secs(1);
/// Longest random delay before evidence is written again to a store that was restored, so that one
/// node writes it and the others see it.
const MAX_RESTORE_DELAY: Duration = Duration::from_secs(1);

/// Shares evidence through the store, and directly with other nodes while the store does not answer
/// this one, until the process ends.
pub(crate) async fn share_evidence<S: ClusterStore>(edge: Arc<EdgeState>, store: S) {
    let Some(mut claims) = edge.quarantine.take_claims() else {
        return;
    };
    let mut sharing = EvidenceSharing::new(Arc::clone(&edge), store);
    let mut checked_at = edge.timer.now();
    let mut check_at = checked_at + SHARING_PERIOD;
    loop {
        tokio::select! {
            Some(claim) = claims.recv() => sharing.claim(claim).await,
            () = edge.quarantine.evidence_added.notified() => {
                let now = edge.timer.now();
                let is_due = edge.quarantine.ledger.update(|it| it.has_due_evidence(now));
                let next = if is_due {
                    now.max(checked_at + FURTHER_CHANGES_DELAY)
                } else {
                    now + NEW_EVIDENCE_DELAY
                };
                check_at = check_at.min(next);
            }
            () = edge.timer.sleep_until(check_at) => {
                let now = edge.timer.now();
                let delay = sharing.check(now).await;
                checked_at = edge.timer.now();
                check_at = checked_at + delay;
            }
        }
    }
}

struct EvidenceSharing<S> {
    edge: Arc<EdgeState>,
    store: S,
    /// Whether the latest call to the store failed.
    has_failed: bool,
    next_write_at: TimePoint,
    next_exchange_at: TimePoint,
    next_expiry_at: TimePoint,
    known_era: Option<crate::StoreEra>,
}

impl<S: ClusterStore> EvidenceSharing<S> {
    fn new(edge: Arc<EdgeState>, store: S) -> Self {
        Self {
            edge,
            store,
            has_failed: false,
            next_write_at: TimePoint::ZERO,
            next_exchange_at: TimePoint::ZERO,
            next_expiry_at: TimePoint::ZERO,
            known_era: None,
        }
    }

    /// Shares and forgets evidence; returns the time until the next check.
    async fn check(&mut self, now: TimePoint) -> Duration {
        if self.next_expiry_at <= now {
            self.next_expiry_at = now + EXPIRY_PERIOD;
            let is_announced = self.edge.is_announced();
            self.edge.quarantine.ledger.update(|it| {
                it.set_keeps_store(is_announced);
                it.expire(now);
            });
        }
        self.follow_era(now);
        let needs_exchange = self.has_failed || self.is_store_silent(now);
        if needs_exchange && self.next_exchange_at <= now {
            self.next_exchange_at = now + EXCHANGE_PERIOD;
            exchange_with_peers(Arc::clone(&self.edge)).await;
        }
        if self.next_write_at <= now {
            return self.write(now).await;
        }
        SHARING_PERIOD
    }

    /// Delays the writes to a store that was restored.
    fn follow_era(&mut self, now: TimePoint) {
        let era = *self.edge.store_era.borrow();
        if self.known_era.is_some() && self.known_era < era {
            self.next_write_at = now + MAX_RESTORE_DELAY.mul_f64(rand::random());
        }
        self.known_era = era;
    }

    fn is_store_silent(&self, now: TimePoint) -> bool {
        let reply_age = self.edge.store_reachability().time_since_reply(now);
        reply_age.is_some_and(|it| MAX_STORE_REPLY_AGE < it)
    }

    /// Writes evidence that the store lacks, and removes refuted evidence from it; returns the time
    /// until the next check.
    async fn write(&mut self, now: TimePoint) -> Duration {
        let update =
            self.edge.quarantine.ledger.update(|it| it.pending_update(now, MAX_CHANGES_PER_CALL));
        let update = self.without_false_crashes(now, update);
        let changes = update.writes.len() + update.withdrawals.len();
        if changes == 0 {
            self.has_failed = false;
            return SHARING_PERIOD;
        }
        let evidence: Vec<_> = update.writes.iter().map(|(it, _)| it).collect();
        let written = self.store.update_evidence(&evidence, &update.withdrawals).await;
        let now = self.edge.timer.now();
        match self.edge.record_store_call("update_evidence", written) {
            Ok(()) => {
                self.has_failed = false;
                self.edge.quarantine.ledger.update(|it| it.on_update_stored(now, &update));
                info!(self.edge.logger, "quarantine: evidence shared";
                    "written" => update.writes.len(), "withdrawn" => update.withdrawals.len());
                if changes == MAX_CHANGES_PER_CALL { FURTHER_CHANGES_DELAY } else { SHARING_PERIOD }
            }
            Err(error) => {
                self.has_failed = true;
                warn!(self.edge.logger, "quarantine: evidence not shared, retrying";
                    "changes" => changes, "cause" => error.to_string());
                SHARING_PERIOD
            }
        }
    }

    /// Drops new crashes of processes that have replied since.
    fn without_false_crashes(&self, now: TimePoint, mut update: EvidenceUpdate) -> EvidenceUpdate {
        let has_replied = |source: &EvidenceSource, since: TimePoint| match source {
            _ if FALSE_CRASH_PERIOD <= now.since(since) => false,
            EvidenceSource::Crash(process) => {
                let is_current =
                    self.edge.upstreams().started_ms(&process.instance) == process.started_ms;
                is_current && self.edge.connection_pools.has_replied_since(&process.instance, since)
            }
            EvidenceSource::Trial(_) => false,
        };
        for (evidence, _) in
            update.writes.extract_if(.., |(it, learnt_at)| has_replied(&it.key.source, *learnt_at))
        {
            self.edge.quarantine.ledger.update(|it| it.retract(&evidence.key));
            info!(self.edge.logger, "quarantine: upstream had not crashed, evidence dropped";
                "fingerprint" => evidence.key.fingerprint.to_string());
        }
        update
    }

    async fn claim(&mut self, claim: TrialClaim) {
        let TrialClaim { trial, granted } = claim;
        if granted.is_closed() {
            return;
        }
        let fingerprint = trial.key.fingerprint;
        let claimed = self.store.claim_trial(&trial).await;
        let is_granted = match self.edge.record_store_call("claim_trial", claimed) {
            Ok(is_granted) => is_granted,
            Err(error) => {
                warn!(self.edge.logger, "quarantine: trial not claimed";
                    "cause" => error.to_string());
                false
            }
        };
        if is_granted {
            let now = self.edge.timer.now();
            self.edge.quarantine.ledger.update(|it| it.on_stored(now, trial));
        }
        // The request no longer waits if the store was slow or its caller has left.
        if granted.send(is_granted).is_err() && is_granted {
            end_trial(&self.edge, fingerprint);
        }
    }
}

/// Sends this node's evidence to some peers, and records theirs.
pub(super) async fn exchange_with_peers(edge: Arc<EdgeState>) {
    let mut peers = edge.nodes().relay_peers();
    peers.shuffle(&mut rand::rng());
    let exchange = async |peer: RelayPeer| {
        let connection = RelayConnection::open(&edge.timer, peer.address).await?;
        exchange_with_peer(&edge, &connection).await
    };
    let exchanges: FuturesUnordered<_> =
        peers.into_iter().take(EXCHANGE_PEERS).map(exchange).collect();
    // A peer that does not answer is one of several, and others are asked a second later.
    exchanges.for_each(|_| future::ready(())).await;
}

/// Sends this node's evidence to a peer, and records that of the peer.
///
/// # Errors
///
/// Returns [`RelayError`] if the peer does not answer.
pub(super) async fn exchange_with_peer(
    edge: &EdgeState,
    connection: &RelayConnection,
) -> Result<(), RelayError> {
    let own = edge.quarantine.ledger.update(|it| it.summary(MAX_EXCHANGED_EVIDENCE));
    let received = connection.exchange_evidence(own).await?;
    let now = edge.timer.now();
    for evidence in received.into_iter().take(MAX_EXCHANGED_EVIDENCE) {
        edge.quarantine.ledger.update(|it| it.on_peer_evidence(now, evidence));
    }
    Ok(())
}
