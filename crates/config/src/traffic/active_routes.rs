//! Routes that are active at a node.

use std::sync::Arc;

use mux_model::RevisionNumber;

use super::{RouteTable, TrafficConfig};

/// Outcome of receiving a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActivationOutcome {
    /// It is newer than the previous one and is now active.
    Activated {
        /// Version that was active before; `None` for the first one.
        from: Option<RevisionNumber>,
    },
    /// It has the active version.
    Same,
    /// It is older than the active one, for example after a delayed or stale read.
    Outdated,
}

/// Holds the routes of the highest version received; never returns to a lower version.
#[derive(Debug, Clone, Default)]
pub struct ActiveRoutes {
    current: Option<Arc<RouteTable>>,
}

impl ActiveRoutes {
    /// Activates `config` if it is newer; reads from the store may arrive in any order.
    pub fn on_config(&mut self, config: &TrafficConfig) -> ActivationOutcome {
        let from = self.version();
        if from.is_some_and(|it| config.version < it) {
            return ActivationOutcome::Outdated;
        }
        if from == Some(config.version) {
            return ActivationOutcome::Same;
        }
        self.current = Some(Arc::new(RouteTable::new(config)));
        ActivationOutcome::Activated { from }
    }

    /// Returns the active version; `None` before the first configuration.
    pub fn version(&self) -> Option<RevisionNumber> {
        self.current.as_ref().map(|it| it.version())
    }

    /// Returns the active routes; `None` before the first configuration.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.current.as_ref()
    }
}
