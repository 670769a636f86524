//! Runs each request of a session at most once.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use mux_model::{TimePoint, Verdict};

use crate::{
    SessionId, SessionMint, SessionToken, TokenError,
    ledger_shard::{LedgerShard, ShardLimits},
};

const LEDGER_SHARDS: usize = 16;

/// Bounds of a ledger's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Sessions remembered at once.
    pub sessions: usize,
    /// Bytes of all answers kept for repeats.
    pub answer_bytes: usize,
    /// Bytes of the longest answer that is kept.
    pub longest_answer_bytes: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self { sessions: 16_384, answer_bytes: 32 << 20, longest_answer_bytes: 64 << 10 }
    }
}

/// The right to run one request once; given back by [`SessionLedger::complete`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a request whose ticket is not given back stays in progress"]
pub struct RunTicket {
    pub(crate) session: SessionId,
    pub(crate) sequence: u64,
}

/// What a request named by a session and a sequence is answered with.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The request has not run before; the caller of the ledger runs it now.
    Run(RunTicket),
    /// The request runs already.
    InProgress,
    /// The request ran before.
    Finished {
        /// How it ended.
        verdict: Verdict,
        /// The answer, if it was kept.
        answer: Option<Bytes>,
    },
    /// The sequence is older than what the session remembers.
    Forgotten,
    /// The lifetime of the session is over.
    Expired,
    /// Another node, or an earlier run of this node, minted the token.
    OtherOwner,
    /// The signature of the token is wrong.
    Forged,
    /// The ledger remembers as many sessions as it may.
    LedgerFull {
        /// When a session is forgotten next.
        retry_after: Duration,
    },
}

impl BeginOutcome {
    /// Returns what is known about the execution of a request that is not run now.
    ///
    /// `None`: the request is to be run. An earlier run of this node may have run a request whose
    /// token this run cannot check, so that only a full ledger proves that the request did not run.
    pub const fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::Run(_) => None,
            Self::Finished { verdict, .. } => Some(*verdict),
            Self::LedgerFull { .. } => Some(Verdict::NotRun),
            Self::InProgress
            | Self::Forgotten
            | Self::Expired
            | Self::OtherOwner
            | Self::Forged => Some(Verdict::MayHaveRun),
        }
    }
}

/// Remembers, for each session that this incarnation minted, which requests ran.
///
/// A session is remembered until its token has expired, and an expired token runs nothing, so that
/// forgetting never allows a second run. Its memory is bounded: a new session is refused while the
/// ledger is full.
#[derive(Debug)]
pub struct SessionLedger {
    mint: SessionMint,
    shards: Vec<Mutex<LedgerShard>>,
}

impl SessionLedger {
    /// Creates an empty ledger for the sessions of `mint`.
    pub fn new(mint: SessionMint, limits: LedgerLimits) -> Self {
        let limits = ShardLimits {
            sessions: limits.sessions.div_ceil(LEDGER_SHARDS),
            answer_bytes: limits.answer_bytes / LEDGER_SHARDS,
            longest_answer_bytes: limits.longest_answer_bytes,
        };
        let shards = (0..LEDGER_SHARDS).map(|_| Mutex::new(LedgerShard::new(limits))).collect();
        Self { mint, shards }
    }

    /// Mints a token for a new session; nothing is remembered until its first request.
    pub fn mint(&self, now: TimePoint) -> SessionToken {
        self.mint.mint(now)
    }

    /// Decides whether the request named by `token` and `sequence` runs.
    pub fn begin(&self, now: TimePoint, token: &SessionToken, sequence: u64) -> BeginOutcome {
        match self.mint.expiry(token) {
            Ok(expiry) => self.shard(token.session()).begin(now, token.session(), expiry, sequence),
            Err(TokenError::OtherOwner) => BeginOutcome::OtherOwner,
            Err(TokenError::Forged | TokenError::Malformed) => BeginOutcome::Forged,
        }
    }

    /// Records how a request ended and keeps its answer for repeats if there is room.
    ///
    /// A request that did not run may be run again under the same sequence.
    pub fn complete(&self, ticket: RunTicket, verdict: Verdict, answer: Option<Bytes>) {
        self.shard(ticket.session).complete(ticket, verdict, answer);
    }

    /// Returns the number of sessions remembered.
    pub fn session_count(&self) -> usize {
        self.shards.iter().map(|it| lock(it).session_count()).sum()
    }

    /// Returns the number of bytes of the answers kept.
    pub fn answer_bytes(&self) -> usize {
        self.shards.iter().map(|it| lock(it).answer_bytes()).sum()
    }

    fn shard(&self, session: SessionId) -> MutexGuard<'_, LedgerShard> {
        lock(&self.shards[session.bucket(self.shards.len())])
    }
}

fn lock(shard: &Mutex<LedgerShard>) -> MutexGuard<'_, LedgerShard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
