//! Adaptive limit on the queries of one service in flight at this node.

use std::time::Duration;

use mux_model::TimePoint;

use crate::router_settings::RouterSettings;

const START_LIMIT: f64 = 16.0;
const MIN_LIMIT: f64 = 1.0;
/// Minimum time between two changes of the limit.
const MIN_INTERVAL_MS: u64 = 100;
/// Number of finished and refused queries after which an interval may end.
const MIN_EVENTS: u32 = 10;
/// Maximum interval, as a multiple of the minimum.
const MAX_INTERVAL_RATIO: u32 = 10;
/// Smallest ratio of the reduced limit to the peak of queries in flight, which counts as at least
/// half the limit.
const MIN_SHRINK_FACTOR: f64 = 0.7;
/// Largest ratio of the reduced limit to that peak.
const MAX_SHRINK_FACTOR: f64 = 0.95;
/// Factor of the increase after an interval with short waits.
const GROWTH_FACTOR: f64 = 1.25;
/// Upper bound of a wait sample, as a multiple of the target; limits the effect of one pause.
const MAX_WAIT_RATIO: u32 = 3;
/// Share of the limit that the queries in flight have to reach for the limit to grow.
const MIN_USED_SHARE: f64 = 0.8;
/// Ratio of refused to finished queries above which the service is overloaded.
const OVERLOADED_REFUSAL_RATIO: f64 = 0.1;
/// Bounds of the suggested retry delay, before jitter.
const MIN_RETRY_DELAY_MS: u64 = 20;
const MAX_RETRY_DELAY_MS: u64 = 5_000;

/// Waits of first calls for slots in the last interval, over all upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlotWaitSummary {
    /// Longest of the mean waits at the upstreams.
    pub(crate) longest_mean: Duration,
    /// Target wait, long enough to keep every slot busy but short compared with the query latency.
    pub(crate) target: Duration,
    /// Earliest end of a pause, if all usable upstreams are paused.
    pub(crate) blocked_until: Option<TimePoint>,
}

/// A limit on the queries in flight, adapted to the time that their calls wait for slots.
///
/// A query that times out waiting for a slot wastes the slots held by its other calls, so that
/// admitting more queries than the slots can serve lowers the goodput.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueryAdmission {
    in_flight: u32,
    limit: f64,
    /// Smoothed wait of first calls for a slot.
    wait: Duration,
    blocked_until: TimePoint,
    interval: IntervalCounts,
    /// Ratio of refused to finished queries in the last interval.
    refusal_ratio: f64,
    mean_query_time: Duration,
    /// Estimated time to serve the queries refused in the last interval.
    backlog_time: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct IntervalCounts {
    since: TimePoint,
    peak: u32,
    finished: u32,
    refused: u32,
    /// Sum of the times in flight of all queries, in seconds.
    query_seconds: f64,
    accumulated_until: TimePoint,
}

impl QueryAdmission {
    /// Creates the admission state of a service without queries.
    pub(crate) fn new() -> Self {
        Self {
            in_flight: 0,
            limit: START_LIMIT,
            wait: Duration::ZERO,
            blocked_until: TimePoint::ZERO,
            interval: IntervalCounts::default(),
            refusal_ratio: 0.0,
            mean_query_time: Duration::ZERO,
            backlog_time: Duration::ZERO,
        }
    }

    /// Returns the number of queries in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the maximum number of queries in flight.
    ///
    /// Adaptive only if calls in flight are limited, as calls wait for slots only then.
    pub(crate) fn limit(&self, settings: &RouterSettings) -> u32 {
        let max_queries = settings.queries_in_flight;
        settings.share.map_or(max_queries, |_| max_queries.min(self.limit as u32))
    }

    /// Admits a query if the limit is not reached and not all upstreams are paused.
    pub(crate) fn try_admit(&mut self, now: TimePoint, settings: &RouterSettings) -> bool {
        self.accumulate_query_time(now);
        if now < self.blocked_until || self.limit(settings) <= self.in_flight {
            self.interval.refused += 1;
            return false;
        }
        self.in_flight += 1;
        self.interval.peak = self.interval.peak.max(self.in_flight);
        true
    }

