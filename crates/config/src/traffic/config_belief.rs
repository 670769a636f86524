//! The configuration that a node takes to be in force.

use std::sync::Arc;

use mux_model::RevisionNumber;

use super::{RouteTable, TrafficConfig};

/// What hearing of a configuration has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeliefChange {
    /// It is newer than what was known and is in force now.
    Advanced {
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
pub struct ConfigBelief {
    current: Option<Arc<RouteTable>>,
}

impl ConfigBelief {
    /// Takes in a configuration from the store, in whatever order reads arrive.
    pub fn on_config(&mut self, config: &TrafficConfig) -> BeliefChange {
        let from = self.version();
        if from.is_some_and(|it| config.version < it) {
            return BeliefChange::Outdated;
        }
        if from == Some(config.version) {
            return BeliefChange::Same;
        }
        self.current = Some(Arc::new(RouteTable::new(config)));
        BeliefChange::Advanced { from }
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
