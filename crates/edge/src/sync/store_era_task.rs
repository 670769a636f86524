//! Notices that the store was restored from an older copy.

use std::sync::Arc;

use crate::{ClusterStore, edge_state::EdgeState};

/// Passes on each era that a reply of the store shows, until the process ends.
///
/// Any reply can be the first one of a new era, for example that of a lease renewal while the watch
/// of the store still waits.
pub(crate) async fn follow_store_era<S: ClusterStore>(edge: Arc<EdgeState>, store: S) {
    let mut eras = store.subscribe_era();
    loop {
        let era = *eras.borrow_and_update();
        if let Some(era) = era {
            edge.on_store_era(era);
        }
        if eras.changed().await.is_err() {
            return;
        }
    }
}
