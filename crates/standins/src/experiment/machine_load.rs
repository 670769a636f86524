//! How busy the whole machine is.

use std::{fs, io};

/// Processor time of the machine since it started, in clock ticks.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MachineTicks {
    busy: u64,
    total: u64,
}

impl MachineTicks {
    /// Reads the current counts.
    ///
    /// # Errors
    ///
    /// Fails if the machine doesn't show them.
    pub(crate) fn read() -> io::Result<Self> {
        let stat = fs::read_to_string("/proc/stat")?;
        let line = stat.lines().next().unwrap_or_default();
        let fields: Vec<u64> =
            line.split_whitespace().skip(1).filter_map(|it| it.parse().ok()).collect();
        // The 4th and 5th fields are idle time; time of guests is part of the first two.
        let total = fields.iter().take(8).sum();
        let idle: u64 = fields.iter().skip(3).take(2).sum();
        Ok(Self { busy: total - idle, total })
    }

    /// Returns the counts since `earlier`.
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self {
            busy: self.busy.saturating_sub(earlier.busy),
            total: self.total.saturating_sub(earlier.total),
        }
    }

    /// Adds the counts of another time.
    pub(crate) fn add(&mut self, other: Self) {
        self.busy += other.busy;
        self.total += other.total;
    }

    /// Returns the busy share of all processors.
    pub(crate) fn busy_share(self) -> f64 {
        self.busy as f64 / self.total.max(1) as f64
    }
}
