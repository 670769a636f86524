//! The calls of one fan-out and the state of each shard.

use std::time::Duration;

use bytes::Bytes;
use mux_model::{CallId, ShardIndex, TimePoint, UpstreamId};
use mux_routing::CallReservation;

/// One call to an upstream.
#[derive(Debug)]
pub(crate) struct CallState {
    pub(crate) reservation: CallReservation,
    pub(crate) sent_at: TimePoint,
    pub(crate) open: bool,
    /// Whether its upstream may be called again by the same query.
    may_repeat: bool,
    previous: Option<usize>,
}

impl CallState {
    /// Returns the time since the call was sent.
    pub(crate) fn age(&self, now: TimePoint) -> Duration {
        now.since(self.sent_at)
    }
}

/// Progress of one shard.
#[derive(Debug, Clone, Default)]
pub(crate) enum ShardPhase {
    /// Waiting for a call to be sent or to end.
    #[default]
    Pending,
    /// A replica returned this result.
    Answered(Bytes),
    /// Can no longer return a result.
    Failed,
}

/// The state of one shard of the pinned snapshot.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShardState {
    pub(crate) phase: ShardPhase,
    pub(crate) open_calls: u32,
    pub(crate) snapshot_missing: bool,
    /// Calls that provably did not run.
    pub(crate) not_run_calls: u32,
    /// Calls that were not sent to their upstream.
    pub(crate) unsent_calls: u32,
    calls: u32,
    last_call: Option<usize>,
}

impl ShardState {
    /// Returns whether an upstream of the shard may have received a call.
    pub(crate) fn was_reached(&self) -> bool {
        self.unsent_calls < self.calls
    }

    /// Returns whether a call was ever made to the shard, sent or not.
    pub(crate) fn was_called(&self) -> bool {
        self.last_call.is_some()
    }
}

/// The calls of one fan-out, numbered in the order in which they were opened.
///
/// The calls of a shard are linked from the newest to the oldest, so that they are found without
/// scanning all calls or keeping a list per shard.
#[derive(Debug)]
pub(crate) struct CallTable {
    first_call: CallId,
    calls: Vec<CallState>,
    shards: Vec<ShardState>,
    tried_replicas: Vec<UpstreamId>,
    open_calls: u32,
}

impl CallTable {
    /// Creates an empty table for `shard_count` shards; calls are numbered from `first_call`.
    pub(crate) fn new(first_call: CallId, shard_count: u32) -> Self {
        let len = to_index(shard_count);
        Self {
            first_call,
            calls: Vec::with_capacity(len + len / 8 + 1),
            shards: vec![ShardState::default(); len],
            tried_replicas: Vec::new(),
            open_calls: 0,
        }
    }

    /// Returns the number of calls opened so far.
    pub(crate) fn call_count(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX)
    }

    /// Returns the identities of all calls opened so far, in order.
    pub(crate) fn call_ids(&self) -> impl Iterator<Item = CallId> + use<> {
        let first = self.first_call.0;
        (first..first.saturating_add(self.call_count())).map(CallId)
    }

    /// Returns whether a call is still open.
    pub(crate) fn has_open_calls(&self) -> bool {
        0 < self.open_calls
    }

    /// Returns a call; `None` if it was never opened.
    pub(crate) fn call(&self, call: CallId) -> Option<&CallState> {
        self.calls.get(self.position(call)?)
    }

    /// Returns a call; `None` unless it is open.
    pub(crate) fn open_call(&self, call: CallId) -> Option<&CallState> {
        self.call(call).filter(|it| it.open)
    }

    /// Returns the state of a shard.
    ///
    /// # Panics
    ///
    /// Panics if the pinned snapshot has no such shard.
    pub(crate) fn shard(&self, shard: ShardIndex) -> &ShardState {
        &self.shards[to_index(shard.0)]
    }

    /// Returns the mutable state of a shard.
    ///
    /// # Panics
    ///
    /// Panics if the pinned snapshot has no such shard.
    pub(crate) fn shard_mut(&mut self, shard: ShardIndex) -> &mut ShardState {
        &mut self.shards[to_index(shard.0)]
    }

    /// Returns the mutable states of all shards, in shard order.
    pub(crate) fn shards_mut(&mut self) -> &mut [ShardState] {
        &mut self.shards
    }

    /// Returns the replicas of `shard` that were already called, except those that may be called
    /// again.
    pub(crate) fn tried_replicas(&mut self, shard: ShardIndex) -> &[UpstreamId] {
        self.tried_replicas.clear();
        let mut next = self.shards[to_index(shard.0)].last_call;
        while let Some(position) = next {
            let call = &self.calls[position];
            if !call.may_repeat {
                self.tried_replicas.push(call.reservation.upstream());
            }
            next = call.previous;
        }
        &self.tried_replicas
    }

    /// Returns the number of calls to `shard` that may have run or may still run.
    pub(crate) fn possible_runs(&self, shard: ShardIndex) -> u32 {
        let state = self.shard(shard);
        state.calls.saturating_sub(state.not_run_calls)
    }

    /// Records a new call and returns its identity.
    pub(crate) fn open(&mut self, now: TimePoint, reservation: CallReservation) -> CallId {
        let call = self.id_at(self.calls.len());
        let state = &mut self.shards[to_index(reservation.shard.0)];
        let previous = state.last_call.replace(self.calls.len());
        state.open_calls += 1;
        state.calls += 1;
        self.open_calls += 1;
        self.calls.push(CallState {
            reservation,
            sent_at: now,
            open: true,
            may_repeat: false,
            previous,
        });
        call
    }

    /// Marks a call as ended; returns it if it was open.
    pub(crate) fn close(&mut self, call: CallId) -> Option<&CallState> {
        let position = self.position(call)?;
        let call = self.calls.get_mut(position).filter(|it| it.open)?;
        call.open = false;
        self.shards[to_index(call.reservation.shard.0)].open_calls -= 1;
        self.open_calls -= 1;
        Some(call)
    }

    /// Records that the upstream of an ended call may be called again.
    pub(crate) fn allow_repeat(&mut self, call: CallId) {
        if let Some(state) = self.position(call).and_then(|it| self.calls.get_mut(it)) {
            state.may_repeat = true;
        }
    }

    /// Returns the newest open call to `shard`.
    pub(crate) fn newest_open_call(&self, shard: ShardIndex) -> Option<CallId> {
        let mut next = self.shards[to_index(shard.0)].last_call;
        while let Some(position) = next {
            let call = &self.calls[position];
            if call.open {
                return Some(self.id_at(position));
            }
            next = call.previous;
        }
        None
    }

    fn id_at(&self, position: usize) -> CallId {
        let offset = u32::try_from(position).unwrap_or(u32::MAX);
        CallId(self.first_call.0.saturating_add(offset))
    }

    fn position(&self, call: CallId) -> Option<usize> {
        call.0.checked_sub(self.first_call.0).map(to_index)
    }
}

fn to_index(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
