//! Keeps in the store for which services this node has spent its part of the retry budget.

use std::{sync::Arc, time::Duration};

use mux_model::ServiceName;
use mux_routing::lane::SpentMarks;
use slog::{info, warn};

use crate::{ClusterStore, edge::Edge};

/// Period in which the lanes are looked at. A node spends its part in a second at the soonest, and
/// is marked well before; each mark is a call to the store.
const CHECK_PERIOD: Duration = Duration::from_millis(400);

/// Marks the services for which much of the budget is spent until the process ends.
pub(crate) async fn mark_spent<S: ClusterStore>(edge: Arc<Edge>, store: S) {
    let mut ticks = edge.timer.subscribe(CHECK_PERIOD);
    let mut marks: Option<SpentMarks> = None;
    loop {
        let now = ticks.next().await;
        let Some(inherited) = edge.inherited_spent() else {
            continue;
        };
        let marks = marks.get_or_insert_with(|| SpentMarks::new(inherited.clone()));
        let Some(services) = marks.on_check(now, edge.spent_services(now)) else {
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
