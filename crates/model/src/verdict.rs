//! Knowledge about the execution of a request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran, did not run or may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request ran and its result is known.
    Done,
    /// The request is known not to have run, so repeating it is safe.
    NotRun,
    /// The request may have run; repeating it is safe only if it is idempotent.
    MayHaveRun,
}

impl Verdict {
    /// Returns the name used on the wire and in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
        }
    }

    /// Combines the verdicts of two attempts at one request.
    ///
    /// The result is `NotRun` only if both attempts are known not to have run.
    pub const fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotRun, it) | (it, Self::NotRun) => it,
            (Self::Done, Self::Done) => Self::Done,
            _ => Self::MayHaveRun,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
