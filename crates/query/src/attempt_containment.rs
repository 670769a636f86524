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
    is_contained: bool,
    crashes: u32,
    latest_crash_at: Option<TimePoint>,
    /// The shard whose call is made again before the others.
    canary: Option<ShardIndex>,
}

impl AttemptContainment {
    /// Starts an attempt; `is_suspect` tells whether there is evidence against the request.
    pub fn new(is_suspect: bool) -> Self {
        Self { is_contained: is_suspect, ..Self::default() }
    }

    /// Returns whether calls that may have run are neither hedged nor made again.
    pub fn is_contained(&self) -> bool {
        self.is_contained
    }

    /// Makes no call again that may have run.
    pub fn contain(&mut self) {
        self.is_contained = true;
        self.canary = None;
    }

    /// Returns whether the crash of a call sent at `sent_at` counts as evidence. Of calls that were in
    /// flight together, only one counts: their crashes may have one cause.
    pub fn is_evidence(&self, sent_at: TimePoint) -> bool {
        self.latest_crash_at.is_none_or(|it| it <= sent_at)
    }

    /// Records that the process of an upstream of `shard` ended during a call sent at `sent_at`; returns
    /// how the attempt goes on.
    pub fn on_crash(
        &mut self,
        now: TimePoint,
        shard: ShardIndex,
        sent_at: TimePoint,
    ) -> CrashReaction {
        let is_evidence = self.is_evidence(sent_at);
        if is_evidence {
            self.crashes += 1;
            self.latest_crash_at = Some(now);
        }
        if self.is_contained || MAX_CRASHES_PER_ATTEMPT <= self.crashes {
            self.contain();
            CrashReaction::Stop
        } else if is_evidence {
            self.canary = Some(shard);
            CrashReaction::Retry
        } else if self.canary.is_some() {
            CrashReaction::Hold
        } else {
            CrashReaction::Retry
        }
    }

    /// Returns whether the request was contained and has crashed an upstream since.
    pub fn is_stopped(&self) -> bool {
        self.is_contained && 0 < self.crashes
    }

    /// Makes the other shards wait for `shard`.
    pub fn begin_canary(&mut self, shard: ShardIndex) {
        self.canary = Some(shard);
    }

    /// Returns the shard whose call is made before the others.
    pub fn canary(&self) -> Option<ShardIndex> {
        self.canary
    }

    /// Records that the canary was answered or can no longer be; held calls may be made again.
    pub fn end_canary(&mut self) {
        self.canary = None;
    }
}
