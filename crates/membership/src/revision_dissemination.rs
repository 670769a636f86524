//! Announcement and acknowledgement of the newest configuration revision.

use std::{net::SocketAddr, time::Duration};

use mux_model::{RevisionNumber, TimePoint};

use crate::message::RevisionAnnouncement;

const ACK_RETRY_PERIOD: Duration = Duration::from_millis(500);
const ACK_ATTEMPTS: u32 = 6;
const ANNOUNCEMENT_RETENTION: Duration = Duration::from_secs(30);

/// State of the newest announced revision at this node.
#[derive(Debug, Default)]
pub(crate) struct RevisionDissemination {
    /// Received announcement whose revision is not applied yet.
    pending: Option<RevisionAnnouncement>,
    /// Announcement of an applied revision, piggybacked on messages until the given time.
    current: Option<(RevisionAnnouncement, TimePoint)>,
    /// Acknowledgement to repeat until the origin confirms it or no attempts are left.
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
    /// Returns the announcement to piggyback on messages.
    pub(crate) fn current(&self, now: TimePoint) -> Option<&RevisionAnnouncement> {
        let (announcement, until) = self.current.as_ref()?;
        (now < *until).then_some(announcement)
    }

    /// Returns the highest announced revision.
    pub(crate) fn highest_announced(&self) -> RevisionNumber {
        let current = self.current.as_ref().map(|(it, _)| it.revision);
        let pending = self.pending.as_ref().map(|it| it.revision);
        current.max(pending).unwrap_or_default()
    }

    /// Stores an announcement until its revision is applied.
    pub(crate) fn set_pending(&mut self, announcement: RevisionAnnouncement) {
        self.pending = Some(announcement);
    }

    /// Takes the pending announcement if its revision is not higher than `revision`.
    pub(crate) fn take_pending(
        &mut self,
        revision: RevisionNumber,
    ) -> Option<RevisionAnnouncement> {
        self.pending.take_if(|it| it.revision <= revision)
    }

    /// Piggybacks an announcement on messages for [`ANNOUNCEMENT_RETENTION`].
    pub(crate) fn start_piggybacking(
        &mut self,
        now: TimePoint,
        announcement: RevisionAnnouncement,
    ) {
        self.current = Some((announcement, now + ANNOUNCEMENT_RETENTION));
    }

    /// Starts sending acknowledgements of `revision` to `peer`, until one is confirmed or
    /// [`ACK_ATTEMPTS`] have been sent.
    pub(crate) fn start_ack(&mut self, now: TimePoint, peer: SocketAddr, revision: RevisionNumber) {
        self.ack = Some(PendingAck { peer, revision, next_at: now, attempts_left: ACK_ATTEMPTS });
    }

    /// Returns the acknowledgement that is due and schedules the next attempt.
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

    /// Stops acknowledging `revision` and lower ones.
    pub(crate) fn confirm_ack(&mut self, revision: RevisionNumber) {
        self.ack.take_if(|it| it.revision <= revision);
    }
}
