//! Ensures that each request of a session runs at most once.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use mux_model::{TimePoint, Verdict};

use crate::{
    SessionId, SessionMint, SessionToken, TokenError,
    ledger_stripe::{LedgerStripe, StripeLimits},
};

const LEDGER_STRIPES: usize = 16;

/// Memory limits of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Maximum number of stored sessions, rounded up to a multiple of the number of stripes and
    /// divided evenly among them.
    pub sessions: usize,
    /// Maximum total size of the answers stored for repeated requests, in bytes, divided evenly
    /// among the stripes.
    pub answer_bytes: usize,
    /// Maximum size of an answer that is stored, in bytes.
    pub max_bytes_per_answer: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self { sessions: 16_384, answer_bytes: 32 << 20, max_bytes_per_answer: 64 << 10 }
    }
}

/// Permission to run one request once; issued by [`SessionLedger::begin`] and given back to
/// [`SessionLedger::complete`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a request whose ticket is not given back stays in progress"]
pub struct RunTicket {
    pub(crate) session: SessionId,
    pub(crate) sequence: u64,
}

/// Decision on a request identified by a session and a sequence number.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The request has not run yet; the caller of the ledger has to run it.
    Run(RunTicket),
    /// The request is already running.
    InProgress,
    /// The request has already ended.
    Finished {
        /// What is known about its execution.
        verdict: Verdict,
        /// The answer; `None` if it is not stored.
        answer: Option<Bytes>,
    },
    /// The sequence number is below the session's window.
    BelowWindow,
    /// The session has expired.
    Expired,
    /// Another node, or an earlier incarnation of this node, minted the token.
    OtherOwner,
    /// The signature of the token is invalid.
    InvalidSignature,
    /// The stripe of the ledger that would store the session is at its limit.
    LedgerFull {
        /// Time until the next session of the stripe expires.
        retry_after: Duration,
    },
}

impl BeginOutcome {
    /// Returns what is known about the execution of a refused request; `None` if it has to run.
    ///
    /// An earlier incarnation of this node may have run a request whose token this one cannot
    /// verify, so only a full ledger proves that the request did not run.
    pub const fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::Run(_) => None,
            Self::Finished { verdict, .. } => Some(*verdict),
            Self::LedgerFull { .. } => Some(Verdict::NotRun),
            Self::InProgress
            | Self::BelowWindow
            | Self::Expired
            | Self::OtherOwner
            | Self::InvalidSignature => Some(Verdict::MayHaveRun),
        }
    }
}

/// Records which requests ran, for each session that this incarnation minted.
///
/// A session is stored until its token expires, and no request runs under an expired token, so
/// removing a session never allows a second run. Memory is bounded: a new session is refused while
/// its stripe of the ledger is full.
#[derive(Debug)]
pub struct SessionLedger {
    mint: SessionMint,
    stripes: Vec<Mutex<LedgerStripe>>,
}

impl SessionLedger {
    /// Creates an empty ledger for the sessions of `mint`.
    pub fn new(mint: SessionMint, limits: LedgerLimits) -> Self {
        let limits = StripeLimits {
            sessions: limits.sessions.div_ceil(LEDGER_STRIPES),
            answer_bytes: limits.answer_bytes / LEDGER_STRIPES,
            max_bytes_per_answer: limits.max_bytes_per_answer,
        };
        let stripes = (0..LEDGER_STRIPES).map(|_| Mutex::new(LedgerStripe::new(limits))).collect();
        Self { mint, stripes }
    }

    /// Mints a token for a new session, which is stored from its first request on.
    pub fn mint(&self, now: TimePoint) -> SessionToken {
        self.mint.mint(now)
    }

    /// Decides whether the request identified by `token` and `sequence` runs and, if so, records it
    /// as running.
    pub fn begin(&self, now: TimePoint, token: &SessionToken, sequence: u64) -> BeginOutcome {
        match self.mint.verify(token) {
            Ok(expiry) => {
                self.stripe(token.session()).begin(now, token.session(), expiry, sequence)
            }
            Err(TokenError::OtherOwner) => BeginOutcome::OtherOwner,
            Err(TokenError::InvalidSignature | TokenError::Malformed) => {
                BeginOutcome::InvalidSignature
            }
        }
    }

    /// Records how a request ended and, if the memory limits allow, stores its answer for repeated
    /// requests.
    ///
    /// A request that did not run may run later under the same sequence number.
    pub fn complete(&self, ticket: RunTicket, verdict: Verdict, answer: Option<Bytes>) {
        self.stripe(ticket.session).complete(ticket, verdict, answer);
    }

    /// Returns the number of stored sessions.
    pub fn session_count(&self) -> usize {
        self.stripes.iter().map(|it| lock(it).session_count()).sum()
    }

    /// Returns the total size of the stored answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.stripes.iter().map(|it| lock(it).answer_bytes()).sum()
    }

    fn stripe(&self, session: SessionId) -> MutexGuard<'_, LedgerStripe> {
        lock(&self.stripes[session.stripe_index(self.stripes.len())])
    }
}

fn lock(stripe: &Mutex<LedgerStripe>) -> MutexGuard<'_, LedgerStripe> {
    stripe.lock().unwrap_or_else(PoisonError::into_inner)
}
