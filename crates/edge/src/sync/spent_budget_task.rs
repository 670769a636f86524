//! Maintains the spent budget markers of this node in the store.

use std::{sync::Arc, time::Duration};

use mux_model::ServiceName;
use mux_routing::balancer::SpentBudgetMarkers;
use slog::{info, warn};

use crate::{ClusterStore, edge_state::EdgeState};

/// Period of the checks of the balancers; a node needs at least two seconds to spend its share of a
/// budget. All nodes check at the same times, because each written marker ends the pending watch of
/// every node, and simultaneous writes end it only once.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Marks the services for which this node has spent a large part of its share of the retry budget,
/// until the process ends.
pub(crate) async fn maintain_spent_budget_markers<S: ClusterStore>(edge: Arc<EdgeState>, store: S) {
    let mut markers: Option<SpentBudgetMarkers> = None;
    let mut known_era = None;
    loop {
        edge.timer.sleep(edge.timer.until_wall_clock_multiple(CHECK_PERIOD)).await;
        let Some(inherited) = edge.balancers.inherited_spent_services() else {
            continue;
        };
        let markers = markers.get_or_insert_with(|| SpentBudgetMarkers::new(inherited.clone()));
        let era = *edge.store_era.borrow();
        if known_era.is_some() && known_era < era {
            markers.on_store_restored();
        }
        known_era = era;
        let Some(services) =
            markers.pending_update(&edge.balancers.spent_fractions(edge.timer.now()))
        else {
            continue;
        };
        let written = store.mark_spent(&edge.settings.node.node, &services).await;
        match edge.record_store_call("mark_spent", written) {
            Ok(()) => {
                let names: Vec<&str> = services.iter().map(ServiceName::as_str).collect();
                info!(edge.logger, "budget: markers updated"; "services" => names.join(" "));
                markers.on_written(services);
            }
            Err(error) => {
                warn!(edge.logger, "budget: markers not updated, retrying";
                    "services" => services.len(), "cause" => error.to_string());
            }
        }
    }
}
