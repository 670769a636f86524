//! The configuration that a node has applied.

use std::sync::Arc;

use mux_model::RevisionNumber;

use crate::{ConfigState, ConfigUpdate};

/// What became of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update was applied.
    Applied {
        /// Revision before.
        from: RevisionNumber,
        /// Revision after.
        to: RevisionNumber,
    },
    /// The update leads to no higher revision.
    Ignored,
    /// The update cannot be applied to this state; a whole configuration is needed.
    FullUpdateRequired,
}

/// Applies configuration updates; its revision never goes back.
#[derive(Debug, Clone, Default)]
pub struct ConfigReplica {
    state: Arc<ConfigState>,
}

impl ConfigReplica {
    /// Creates a replica without configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the applied configuration.
    pub fn snapshot(&self) -> Arc<ConfigState> {
        Arc::clone(&self.state)
    }

    /// Returns the applied revision; zero if there is no configuration yet.
    pub fn revision(&self) -> RevisionNumber {
        self.state.revision()
    }

    /// Applies `update` if it leads to a higher revision.
    pub fn apply_update(&mut self, update: &ConfigUpdate) -> UpdateOutcome {
        let from = self.revision();
        if update.revision <= from {
            return UpdateOutcome::Ignored;
        }
        let Some(state) = self.state.updated(update) else {
            return UpdateOutcome::FullUpdateRequired;
        };
        self.state = Arc::new(state);
        UpdateOutcome::Applied { from, to: update.revision }
    }

    /// Returns what brings a node from `since` to this replica's revision.
    pub fn update_since(&self, since: RevisionNumber) -> ConfigUpdate {
        self.state.update_since(since)
    }
}
