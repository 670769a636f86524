//! Decides whether a node's configuration is fresh enough to admit requests.

use std::{collections::VecDeque, time::Duration};

use mux_model::{RevisionNumber, TimePoint};

const LAGGING_LIMIT: usize = 64;

/// Time limits of [`FreshnessGuard`].
#[derive(Debug, Clone)]
pub struct FreshnessLimits {
    /// Time without contact to the store or a peer after which a node stops admitting.
    pub contact_limit: Duration,
    /// Time after which a node that knows of a higher revision stops admitting.
    pub lag_limit: Duration,
    /// Time after which callers may ask an unready node again.
    pub retry_after: Duration,
}

impl Default for FreshnessLimits {
    fn default() -> Self {
        Self {
            contact_limit: Duration::from_secs(4),
            lag_limit: Duration::from_secs(4),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Why a node does not admit requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnreadyReason {
    /// The node has no configuration yet.
    NoConfiguration,
    /// The node has not confirmed its configuration since it started or was paused.
    Unverified,
    /// The node reaches neither the store nor a peer.
    Isolated,
    /// The node knows of a higher revision that it could not apply in time.
    Behind,
}

/// Whether a node may admit requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadyState {
    /// Requests may be admitted.
    Ready,
    /// Requests are refused as not run.
    NotReady {
        /// Why.
        reason: UnreadyReason,
        /// Time after which callers may ask again.
        retry_after: Duration,
    },
}

/// Decides from contacts and pauses whether the applied configuration may be relied on.
///
/// A contact is a reply that was asked for and received: a message that waited in a socket
/// buffer during a pause confirms nothing.
#[derive(Debug, Clone)]
pub struct FreshnessGuard {
    limits: FreshnessLimits,
    applied: RevisionNumber,
    other_nodes: usize,
    last_contact: Option<TimePoint>,
    lagging: VecDeque<SeenRevision>,
    /// Whether the applied revision was the latest one that was heard of since the last pause.
    verified: bool,
    /// Highest revision heard of since the last pause, while not verified.
    heard: Option<RevisionNumber>,
    pauses: u64,
    paused_at: TimePoint,
}

/// A revision above the applied one, with the moment when it was first heard of.
#[derive(Debug, Clone, Copy)]
struct SeenRevision {
    revision: RevisionNumber,
    seen_at: TimePoint,
}

impl FreshnessGuard {
    /// Creates the guard of a node without configuration.
    pub fn new(limits: FreshnessLimits) -> Self {
        Self {
            limits,
            applied: RevisionNumber::default(),
            other_nodes: 0,
            last_contact: None,
            lagging: VecDeque::new(),
            verified: false,
            heard: None,
            pauses: 0,
            paused_at: TimePoint::ZERO,
        }
    }

    /// Records the revision that the node has applied.
    pub fn on_applied(&mut self, revision: RevisionNumber) {
        self.applied = revision.max(self.applied);
        self.lagging.retain(|it| self.applied < it.revision);
        self.settle_verification();
    }

    /// Records a reply of the store to a request sent at `sent_at`, with the head's revision.
    pub fn on_store_contact(&mut self, sent_at: TimePoint, revision: RevisionNumber) {
        self.on_contact(sent_at, revision);
    }

    /// Records a reply of a peer to a request sent at `sent_at`, with the peer's revision.
    pub fn on_peer_contact(&mut self, sent_at: TimePoint, revision: RevisionNumber) {
        self.on_contact(sent_at, revision);
    }

    /// Takes in the number of pauses of the process so far; returns whether there was one since.
    ///
    /// To be called before anything else that relies on the guard, as the process may have been
    /// paused just before.
    pub fn on_pause_count(&mut self, now: TimePoint, count: u64) -> bool {
        let is_new = count != self.pauses;
        if is_new {
            self.pauses = count;
            self.on_pause(now);
        }
        is_new
    }

    /// Records that the process was paused until `now`.
    ///
    /// Replies to what was asked before confirm nothing: they may have waited in a socket.
    pub fn on_pause(&mut self, now: TimePoint) {
        self.verified = false;
        self.heard = None;
        self.last_contact = None;
        self.paused_at = now;
    }

    /// Records how many other nodes may be running: those that the membership lists, and those
    /// that it lost without seeing them leave.
    pub fn on_other_nodes(&mut self, count: usize) {
        self.other_nodes = count;
    }

    /// Returns whether the node may admit requests at `now`.
    pub fn readiness(&self, now: TimePoint) -> ReadyState {
        match self.unready_reason(now) {
            None => ReadyState::Ready,
            Some(reason) => ReadyState::NotReady { reason, retry_after: self.limits.retry_after },
        }
    }

    fn on_contact(&mut self, sent_at: TimePoint, revision: RevisionNumber) {
        if sent_at < self.paused_at {
            return;
        }
        self.last_contact = self.last_contact.max(Some(sent_at));
        if self.applied <= revision {
            self.heard = self.heard.max(Some(revision));
        }
        self.settle_verification();
        let highest = self.lagging.back().map_or(self.applied, |it| it.revision);
        if highest < revision && self.lagging.len() < LAGGING_LIMIT {
            self.lagging.push_back(SeenRevision { revision, seen_at: sent_at });
        }
    }

    /// A newer revision that was heard of has to be applied first: what is known is outdated.
    fn settle_verification(&mut self) {
        if self.heard.is_some_and(|it| it <= self.applied) {
            self.verified = true;
            self.heard = None;
        }
    }

    fn unready_reason(&self, now: TimePoint) -> Option<UnreadyReason> {
        if self.applied == RevisionNumber(0) {
            return Some(UnreadyReason::NoConfiguration);
        }
        if !self.verified {
            return Some(UnreadyReason::Unverified);
        }
        if self.lagging.front().is_some_and(|it| self.limits.lag_limit <= now.since(it.seen_at)) {
            return Some(UnreadyReason::Behind);
        }
        if 0 < self.other_nodes && self.is_out_of_contact(now) {
            return Some(UnreadyReason::Isolated);
        }
        None
    }

    fn is_out_of_contact(&self, now: TimePoint) -> bool {
        self.last_contact.is_none_or(|it| self.limits.contact_limit <= now.since(it))
    }
}
