//! A workspace as configured.

use mux_model::WorkspaceName;
use serde::{Deserialize, Serialize};

use crate::KeyDigest;

/// A workspace as operators configure it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRule {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, which replaces that of the route; `None` to use the route's. Zero is the
    /// most urgent.
    pub rank: Option<u32>,
    /// Requests per second over all nodes; zero means no limit.
    pub rate_per_s: f64,
    /// Requests that may be sent at once after a quiet time, over all nodes.
    pub burst: f64,
}
