//! Keeps this node's entry in the store.

use std::{sync::Arc, time::Duration};

use slog::{info, warn};

use crate::{
    ClusterStore, LeaseMark, StoreFault,
    edge::{Edge, StopPhase},
};

/// Lifetime of the lease: a node that dies is named to callers for this long at most.
const LEASE_LIFETIME: Duration = Duration::from_millis(2_500);
/// Period of renewals; two may be lost before the lease ends.
const RENEW_PERIOD: Duration = Duration::from_millis(800);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Announces the node once it is ready, renews the entry, and ends it when the node stops.
pub(crate) async fn keep_announced<S: ClusterStore>(edge: Arc<Edge>, store: S) {
    let mut stop = edge.stop.subscribe();
    let mut lease: Option<LeaseMark> = None;
    loop {
        if StopPhase::Serving < edge.phase() {
            withdraw(&edge, &store, lease.take()).await;
            return;
        }
        let step = keep_once(&edge, &store, &mut lease).await;
        let pause = match step {
            Ok(()) => RENEW_PERIOD,
            Err(StoreFault::LeaseEnded) => {
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

async fn keep_once<S: ClusterStore>(
    edge: &Edge,
    store: &S,
    lease: &mut Option<LeaseMark>,
) -> Result<(), StoreFault> {
    if let Some(held) = *lease {
        let renewed = store.renew(held).await;
        match &renewed {
            Ok(()) | Err(StoreFault::LeaseEnded) => edge.on_store_answer(),
            Err(fault) => edge.on_store_failure("renew", fault),
        }
        return renewed;
    }
    if !edge.is_ready() {
        return Err(StoreFault::Refused("not ready yet".to_owned()));
    }
    let lifetime = LEASE_LIFETIME.max(edge.settings.shortest_lease);
    let granted = store.grant(lifetime).await?;
    store.announce(&edge.settings.node, granted).await?;
    info!(edge.logger, "node: announced"; "lease" => granted.0);
    *lease = Some(granted);
    Ok(())
}

async fn withdraw<S: ClusterStore>(edge: &Edge, store: &S, lease: Option<LeaseMark>) {
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
