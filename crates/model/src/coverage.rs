//! The share of a snapshot's shards that contributed to an answer.

use serde::{Deserialize, Serialize};

/// Counts the shards that contributed to an answer against the pinned snapshot's shard map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards whose reply is part of the answer.
    pub contributed: u32,
    /// Shards of the pinned snapshot.
    pub total: u32,
}

impl Coverage {
    /// Returns contributed / total, from 0 to 1; an empty shard map counts as 0.
    pub fn share(self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        f64::from(self.contributed) / f64::from(self.total)
    }

    /// Returns whether the share reaches `minimum`.
    pub fn meets(self, minimum: f64) -> bool {
        minimum <= self.share()
    }
}
