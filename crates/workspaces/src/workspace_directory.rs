//! The workspaces of one version of the configuration, by key.

use std::sync::Arc;

use mux_model::{FastMap, WorkspaceName};

use crate::{KeyDigest, WorkspaceRule};

/// The workspaces of one version of the configuration, by key.
#[derive(Debug, Default)]
pub struct WorkspaceDirectory {
    by_key: FastMap<KeyDigest, Arc<WorkspaceRule>>,
    workspaces: usize,
    ambiguous_keys: usize,
}

impl WorkspaceDirectory {
    /// Indexes `rules`. A key that stands in several workspaces belongs to the first; of rules with
    /// the same name, the first determines the settings.
    pub fn new(rules: &[WorkspaceRule]) -> Self {
        let mut by_name: FastMap<&WorkspaceName, Arc<WorkspaceRule>> = FastMap::default();
        let mut directory = Self::default();
        for rule in rules {
            let named = by_name.entry(&rule.name).or_insert_with(|| Arc::new(rule.clone()));
            for key in &rule.keys {
                let owner = directory.by_key.entry(*key).or_insert_with(|| Arc::clone(named));
                directory.ambiguous_keys += usize::from(owner.name != rule.name);
            }
        }
        directory.workspaces = by_name.len();
        directory
    }

    /// Returns whether there are no workspaces, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.workspaces == 0
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.workspaces
    }

    /// Returns the number of keys that stand in several workspaces.
    pub fn ambiguous_keys(&self) -> usize {
        self.ambiguous_keys
    }

    /// Returns the workspace to which a key belongs; `None` for an unknown one.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<WorkspaceRule>> {
        self.by_key.get(key)
    }
}
