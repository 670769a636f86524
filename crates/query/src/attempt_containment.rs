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
    /// No further call is made.
    Stop,
}

/// Decides how one attempt goes on after crashes.
///
/// When many upstreams fall at the same moment, a query over many shards loses several calls at once
/// without being their cause. When the query is their cause, its calls end their upstreams one after
/// the other, as they take different times. So from the first crash on, one shard is called again,
/// the canary; the others follow once a canary is answered.
#[derive(Debug, Clone, Default)]
pub struct AttemptContainment {
    is_contained: bool,
    /// Whether there was evidence against the request at the start.
    is_suspect: bool,
    crashes: u32,
    latest_crash_at: Option<TimePoint>,
    first_crashed_shard: Option<ShardIndex>,
    /// The shard whose call is made again before the others.
    canary: Option<ShardIndex>,
    /// Whether a canary was answered since the latest crash.
    is_cleared: bool,
}

impl AttemptContainment {
    /// Starts an attempt; `is_suspect` tells whether there is evidence against the request.
    pub fn new(is_suspect: bool) -> Self {
        Self { is_contained: is_suspect, is_suspect, ..Self::default() }
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

    /// Returns whether a crash during a call to `shard` that was sent at `sent_at` is a strong sign: there
    /// was evidence before, a call that was made again crashed its upstream as well, or upstreams of
    /// different shards crashed.
    pub fn is_strong_sign(&self, shard: ShardIndex, sent_at: TimePoint) -> bool {
        let is_repeated = 0 < self.crashes && self.is_evidence(sent_at);
        self.is_suspect || is_repeated || self.first_crashed_shard.is_some_and(|it| it != shard)
    }

    /// Records that the process of an upstream of `shard` ended during a call sent at `sent_at`; returns
    /// how the attempt goes on.
    pub fn on_crash(
        &mut self,
        now: TimePoint,
        shard: ShardIndex,
        sent_at: TimePoint,
    ) -> CrashReaction {
        if self.is_evidence(sent_at) {
            self.crashes += 1;
            self.latest_crash_at = Some(now);
            self.first_crashed_shard.get_or_insert(shard);
            self.is_cleared = false;
        }
        if self.is_contained || MAX_CRASHES_PER_ATTEMPT <= self.crashes {
            self.contain();
        }
        self.on_further_call(shard)
    }

    /// Returns whether and when a further call to `shard` may be made, for any reason; the shard becomes
    /// the canary if there was a crash and no other shard is.
    pub fn on_further_call(&mut self, shard: ShardIndex) -> CrashReaction {
        if self.is_stopped() {
            return CrashReaction::Stop;
        }
        if self.crashes == 0 || self.is_cleared {
            return CrashReaction::Retry;
        }
        if self.canary.is_some_and(|it| it != shard) {
            return CrashReaction::Hold;
        }
        self.canary = Some(shard);
        CrashReaction::Retry
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

    /// Records that the canary was answered; held calls may be made again.
    pub fn end_canary(&mut self) {
        self.canary = None;
        self.is_cleared = true;
    }

    /// Records that the canary can no longer be answered, or has to be waited for no longer; another
    /// shard may take its place.
    pub fn drop_canary(&mut self) {
        self.canary = None;
    }

    /// Returns whether the canary was answered since the latest crash.
    pub fn is_cleared(&self) -> bool {
        self.is_cleared
    }
}
