//! Limits what one attempt to serve a request can crash.

use mux_model::{ShardIndex, TimePoint};

/// Number of crashes one after the other after which an attempt makes no further calls.
const MAX_CRASHES_PER_ATTEMPT: u32 = 2;

/// How an attempt goes on after the process of an upstream ended during a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashReaction {
    /// The call may be made again at another replica.
    Retry,
    /// The call has to wait until another replica has answered the call that is made again.
    Hold,
    /// No call that may have run is made again.
    Stop,
}

/// Decides how one attempt goes on after crashes.
///
/// When many upstreams fall at the same moment, a query over many shards loses several calls at once
/// without being their cause. So only one of them is made again at first; the others follow once it
/// is answered.
#[derive(Debug, Clone, Default)]
pub struct AttemptContainment {
    is_suspect: bool,
    crashes: u32,
    latest_crash_at: Option<TimePoint>,
    /// The shard whose call is made again before the others.
    canary: Option<ShardIndex>,
}

impl AttemptContainment {
    /// Starts an attempt; `is_suspect` tells whether there is evidence against the request.
    pub fn new(is_suspect: bool) -> Self {
        Self { is_suspect, ..Self::default() }
    }

    /// Records that the process of an upstream of `shard` ended during a call sent at `sent_at`; returns
    /// how the attempt goes on, and whether the crash counts as evidence.
    ///
    /// Of the crashes of calls that were in flight together, only one counts: they may have one cause.
    pub fn on_crash(
        &mut self,
        now: TimePoint,
        shard: ShardIndex,
        sent_at: TimePoint,
    ) -> (CrashReaction, bool) {
        let is_counted = self.latest_crash_at.is_none_or(|it| it <= sent_at);
        if is_counted {
            self.crashes += 1;
            self.latest_crash_at = Some(now);
        }
        let reaction = if self.is_suspect || MAX_CRASHES_PER_ATTEMPT <= self.crashes {
            CrashReaction::Stop
        } else if is_counted {
            self.canary = Some(shard);
            CrashReaction::Retry
        } else if self.canary.is_some() {
            CrashReaction::Hold
        } else {
            CrashReaction::Retry
        };
        (reaction, is_counted)
    }

    /// Returns the shard whose call is made again before the others.
    pub fn canary(&self) -> Option<ShardIndex> {
        self.canary
    }

    /// Records that the canary was answered or can no longer be; held calls may be made again.
    pub fn end_canary(&mut self) {
        self.canary = None;
    }
}
