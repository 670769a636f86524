//! Names of the bounds that hold over all nodes.

use mux_model::{InstanceId, WorkspaceName};
use serde::{Deserialize, Serialize};

/// A bound that holds over all nodes together. Nodes name it in their messages; new variants are
/// added at the end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BoundKey {
    /// The quota of the workspace of this name.
    Workspace(WorkspaceName),
    /// The rate that an upstream sustains while it is cold.
    WarmUp(InstanceId),
    /// The rate limit that an upstream states in its replies.
    UpstreamRate(InstanceId),
}

impl BoundKey {
    /// Returns the kind of the bound for metrics and log lines.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Workspace(_) => "workspace",
            Self::WarmUp(_) => "warm_up",
            Self::UpstreamRate(_) => "upstream_rate",
        }
    }
}
