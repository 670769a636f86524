//! Token-bucket budget of one node for the hedges and retries of one service.

use crate::CallKind;

/// Capacity of the bucket: the largest burst of hedges and retries without first calls.
const MAX_TOKENS: f64 = 20.0;
/// Initial number of tokens.
const START_TOKENS: f64 = 5.0;
/// Tokens reserved for retries.
const RETRY_RESERVE: f64 = 3.0;

/// A token bucket to which each first call adds a fraction of a token.
///
/// It limits the ratio of hedges and retries to the first calls of this node alone.
/// [`RetryBudget`](crate::balancer::RetryBudget) in contrast limits them for all nodes together, in
/// a sliding window and across restarts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExtraLoadBudget {
    tokens: f64,
}

impl ExtraLoadBudget {
    /// Creates a budget with the initial number of tokens.
    pub(crate) fn new() -> Self {
        Self { tokens: START_TOKENS }
    }

    /// Returns the number of tokens left.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds `amount` tokens, up to the capacity.
    pub(crate) fn deposit(&mut self, amount: f64) {
        self.tokens = (self.tokens + amount).min(MAX_TOKENS);
    }

    /// Takes one token for a hedge or retry; returns whether the call is allowed.
    pub(crate) fn try_withdraw(&mut self, kind: CallKind) -> bool {
        let needed = match kind {
            CallKind::First | CallKind::Resend => return true,
            CallKind::Hedge => 1.0 + RETRY_RESERVE,
            CallKind::Retry => 1.0,
        };
        if self.tokens < needed {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the token of a call that was not sent.
    pub(crate) fn refund(&mut self) {
        self.deposit(1.0);
    }
}
