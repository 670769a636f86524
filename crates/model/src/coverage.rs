//! Share of a snapshot's shards that contributed to an answer.

use serde::{Deserialize, Serialize};

/// Number of shards that contributed to an answer, out of all shards of the pinned snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Number of shards whose replies are included in the answer.
    pub contributed: u32,
    /// Number of shards of the pinned snapshot.
    pub total: u32,
}

impl Coverage {
    /// Returns contributed / total, from 0 to 1; 0 for an empty shard map.
    pub fn share(self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        f64::from(self.contributed) / f64::from(self.total)
    }

    /// Returns whether the share is at least `minimum`.
    pub fn meets(self, minimum: f64) -> bool {
        minimum <= self.share()
    }
}
