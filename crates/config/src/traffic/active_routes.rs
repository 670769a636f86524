//! The configuration that a node takes to be in force.

use std::sync::Arc;

use mux_model::RevisionNumber;

use super::{RouteTable, TrafficConfig};

/// What hearing of a configuration has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActivationOutcome {
    /// It is newer than what was known and is in force now.
    Activated {
        /// Version that was in force before.
        from: Option<RevisionNumber>,
    },
    /// It is the one in force.
    Same,
    /// It is older than the one in force, as a late or outdated read can be.
    Outdated,
}

/// Keeps the highest version heard of; never goes back to a lower one.
#[derive(Debug, Clone, Default)]
pub struct ActiveRoutes {
    current: Option<Arc<RouteTable>>,
}

impl ActiveRoutes {
    /// Takes in a configuration from the store, in whatever order reads arrive.
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

    /// Returns the version in force; `None` before the first was heard.
    pub fn version(&self) -> Option<RevisionNumber> {
        self.current.as_ref().map(|it| it.version())
    }

    /// Returns the routes in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.current.as_ref()
    }
}
