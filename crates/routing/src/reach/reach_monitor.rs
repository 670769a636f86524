//! Decides whether this node is cut from all upstreams.

use std::time::Duration;

use mux_model::{FastMap, FastSet, TimePoint, UpstreamId};

/// Number of upstreams without contact from which a node probes; fewer if fewer are known.
const SUSPECT_UPSTREAMS: usize = 2;
/// Time without contact from which a node probes.
const SILENT_TIME: Duration = Duration::from_millis(100);
/// Pause after a probe that did not show a cut.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Period of the probes of a node that is cut.
const RETURN_PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Number of probes in a row that have to reach an upstream before a cut is over.
const RETURN_PROBES: u32 = 2;
/// Maximum of [`RETURN_PROBES`] after several cuts within [`FLAPPING_TIME`].
const MAX_RETURN_PROBES: u32 = 16;
/// Time after a cut within which the next one doubles the number of probes that end it.
const FLAPPING_TIME: Duration = Duration::from_secs(10);

/// How an attempt to reach an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactFailure {
    /// A new connection was refused.
    Refused,
    /// A connection was lost, or no new one was established in time.
    Lost,
    /// A call has had no reply for several hedge delays.
    Silent,
}

/// Why a node probes upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeReason {
    /// Several upstreams failed, and none has replied since.
    NoContact,
    /// Several upstreams refused new connections, and none has accepted one since.
    NoNewConnections,
    /// The node is cut, and may reach upstreams again.
    Return,
    /// The node is about to serve more callers.
    Advertised,
}

/// What a probe of several upstreams has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// This node reached at least one of them.
    Reached,
    /// Only other nodes reached them.
    ReachedByPeers,
    /// No node is known to have reached them.
    Unreached,
}

/// Change of the state that a probe has caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// The node is cut from all upstreams.
    Cut,
    /// The node reaches upstreams again, after this time.
    Returned(Duration),
}

/// Tracks contact with upstreams, and decides when to probe and what a probe means.
///
/// Answers the case that this node loses all upstreams while other nodes reach them. A failed upstream,
/// a slow availability zone or an overload leave contact with others; if a service or all of them are
/// down, other nodes do not reach them either.
#[derive(Debug, Clone, Default)]
pub struct ReachMonitor {
    last_contact: Option<TimePoint>,
    /// Upstreams that failed since the latest contact.
    failed: FastMap<UpstreamId, ContactFailure>,
    /// Upstreams that refused a connection since the latest one was established.
    refusing: FastSet<UpstreamId>,
    cut_since: Option<TimePoint>,
    /// End of the latest cut.
    returned_at: Option<TimePoint>,
    /// Probes in a row that reached an upstream during a cut.
    return_probes: u32,
    required_return_probes: u32,
    next_probe_at: TimePoint,
    probes_at_once: bool,
}

impl ReachMonitor {
    /// Returns whether the node is cut from all upstreams.
    pub fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns the time since the latest contact with an upstream; `None` before the first one.
    pub fn contact_age(&self, now: TimePoint) -> Option<Duration> {
        self.last_contact.map(|it| now.since(it))
    }

    /// Returns the latest contact with an upstream; zero before the first one.
    pub fn last_contact(&self) -> TimePoint {
        self.last_contact.unwrap_or(TimePoint::ZERO)
    }

    /// Returns whether a probe is due or will be: failures may tell something about this node rather
    /// than about upstreams. `known` is the number of known upstreams.
    pub fn is_suspect(&self, known: usize) -> bool {
        !self.is_cut() && self.next_probe(known).is_some()
    }

    /// Records a reply of an upstream.
    pub fn on_reply(&mut self, now: TimePoint) {
        self.last_contact = Some(now);
        self.failed.clear();
    }

    /// Records that an upstream accepted a connection.
    pub fn on_connected(&mut self, now: TimePoint) {
        self.on_reply(now);
        self.refusing.clear();
    }

    /// Records a failed attempt to reach an upstream.
    pub fn on_failure(&mut self, upstream: UpstreamId, failure: ContactFailure) {
        if failure == ContactFailure::Refused {
            self.refusing.insert(upstream);
        }
        self.failed.insert(upstream, failure);
    }

    /// Lets the node probe without a failure, because it is about to serve more callers.
    pub fn probe_at_once(&mut self) {
        self.probes_at_once = true;
    }

    /// Returns why upstreams have to be probed now; `None` if not. `known` is the number of known
    /// upstreams.
    pub fn due_probe(&self, now: TimePoint, known: usize) -> Option<ProbeReason> {
        let due = self.next_probe(known)?;
        (due.0 <= now).then_some(due.1)
    }

    /// Returns when upstreams have to be probed, as far as is known now, and why.
    pub fn next_probe(&self, known: usize) -> Option<(TimePoint, ProbeReason)> {
        if self.is_cut() {
            return Some((self.next_probe_at, ProbeReason::Return));
        }
        let enough = SUSPECT_UPSTREAMS.min(known).max(1);
        if enough <= self.failed.len() {
            // A reply may be late, but a lost connection does not come back.
            let silent = self.failed.values().filter(|it| **it == ContactFailure::Silent).count();
            let silent_at = match (self.last_contact, enough <= self.failed.len() - silent) {
                (Some(last_contact), false) => last_contact + SILENT_TIME,
                _ => TimePoint::ZERO,
            };
            return Some((self.next_probe_at.max(silent_at), ProbeReason::NoContact));
        }
        if SUSPECT_UPSTREAMS <= self.refusing.len() {
            return Some((self.next_probe_at, ProbeReason::NoNewConnections));
        }
        self.probes_at_once.then_some((self.next_probe_at, ProbeReason::Advertised))
    }

    /// Applies the result of a probe that began at `started` for `reason`; returns the change that it
    /// causes.
    pub fn on_probe(
        &mut self,
        now: TimePoint,
        started: TimePoint,
        reason: ProbeReason,
        result: ProbeResult,
    ) -> Option<ReachChange> {
        self.probes_at_once = false;
        if let Some(since) = self.cut_since {
            self.next_probe_at = now + RETURN_PROBE_PERIOD;
            return self.on_return_probe(now, since, result);
        }
        // A reply during the probe shows that connections work, unless only new ones are refused.
        let has_contact = self.last_contact.is_some_and(|it| started <= it);
        let is_cut = result == ProbeResult::ReachedByPeers
            && (!has_contact || reason == ProbeReason::NoNewConnections);
        if !is_cut {
            if result == ProbeResult::Reached {
                self.on_connected(now);
            }
            self.next_probe_at = now + PROBE_PAUSE;
            return None;
        }
        let is_flapping = self.returned_at.is_some_and(|it| now.since(it) < FLAPPING_TIME);
        self.required_return_probes = match is_flapping {
            true => (self.required_return_probes * 2).min(MAX_RETURN_PROBES),
            false => RETURN_PROBES,
        };
        self.cut_since = Some(now);
        self.return_probes = 0;
        self.next_probe_at = now + RETURN_PROBE_PERIOD;
        Some(ReachChange::Cut)
    }

    fn on_return_probe(
        &mut self,
        now: TimePoint,
        since: TimePoint,
        result: ProbeResult,
    ) -> Option<ReachChange> {
        if result != ProbeResult::Reached {
            self.return_probes = 0;
            return None;
        }
        self.return_probes += 1;
        if self.return_probes < self.required_return_probes {
            return None;
        }
        self.cut_since = None;
        self.returned_at = Some(now);
        self.next_probe_at = now;
        self.on_connected(now);
        Some(ReachChange::Returned(now.since(since)))
    }
}
