//! Keeps this node's entry in the store.

use std::{sync::Arc, time::Duration};

use slog::{info, warn};

use crate::{
    ClusterStore, ClusterStoreError, StoreLease,
    edge::{Edge, StopPhase},
};

/// Period of renewals of the lease. A node that dies is named to callers for three of them at most.
const RENEW_PERIOD: Duration = Duration::from_millis(800);
/// What each node adds to [`RENEW_PERIOD`], as each adds to the calls of the fleet.
const RENEW_PERIOD_PER_NODE: Duration = Duration::from_millis(10);
/// Longest period of renewals.
const MAX_RENEW_PERIOD: Duration = Duration::from_secs(2);
/// Lifetime of the lease, in periods: two renewals may be lost.
const LEASE_PERIODS: u32 = 3;
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Announces the node once it is ready, renews the entry, and ends it when the node stops.
pub(crate) async fn keep_announced<S: ClusterStore>(edge: Arc<Edge>, store: S) {
    let mut stop = edge.stop.subscribe();
    let mut lease: Option<StoreLease> = None;
    loop {
        if StopPhase::Serving < edge.phase() {
            withdraw(&edge, &store, lease.take()).await;
            return;
        }
        let step = keep_once(&edge, &store, &mut lease).await;
        let pause = match step {
            Ok(()) => renew_period(&edge),
            Err(ClusterStoreError::LeaseExpired) => {
                info!(edge.logger, "node: lease ended, announced again");
                lease = None;
                Duration::ZERO
            }
            Err(_) => RETRY_PAUSE,
        };
        tokio::select! {
            () = edge.timer.sleep(pause) => {}
            () = edge.announce.notified() => {
                lease = None;
            }
            _ = stop.changed() => {}
        }
    }
}

fn renew_period(edge: &Edge) -> Duration {
    let nodes = edge.nodes().node_count();
    (RENEW_PERIOD + RENEW_PERIOD_PER_NODE * nodes).min(MAX_RENEW_PERIOD)
}

async fn keep_once<S: ClusterStore>(
    edge: &Edge,
    store: &S,
    lease: &mut Option<StoreLease>,
) -> Result<(), ClusterStoreError> {
    if let Some(held) = *lease {
        let renewed = store.renew(held).await;
        match &renewed {
            Ok(()) | Err(ClusterStoreError::LeaseExpired) => edge.on_store_answer(),
            Err(fault) => edge.on_store_failure("renew", fault),
        }
        return renewed;
    }
    if !edge.is_ready() {
        return Err(ClusterStoreError::Refused("not ready yet".to_owned()));
    }
    let lifetime = (renew_period(edge) * LEASE_PERIODS).max(edge.settings.min_lease_lifetime);
    let granted = store.grant(lifetime).await?;
    store.announce(&edge.settings.node, granted).await?;
    info!(edge.logger, "node: announced"; "lease" => granted.0);
    *lease = Some(granted);
    Ok(())
}

async fn withdraw<S: ClusterStore>(edge: &Edge, store: &S, lease: Option<StoreLease>) {
    let Some(lease) = lease else {
        return;
    };
    match store.end(lease).await {
        Ok(()) => info!(edge.logger, "node: entry withdrawn"),
        Err(fault) => {
            warn!(edge.logger, "node: entry not withdrawn, it lapses with its lease";
                "cause" => fault.to_string());
        }
    }
}
