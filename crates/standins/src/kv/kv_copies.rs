//! Older copies of the state of the key-value test double.

use std::{collections::VecDeque, time::Duration};

use mux_model::TimePoint;
use mux_store::memory::KvState;

/// Minimum time between two copies.
const COPY_PERIOD: Duration = Duration::from_millis(100);
/// Age up to which copies are kept.
const MAX_COPY_AGE: Duration = Duration::from_secs(30);

/// Copies of the state from which the test double can be restored.
#[derive(Debug, Default)]
pub(super) struct KvCopies {
    copies: VecDeque<(TimePoint, KvState)>,
}

impl KvCopies {
    /// Keeps a copy of `state`, unless the latest one is recent; to be called before each change.
    pub(super) fn keep(&mut self, now: TimePoint, state: &KvState) {
        let latest = self.copies.back();
        if latest.is_some_and(|(taken_at, _)| now.since(*taken_at) < COPY_PERIOD) {
            return;
        }
        self.copies.push_back((now, state.clone()));
        while self.copies.len() > 1
            && self.copies.get(1).is_some_and(|(taken_at, _)| MAX_COPY_AGE < now.since(*taken_at))
        {
            self.copies.pop_front();
        }
    }

    /// Returns the state of `age` ago, or the oldest kept one if none is that old; `None` if nothing
    /// was changed since. Later copies are dropped.
    pub(super) fn restore(&mut self, now: TimePoint, age: Duration) -> Option<KvState> {
        let wanted = now.as_micros().saturating_sub(age.as_micros() as u64);
        // A copy was taken right before a change, so that the first one after the wanted time holds
        // the state of that time.
        let idx = self.copies.iter().position(|(taken_at, _)| wanted <= taken_at.as_micros())?;
        self.copies.truncate(idx + 1);
        self.copies.back().map(|(_, state)| state.clone())
    }
}
