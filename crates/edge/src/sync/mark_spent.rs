//! Keeps in the store for which services this node has spent its part of the retry budget.

use std::{sync::Arc, time::Duration};

use mux_model::ServiceName;
use mux_routing::balancer::SpentBudgetMarkers;
use slog::{info, warn};

use crate::{ClusterStore, edge::Edge};

/// Period in which the lanes are looked at; a node spends its part in two seconds at the soonest.
/// All nodes look at the same moments, as each mark ends the watches of all of them.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Marks the services for which much of the budget is spent until the process ends.
pub(crate) async fn mark_spent<S: ClusterStore>(edge: Arc<Edge>, store: S) {
    let mut marks: Option<SpentBudgetMarkers> = None;
    loop {
        edge.timer.sleep(edge.timer.until_wall_clock_multiple(CHECK_PERIOD)).await;
        let Some(inherited) = edge.inherited_spent() else {
            continue;
        };
        let marks = marks.get_or_insert_with(|| SpentBudgetMarkers::new(inherited.clone()));
        let Some(services) = marks.pending_update(&edge.spent_fractions(edge.timer.now())) else {
            continue;
        };
        match store.mark_spent(&edge.settings.node.node, &services).await {
            Ok(()) => {
                let names: Vec<&str> = services.iter().map(ServiceName::as_str).collect();
                info!(edge.logger, "budget: spent services marked"; "services" => names.join(" "));
                marks.on_written(services);
            }
            Err(fault) => {
                warn!(edge.logger, "budget: spent services not marked, tried again";
                    "services" => services.len(), "cause" => fault.to_string());
            }
        }
    }
}
