//! Maintains this node's entry in the store.

use std::{sync::Arc, time::Duration};

use slog::{info, warn};

use crate::{
    ClusterStore, ClusterStoreError, StoreLease,
    edge_state::{EdgeState, StopPhase},
};

/// Period of lease renewals. The entry of a failed node expires after three periods, or after the
/// minimum lease lifetime if that is longer.
const RENEW_PERIOD: Duration = Duration::from_millis(800);
/// Increase of [`RENEW_PERIOD`] per node, which limits the load of all nodes on the store.
const RENEW_PERIOD_PER_NODE: Duration = Duration::from_millis(10);
/// Maximum period of lease renewals.
const MAX_RENEW_PERIOD: Duration = Duration::from_secs(2);
/// Lifetime of the lease in renewal periods; two renewals in a row may fail.
const LEASE_PERIODS: u32 = 3;
/// Delay after a failed call, and between checks whether the node is ready to be announced.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A lease of this node.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    lease: StoreLease,
    lifetime: Duration,
    /// Whether the node's entry has been written under it.
    is_announced: bool,
}

/// Announces the node once it is ready and needed, renews its lease, and withdraws the entry when
/// the node stops.
pub(crate) async fn maintain_announcement<S: ClusterStore>(edge: Arc<EdgeState>, store: S) {
    let mut stop_phase = edge.stop_phase.subscribe();
    let mut lease: Option<HeldLease> = None;
    loop {
        if StopPhase::Serving < edge.stop_phase() {
            withdraw(&edge, &store, lease.take()).await;
            return;
        }
        // A record that others still read is corrected before it is left to expire.
        let is_outdated = lease.is_some_and(|it| !it.is_announced);
        if !is_outdated && !edge.nodes().must_announce(lease.is_some()) {
            if lease.take().is_some() {
                info!(edge.logger, "node: not needed in the store, entry left to expire");
            }
            edge.set_announced(false);
        }
        let result = announce_or_renew(&edge, &store, &mut lease).await;
        edge.set_announced(lease.is_some_and(|it| it.is_announced));
        let delay = match result {
            Ok(()) => renew_period(&edge),
            Err(ClusterStoreError::LeaseExpired | ClusterStoreError::StoreRestored) => {
                info!(edge.logger, "node: lease expired, announcing again");
                lease = None;
                Duration::ZERO
            }
            Err(_) => RETRY_DELAY,
        };
        tokio::select! {
            () = edge.timer.sleep(delay) => {}
            () = edge.announce_wakeup.notified() => {
                lease = None;
            }
            () = edge.record_changed.notified() => {
                if let Some(held) = &mut lease {
                    held.is_announced = false;
                }
            }
            _ = stop_phase.changed() => {}
        }
    }
}

fn renew_period(edge: &EdgeState) -> Duration {
    let nodes = edge.nodes().node_count();
    (RENEW_PERIOD + RENEW_PERIOD_PER_NODE * nodes).min(MAX_RENEW_PERIOD)
}

async fn announce_or_renew<S: ClusterStore>(
    edge: &EdgeState,
    store: &S,
    held: &mut Option<HeldLease>,
) -> Result<(), ClusterStoreError> {
    if let Some(HeldLease { lease, lifetime, is_announced: true }) = *held {
        let started = edge.timer.now();
        edge.record_store_call("renew", store.renew(lease).await)?;
        edge.copy_currency().on_other_reply(started);
        edge.sharing.on_listed(started + lifetime);
        return Ok(());
    }
    if held.is_none() {
        wait_until_needed(edge).await?;
        let lifetime = (renew_period(edge) * LEASE_PERIODS).max(edge.limits().min_lease_lifetime);
        let lease = edge.record_store_call("grant", store.grant(lifetime).await)?;
        *held = Some(HeldLease { lease, lifetime, is_announced: false });
    }
    // If the entry cannot be written, the lease is kept for the next attempt, or for its revocation
    // when the node stops: the write may still take effect.
    if let Some(granted) = held {
        let record = edge.nodes().own_record().clone();
        let written = store.announce(&record, granted.lease).await;
        edge.record_store_call("announce", written)?;
        info!(edge.logger, "node: announced"; "lease" => granted.lease.id,
            "era" => granted.lease.era.0, "is_cut" => record.is_cut);
        granted.is_announced = true;
        edge.sharing.on_listed(edge.timer.now());
    }
    Ok(())
}

/// Waits until it is this node's turn to announce itself.
///
/// # Errors
///
/// Returns [`ClusterStoreError::NotExecuted`] if the node is not ready or not needed.
async fn wait_until_needed(edge: &EdgeState) -> Result<(), ClusterStoreError> {
    if !edge.is_ready() || !edge.nodes().must_announce(false) {
        return Err(ClusterStoreError::NotExecuted("not ready or not needed".to_owned()));
    }
    let delay = edge.nodes().announcement_delay();
    if delay.is_zero() {
        return Ok(());
    }
    edge.timer.sleep(delay).await;
    if !edge.nodes().must_announce(false) {
        return Err(ClusterStoreError::NotExecuted("not needed any more".to_owned()));
    }
    Ok(())
}

async fn withdraw<S: ClusterStore>(edge: &EdgeState, store: &S, held: Option<HeldLease>) {
    let Some(HeldLease { lease, .. }) = held else {
        return;
    };
    match edge.record_store_call("revoke", store.revoke(lease).await) {
        Ok(()) => info!(edge.logger, "node: announcement withdrawn"),
        Err(error) => {
            warn!(edge.logger, "node: announcement not withdrawn; the entry expires with its lease";
                "cause" => error.to_string());
        }
    }
}
