//! Budget for hedges and retries.

use crate::CallKind;

/// Most hedges and retries that can follow one another without a first call between them.
const MAX_TOKENS: f64 = 20.0;
/// Tokens at the start.
const START_TOKENS: f64 = 5.0;
/// Tokens that hedges leave to retries.
const RETRY_RESERVE: f64 = 3.0;

/// A token bucket that each first call fills by a fraction of a token.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadBudget {
    tokens: f64,
}

impl LoadBudget {
    /// Creates a budget for a service that starts.
    pub(crate) fn new() -> Self {
        Self { tokens: START_TOKENS }
    }

    /// Returns the number of tokens left.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the part of a token, `share`, that one first call pays.
    pub(crate) fn fund(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(MAX_TOKENS);
    }

    /// Takes one token for a call of `kind`; returns whether there was one.
    pub(crate) fn try_take(&mut self, kind: CallKind) -> bool {
        let needed = match kind {
            CallKind::First => return true,
            CallKind::Hedge => 1.0 + RETRY_RESERVE,
            CallKind::Retry => 1.0,
        };
        if self.tokens < needed {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Gives back the token of a call that was not sent.
    pub(crate) fn refund(&mut self) {
        self.fund(1.0);
    }
}
