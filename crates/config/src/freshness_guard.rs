//! Decides whether a node's configuration is fresh enough to admit requests.

use std::{collections::VecDeque, time::Duration};

use mux_model::{RevisionNumber, TimePoint};

const MAX_UNAPPLIED_REVISIONS: usize = 64;

/// Time limits of [`FreshnessGuard`].
#[derive(Debug, Clone)]
pub struct FreshnessLimits {
    /// Time since the sending of the latest request that the store or a peer answered, after which
    /// a node with peers stops admitting requests.
    pub max_contact_age: Duration,
    /// Time after which a node that has not applied a higher reported revision stops admitting
    /// requests.
    pub max_lag: Duration,
    /// Time after which callers may retry at a node that is not ready.
    pub retry_after: Duration,
}

impl Default for FreshnessLimits {
    fn default() -> Self {
        Self {
            max_contact_age: Duration::from_secs(4),
            max_lag: Duration::from_secs(4),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Reason why a node does not admit requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnreadyReason {
    /// The node has no configuration yet.
    NoConfiguration,
    /// The node has not verified its configuration since it started or was paused.
    Unverified,
    /// The node can reach neither the store nor a peer.
    Isolated,
    /// A higher revision was reported, and the node has not applied it in time.
    Behind,
}

/// Whether a node may admit requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadyState {
    /// Requests may be admitted.
    Ready,
    /// Requests are refused without being run.
    NotReady {
        /// Reason for the refusal.
        reason: UnreadyReason,
        /// Time after which callers may retry.
        retry_after: Duration,
    },
}

/// Decides from contacts and pauses whether the applied configuration is fresh.
///
/// A contact is a reply to a request that was sent after the last pause: a message that waited in
/// a socket buffer during a pause proves nothing about the present.
#[derive(Debug, Clone)]
pub struct FreshnessGuard {
    limits: FreshnessLimits,
    applied: RevisionNumber,
    other_nodes: usize,
    last_contact: Option<TimePoint>,
    unapplied: VecDeque<UnappliedRevision>,
    /// Whether the applied configuration has been verified since the last pause.
    verified: bool,
    /// Highest revision reported since the last pause; `None` if there is none or it is applied.
    highest_reported: Option<RevisionNumber>,
    pause_count: u64,
    paused_at: TimePoint,
}

/// Revision above the applied one, and when the request that first reported it was sent.
#[derive(Debug, Clone, Copy)]
struct UnappliedRevision {
    revision: RevisionNumber,
    requested_at: TimePoint,
}

impl FreshnessGuard {
    /// Creates the guard of a node without configuration.
    pub fn new(limits: FreshnessLimits) -> Self {
        Self {
            limits,
            applied: RevisionNumber::default(),
            other_nodes: 0,
            last_contact: None,
            unapplied: VecDeque::new(),
            verified: false,
            highest_reported: None,
            pause_count: 0,
            paused_at: TimePoint::ZERO,
        }
    }

    /// Records the revision that the node has applied.
    pub fn on_applied(&mut self, revision: RevisionNumber) {
        self.applied = revision.max(self.applied);
        self.unapplied.retain(|it| self.applied < it.revision);
        self.update_verified();
    }

    /// Records a reply of the store to a request sent at `sent_at`, with the head's revision.
    pub fn on_store_contact(&mut self, sent_at: TimePoint, revision: RevisionNumber) {
        self.on_contact(sent_at, revision);
    }

    /// Records a reply of a peer to a request sent at `sent_at`, with the peer's revision.
    pub fn on_peer_contact(&mut self, sent_at: TimePoint, revision: RevisionNumber) {
        self.on_contact(sent_at, revision);
    }

    /// Records the number of pauses of the process so far; returns whether it has changed.
    ///
    /// Must be called before each use of the guard: the process may have been paused since the last
    /// use.
    pub fn on_pause_count(&mut self, now: TimePoint, count: u64) -> bool {
        let is_new = count != self.pause_count;
        if is_new {
            self.pause_count = count;
            self.on_pause(now);
        }
        is_new
    }

    /// Records that the process was paused until `now`.
    ///
    /// Replies to earlier requests are ignored: they may have waited in a socket buffer.
    pub fn on_pause(&mut self, now: TimePoint) {
        self.verified = false;
        self.highest_reported = None;
        self.last_contact = None;
        self.paused_at = now;
    }

    /// Records how many other nodes may be running: the listed members, and those that
    /// disappeared without announcing that they leave.
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
            self.highest_reported = self.highest_reported.max(Some(revision));
        }
        self.update_verified();
        let highest = self.unapplied.back().map_or(self.applied, |it| it.revision);
        if highest < revision && self.unapplied.len() < MAX_UNAPPLIED_REVISIONS {
            self.unapplied.push_back(UnappliedRevision { revision, requested_at: sent_at });
        }
    }

    /// Marks the configuration as verified if the highest revision reported since the last pause is
    /// applied; until then it stays unverified.
    fn update_verified(&mut self) {
        if self.highest_reported.is_some_and(|it| it <= self.applied) {
            self.verified = true;
            self.highest_reported = None;
        }
    }

    fn unready_reason(&self, now: TimePoint) -> Option<UnreadyReason> {
        if self.applied == RevisionNumber(0) {
            return Some(UnreadyReason::NoConfiguration);
        }
        if !self.verified {
            return Some(UnreadyReason::Unverified);
        }
        if self
            .unapplied
            .front()
            .is_some_and(|it| self.limits.max_lag <= now.since(it.requested_at))
        {
            return Some(UnreadyReason::Behind);
        }
        if 0 < self.other_nodes && self.is_isolated(now) {
            return Some(UnreadyReason::Isolated);
        }
        None
    }

    fn is_isolated(&self, now: TimePoint) -> bool {
        self.last_contact.is_none_or(|it| self.limits.max_contact_age <= now.since(it))
    }
}
