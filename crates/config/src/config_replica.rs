//! Configuration that a node has applied.

use std::sync::Arc;

use mux_model::RevisionNumber;

use crate::{ConfigState, ConfigUpdate};

/// Outcome of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update was applied.
    Applied {
        /// Revision before the update.
        from: RevisionNumber,
        /// Revision after the update.
        to: RevisionNumber,
    },
    /// The revision of the update is not higher than the applied one.
    Ignored,
    /// The update cannot be applied to this state; the full configuration is needed.
    FullUpdateRequired,
}

/// Applies configuration updates; its revision never decreases.
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

    /// Returns the applied revision; zero before the first configuration.
    pub fn revision(&self) -> RevisionNumber {
        self.state.revision()
    }

    /// Applies `update` if its revision is higher than the applied one.
    pub fn apply_update(&mut self, update: &ConfigUpdate) -> UpdateOutcome {
        let from = self.revision();
        if update.revision <= from {
            return UpdateOutcome::Ignored;
        }
        let Some(state) = self.state.with_update(update) else {
            return UpdateOutcome::FullUpdateRequired;
        };
        self.state = Arc::new(state);
        UpdateOutcome::Applied { from, to: update.revision }
    }

    /// Returns the update from revision `since` to this replica's revision.
    pub fn update_since(&self, since: RevisionNumber) -> ConfigUpdate {
        self.state.update_since(since)
    }
}
