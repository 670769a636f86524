//! Monotonic time as a plain value, so that tests control the clock.

use std::{ops, time::Duration};

/// Point on this process's monotonic clock, in microseconds since the process started.
///
/// Decision logic receives it as an argument and never reads a clock itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TimePoint(u64);

impl TimePoint {
    /// Start of the process.
    pub const ZERO: Self = Self(0);
    /// Latest representable time, which stands for never.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a time point from microseconds since the process started.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a time point from milliseconds since the process started.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns microseconds since the process started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for TimePoint {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl ops::Sub<Duration> for TimePoint {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}
