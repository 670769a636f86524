//! The announcement of the newest configuration revision and its acknowledgement.

use std::{net::SocketAddr, time::Duration};

use mux_model::{RevisionNumber, TimePoint};

use crate::message::RevisionAnnouncement;

const ACK_RETRY_PERIOD: Duration = Duration::from_millis(500);
const ACK_ATTEMPTS: u32 = 6;
const ANNOUNCEMENT_RETENTION: Duration = Duration::from_secs(30);

/// What this node knows about the newest announced revision.
#[derive(Debug, Default)]
pub(crate) struct RevisionDissemination {
    /// Heard, but not yet applied.
    pending: Option<RevisionAnnouncement>,
    /// Applied, and passed on with messages until the moment given.
    applied: Option<(RevisionAnnouncement, TimePoint)>,
    ack: Option<PendingAck>,
}

#[derive(Debug)]
struct PendingAck {
    peer: SocketAddr,
    revision: RevisionNumber,
    next_at: TimePoint,
    attempts_left: u32,
}

impl RevisionDissemination {
    /// Returns the announcement that is passed on with messages.
    pub(crate) fn current(&self, now: TimePoint) -> Option<&RevisionAnnouncement> {
        let (announcement, until) = self.applied.as_ref()?;
        (now < *until).then_some(announcement)
    }

    /// Returns the highest revision heard of in an announcement.
    pub(crate) fn highest_announced(&self) -> RevisionNumber {
        let applied = self.applied.as_ref().map(|(it, _)| it.revision);
        let pending = self.pending.as_ref().map(|it| it.revision);
        applied.max(pending).unwrap_or_default()
    }

    /// Holds an announcement until its revision is applied.
    pub(crate) fn set_pending(&mut self, announcement: RevisionAnnouncement) {
        self.pending = Some(announcement);
    }

    /// Takes the held announcement if `revision` covers it.
    pub(crate) fn take_pending(
        &mut self,
        revision: RevisionNumber,
    ) -> Option<RevisionAnnouncement> {
        self.pending.take_if(|it| it.revision <= revision)
    }

    /// Passes an announcement on with messages from now on.
    pub(crate) fn set_applied(&mut self, now: TimePoint, announcement: RevisionAnnouncement) {
        self.applied = Some((announcement, now + ANNOUNCEMENT_RETENTION));
    }

    /// Acknowledges `revision` to `peer` until it is confirmed or the attempts are used up.
    pub(crate) fn start_ack(&mut self, now: TimePoint, peer: SocketAddr, revision: RevisionNumber) {
        self.ack = Some(PendingAck { peer, revision, next_at: now, attempts_left: ACK_ATTEMPTS });
    }

    /// Returns the acknowledgement to send now.
    pub(crate) fn next_ack(&mut self, now: TimePoint) -> Option<(SocketAddr, RevisionNumber)> {
        let ack = self.ack.as_mut()?;
        if now < ack.next_at {
            return None;
        }
        let due = (ack.peer, ack.revision);
        ack.next_at = now + ACK_RETRY_PERIOD;
        ack.attempts_left -= 1;
        if ack.attempts_left == 0 {
            self.ack = None;
        }
        Some(due)
    }

    /// Ends the acknowledgement of `revision`.
    pub(crate) fn confirm_ack(&mut self, revision: RevisionNumber) {
        self.ack.take_if(|it| it.revision <= revision);
    }
}
