//! The timer service and its heartbeat, which detects pauses of this process.

#![expect(clippy::disallowed_methods, reason = "the only place that waits on the runtime's clock")]

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError, Weak},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use mux_model::TimePoint;
use tokio::{
    sync::watch,
    time::{self, Instant, MissedTickBehavior},
};

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(50);

/// Error of an operation that did not finish within its time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ElapsedError;

impl fmt::Display for ElapsedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the operation timed out")
    }
}

/// Monotonic clock and timer shared by the tasks of a process.
///
/// A background heartbeat task measures the time between its runs. A gap above the limit means
/// that the process was paused, so leases and cached state may be outdated.
#[derive(Debug, Clone)]
pub struct TimerService {
    inner: Arc<TimerState>,
}

#[derive(Debug)]
struct TimerState {
    origin: Instant,
    pause_limit: Duration,
    heartbeat: Mutex<Heartbeat>,
    /// Number of pauses that the heartbeat has detected, for subscribers.
    pauses: watch::Sender<u64>,
}

/// State of the heartbeat; both fields change together.
#[derive(Debug, Clone, Copy)]
struct Heartbeat {
    /// Time of the last heartbeat.
    at: TimePoint,
    /// Number of pauses detected so far.
    pauses: u64,
}

impl TimerService {
    /// Starts the clock and the heartbeat that reports pauses longer than `pause_limit`.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(pause_limit: Duration) -> Self {
        let inner = Arc::new(TimerState {
            origin: Instant::now(),
            pause_limit,
            heartbeat: Mutex::new(Heartbeat { at: TimePoint::ZERO, pauses: 0 }),
            pauses: watch::Sender::new(0),
        });
        tokio::spawn(detect_pauses(Arc::downgrade(&inner)));
        Self { inner }
    }

    /// Returns the current time.
    pub fn now(&self) -> TimePoint {
        TimePoint::ZERO + self.inner.origin.elapsed()
    }

    /// Returns the time until the wall clock reaches the next multiple of `period`, so that
    /// processes that wait for it act at the same time, up to the difference of their clocks.
    pub fn until_wall_clock_multiple(&self, period: Duration) -> Duration {
        // A clock set before 1970 counts as 1970, which only shifts the result.
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let period = period.as_micros().max(1);
        let time_left = period - since_epoch.as_micros() % period;
        Duration::from_micros(u64::try_from(time_left).unwrap_or(u64::MAX))
    }

    /// Subscribes to ticks every `period`; ticks missed during a pause are skipped.
    pub fn subscribe(&self, period: Duration) -> TickStream {
        let mut interval = time::interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        TickStream { timer: self.clone(), interval }
    }

    /// Returns whether the heartbeat is late by more than the pause limit.
    ///
    /// True from the end of a pause until the heartbeat has run and counted it.
    pub fn is_stalled(&self) -> bool {
        self.is_late(self.inner.heartbeat())
    }

    /// Returns the number of pauses so far, including one that the heartbeat has not detected yet.
    ///
    /// A number that differs from an earlier one means that the process was paused in between,
    /// whichever task runs first after the pause.
    pub fn pause_count(&self) -> u64 {
        let heartbeat = self.inner.heartbeat();
        heartbeat.pauses + u64::from(self.is_late(heartbeat))
    }

    fn is_late(&self, heartbeat: Heartbeat) -> bool {
        self.inner.pause_limit < self.now().since(heartbeat.at)
    }

    /// Subscribes to the number of pauses that the heartbeat has detected.
    pub fn subscribe_pauses(&self) -> watch::Receiver<u64> {
        self.inner.pauses.subscribe()
    }

    /// Waits for `duration`.
    pub async fn sleep(&self, duration: Duration) {
        time::sleep(duration).await;
    }

    /// Waits until `deadline`; returns at once if it has passed.
    pub async fn sleep_until(&self, deadline: TimePoint) {
        let offset = deadline.since(TimePoint::ZERO);
        match self.inner.origin.checked_add(offset) {
            Some(instant) => time::sleep_until(instant).await,
            None => std::future::pending().await,
        }
    }

    /// Runs `operation` for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`ElapsedError`] if the operation did not finish in time; its future is dropped.
    pub async fn timeout<F: Future>(
        &self,
        limit: Duration,
        operation: F,
    ) -> Result<F::Output, ElapsedError> {
        time::timeout(limit, operation).await.map_err(|_| ElapsedError)
    }
}

impl TimerState {
    fn heartbeat(&self) -> Heartbeat {
        *self.heartbeat.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Periodic ticks of a [`TimerService`].
#[derive(Debug)]
pub struct TickStream {
    timer: TimerService,
    interval: time::Interval,
}

impl TickStream {
    /// Waits for the next tick and returns the time at which it was delivered.
    pub async fn next(&mut self) -> TimePoint {
        self.interval.tick().await;
        self.timer.now()
    }
}

async fn detect_pauses(state: Weak<TimerState>) {
    let mut last = Instant::now();
    loop {
        time::sleep(HEARTBEAT_PERIOD).await;
        let Some(state) = state.upgrade() else {
            return;
        };
        let now = Instant::now();
        let is_pause = state.pause_limit < now.duration_since(last);
        last = now;
        {
            let mut heartbeat = state.heartbeat.lock().unwrap_or_else(PoisonError::into_inner);
            heartbeat.at = TimePoint::ZERO + now.duration_since(state.origin);
            heartbeat.pauses += u64::from(is_pause);
        }
        if is_pause {
            state.pauses.send_modify(|count| *count += 1);
        }
    }
}