    /// Records the end of an admitted query.
    pub(crate) fn finish(&mut self, now: TimePoint) {
        self.accumulate_query_time(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.interval.finished += 1;
    }

    /// Returns the suggested retry delay: the estimated time to serve the recently refused queries.
    ///
    /// `jitter` from 0 to 1 spreads the retries of the callers.
    pub(crate) fn retry_delay(&self, now: TimePoint, jitter: f64) -> Duration {
        let wait = (self.mean_query_time + self.backlog_time).max(self.blocked_until.since(now));
        let longest = Duration::from_millis(MAX_RETRY_DELAY_MS);
        let bounded = wait.clamp(Duration::from_millis(MIN_RETRY_DELAY_MS), longest);
        bounded.mul_f64(1.0 + 0.5 * jitter)
    }

    /// Returns whether `adapt` is due.
    pub(crate) fn should_adapt(&self, now: TimePoint) -> bool {
        let age = now.since(self.interval.since);
        let shortest = Duration::from_millis(MIN_INTERVAL_MS);
        let has_enough_events = MIN_EVENTS <= self.interval.finished + self.interval.refused;
        shortest <= age && (has_enough_events || shortest * MAX_INTERVAL_RATIO <= age)
    }

    /// Ends the interval and adapts the limit to the waits in it.
    ///
    /// Returns whether slots are too scarce for hedges and retries.
    pub(crate) fn adapt(
        &mut self,
        now: TimePoint,
        wait: SlotWaitSummary,
        settings: &RouterSettings,
    ) -> bool {
        self.accumulate_query_time(now);
        self.update_statistics(now);
        self.blocked_until = wait.blocked_until.unwrap_or(TimePoint::ZERO);
        self.wait = (self.wait + wait.longest_mean.min(wait.target * MAX_WAIT_RATIO)) / 2;
        if wait.target < self.wait {
            self.shrink(wait.target);
        } else if self.wait < wait.target / 2 {
            self.grow(settings.queries_in_flight);
        }
        self.interval = IntervalCounts {
            since: now,
            peak: self.in_flight,
            accumulated_until: now,
            ..Default::default()
        };
        wait.target < self.wait || OVERLOADED_REFUSAL_RATIO < self.refusal_ratio
    }

    fn shrink(&mut self, target: Duration) {
        let factor = target.as_secs_f64() / self.wait.as_secs_f64();
        let used = f64::from(self.interval.peak).clamp(self.limit / 2.0, self.limit);
        self.limit = (used * factor.clamp(MIN_SHRINK_FACTOR, MAX_SHRINK_FACTOR)).max(MIN_LIMIT);
    }

    fn grow(&mut self, max_queries: u32) {
        if f64::from(self.interval.peak) < self.limit * MIN_USED_SHARE {
            return;
        }
        self.limit =
            (self.limit * GROWTH_FACTOR).max(self.limit + 1.0).min(f64::from(max_queries.max(1)));
    }

    /// Updates the refusal ratio, the backlog time and, by Little's law, the mean query time.
    fn update_statistics(&mut self, now: TimePoint) {
        let finished = f64::from(self.interval.finished.max(1));
        self.refusal_ratio = f64::from(self.interval.refused) / finished;
        let length = now.since(self.interval.since).min(Duration::from_millis(MAX_RETRY_DELAY_MS));
        self.backlog_time = length.mul_f64(self.refusal_ratio);
        if 0 < self.interval.finished {
            self.mean_query_time = Duration::from_secs_f64(self.interval.query_seconds / finished);
        }
    }

    fn accumulate_query_time(&mut self, now: TimePoint) {
        let elapsed = now.since(self.interval.accumulated_until).as_secs_f64();
        self.interval.query_seconds += elapsed * f64::from(self.in_flight);
        self.interval.accumulated_until = self.interval.accumulated_until.max(now);
    }
}
