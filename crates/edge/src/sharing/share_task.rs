//! Keeps this node's shares of the bounds current.

use std::{sync::Arc, time::Duration};

use crate::{edge_state::EdgeState, workspace_quotas::refresh_quotas};

/// Period of the updates. The shares also depend on how long ago nodes were advertised, and on this
/// node's own lease.
const SHARE_UPDATE_PERIOD: Duration = Duration::from_millis(500);

/// Updates the shares of the bounds until the process ends.
pub(crate) async fn maintain_shares(edge: Arc<EdgeState>) {
    let mut ticks = edge.timer.subscribe(SHARE_UPDATE_PERIOD);
    loop {
        let now = ticks.next().await;
        edge.refresh_shares(now);
        refresh_quotas(&edge, now);
    }
}
