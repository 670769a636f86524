//! Bounds the queries that a node works on at once for one service.

use std::time::Duration;

use mux_model::TimePoint;

use crate::router_settings::RouterSettings;

const START_LIMIT: f64 = 16.0;
const MIN_LIMIT: f64 = 1.0;
/// Shortest time between two changes of the limit.
const INTERVAL_MS: u64 = 100;
/// Queries finished or refused that an interval is to hold.
const MIN_EVENTS: u32 = 10;
/// Longest interval, as a multiple of the shortest.
const MAX_INTERVALS: u32 = 10;
/// Strongest decrease in one interval.
const MAX_CUT: f64 = 0.7;
/// Weakest decrease in one interval.
const MIN_CUT: f64 = 0.95;
/// Growth in one interval in which calls hardly waited.
const GROWTH: f64 = 1.25;
/// Longest wait that is taken in, as a multiple of the target; bounds the effect of one pause.
const MAX_WAIT_RATIO: u32 = 3;
/// Share of the limit that queries have to reach for it to grow.
const USED_SHARE: f64 = 0.8;
/// Refused queries for each that finished, above which the service is overloaded.
const OVERLOADED_REFUSALS: f64 = 0.1;
const MIN_RETRY_MS: u64 = 20;
const MAX_RETRY_MS: u64 = 5_000;

/// How long calls waited for a slot in the last interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SlotWait {
    /// Mean wait of the calls to the upstream where it was longest.
    pub(crate) longest: Duration,
    /// Wait that keeps every slot busy and adds little to the latency of a query.
    pub(crate) target: Duration,
    /// No upstream takes a call before this time.
    pub(crate) blocked_until: Option<TimePoint>,
}

/// A limit on queries that follows the time that their calls wait for slots.
///
/// A query that waits for slots holds those of its other calls to no use until it times out, so
/// that more queries than the slots can serve lower the goodput.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueryAdmission {
    in_flight: u32,
    limit: f64,
    /// Smoothed wait of calls for a slot.
    wait: Duration,
    blocked_until: TimePoint,
    interval: IntervalCounts,
    refusals_per_finish: f64,
    query_time: Duration,
    /// Time in which the queries refused in the last interval could be served.
    backlog_time: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct IntervalCounts {
    since: TimePoint,
    peak: u32,
    finished: u32,
    refused: u32,
    /// Sum over all queries of the time in flight, in seconds.
    busy: f64,
    busy_until: TimePoint,
}

impl QueryAdmission {
    /// Creates the admission of a service without queries.
    pub(crate) fn new() -> Self {
        Self {
            in_flight: 0,
            limit: START_LIMIT,
            wait: Duration::ZERO,
            blocked_until: TimePoint::ZERO,
            interval: IntervalCounts::default(),
            refusals_per_finish: 0.0,
            query_time: Duration::ZERO,
            backlog_time: Duration::ZERO,
        }
    }

    /// Returns the number of queries in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of queries that may be in flight.
    ///
    /// Adapts only where calls in flight are limited, as calls wait for slots only there.
    pub(crate) fn limit(&self, settings: &RouterSettings) -> u32 {
        let most = settings.queries_in_flight;
        settings.share.map_or(most, |_| most.min(self.limit as u32))
    }

    /// Admits a query if fewer than the limit are in flight.
    pub(crate) fn try_admit(&mut self, now: TimePoint, settings: &RouterSettings) -> bool {
        self.account(now);
        if now < self.blocked_until || self.limit(settings) <= self.in_flight {
            self.interval.refused += 1;
            return false;
        }
        self.in_flight += 1;
        self.interval.peak = self.interval.peak.max(self.in_flight);
        true
    }

    /// Ends an admitted query.
    pub(crate) fn finish(&mut self, now: TimePoint) {
        self.account(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.interval.finished += 1;
    }

    /// Returns the time in which the queries that were refused lately could be served.
    ///
    /// `jitter` from 0 to 1 spreads the callers that return.
    pub(crate) fn time_to_return(&self, now: TimePoint, jitter: f64) -> Duration {
        let wait = (self.query_time + self.backlog_time).max(self.blocked_until.since(now));
        let longest = Duration::from_millis(MAX_RETRY_MS);
        let bounded = wait.clamp(Duration::from_millis(MIN_RETRY_MS), longest);
        bounded.mul_f64(1.0 + 0.5 * jitter)
    }

    /// Returns whether `adapt` is due.
    pub(crate) fn is_due(&self, now: TimePoint) -> bool {
        let age = now.since(self.interval.since);
        let shortest = Duration::from_millis(INTERVAL_MS);
        let is_telling = MIN_EVENTS <= self.interval.finished + self.interval.refused;
        shortest <= age && (is_telling || shortest * MAX_INTERVALS <= age)
    }

    /// Ends the interval and changes the limit by how long calls waited in it.
    ///
    /// Returns whether slots are too short to spend them on extra calls.
    pub(crate) fn adapt(
        &mut self,
        now: TimePoint,
        wait: SlotWait,
        settings: &RouterSettings,
    ) -> bool {
        self.account(now);
        self.learn_rates(now);
        self.blocked_until = wait.blocked_until.unwrap_or(TimePoint::ZERO);
        self.wait = (self.wait + wait.longest.min(wait.target * MAX_WAIT_RATIO)) / 2;
        if wait.target < self.wait {
            self.shrink(wait.target);
        } else if self.wait < wait.target / 2 {
            self.grow(settings.queries_in_flight);
        }
        self.interval = IntervalCounts {
            since: now,
            peak: self.in_flight,
            busy_until: now,
            ..Default::default()
        };
        wait.target < self.wait || OVERLOADED_REFUSALS < self.refusals_per_finish
    }

    fn shrink(&mut self, target: Duration) {
        let factor = target.as_secs_f64() / self.wait.as_secs_f64();
        let used = f64::from(self.interval.peak).clamp(self.limit / 2.0, self.limit);
        self.limit = (used * factor.clamp(MAX_CUT, MIN_CUT)).max(MIN_LIMIT);
    }

    fn grow(&mut self, most: u32) {
        if f64::from(self.interval.peak) < self.limit * USED_SHARE {
            return;
        }
        self.limit = (self.limit * GROWTH).max(self.limit + 1.0).min(f64::from(most.max(1)));
    }

    /// Derives the mean time of a query by Little's law from the queries in flight.
    fn learn_rates(&mut self, now: TimePoint) {
        let finished = f64::from(self.interval.finished.max(1));
        self.refusals_per_finish = f64::from(self.interval.refused) / finished;
        let length = now.since(self.interval.since).min(Duration::from_millis(MAX_RETRY_MS));
        self.backlog_time = length.mul_f64(self.refusals_per_finish);
        if 0 < self.interval.finished {
            self.query_time = Duration::from_secs_f64(self.interval.busy / finished);
        }
    }

    fn account(&mut self, now: TimePoint) {
        let elapsed = now.since(self.interval.busy_until).as_secs_f64();
        self.interval.busy += elapsed * f64::from(self.in_flight);
        self.interval.busy_until = self.interval.busy_until.max(now);
    }
}
