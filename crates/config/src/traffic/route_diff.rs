//! Differences between two versions of the routes.

use std::sync::Arc;

use mux_model::FastMap;

use super::{RouteRule, RouteTable};

/// Names of the routes that differ between two versions, sorted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteDiff {
    /// Routes that only the newer version contains.
    pub added: Vec<String>,
    /// Routes that only the older version contains.
    pub removed: Vec<String>,
    /// Routes that both versions contain with different settings.
    pub changed: Vec<String>,
}

impl RouteDiff {
    /// Compares `newer` with `older`.
    pub fn between(older: &RouteTable, newer: &RouteTable) -> Self {
        let before: FastMap<&str, &Arc<RouteRule>> =
            older.rules().map(|it| (it.name.as_str(), it)).collect();
        let after: FastMap<&str, &Arc<RouteRule>> =
            newer.rules().map(|it| (it.name.as_str(), it)).collect();
        let mut diff = Self::default();
        for (name, rule) in &after {
            match before.get(name) {
                None => diff.added.push((*name).to_owned()),
                Some(it) if it != rule => diff.changed.push((*name).to_owned()),
                Some(_) => {}
            }
        }
        let removed_names = before.keys().filter(|it| !after.contains_key(*it));
        diff.removed.extend(removed_names.map(|it| (*it).to_owned()));
        for names in [&mut diff.added, &mut diff.removed, &mut diff.changed] {
            names.sort_unstable();
        }
        diff
    }
}
