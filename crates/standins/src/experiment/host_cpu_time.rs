//! Processor use of the host.

use std::{fs, io};

/// Processor time of the host, since boot or in a period, in clock ticks.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HostCpuTime {
    busy: u64,
    total: u64,
}

impl HostCpuTime {
    /// Reads the current counters.
    ///
    /// # Errors
    ///
    /// Fails if `/proc/stat` can't be read.
    pub(crate) fn read() -> io::Result<Self> {
        let stat = fs::read_to_string("/proc/stat")?;
        let line = stat.lines().next().unwrap_or_default();
        let fields: Vec<u64> =
            line.split_whitespace().skip(1).filter_map(|it| it.parse().ok()).collect();
        // The 4th and 5th fields are idle and I/O wait time; the first two include guest time.
        let total = fields.iter().take(8).sum();
        let idle: u64 = fields.iter().skip(3).take(2).sum();
        Ok(Self { busy: total - idle, total })
    }

    /// Returns the difference to `earlier`.
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self {
            busy: self.busy.saturating_sub(earlier.busy),
            total: self.total.saturating_sub(earlier.total),
        }
    }

    /// Adds the ticks of another period.
    pub(crate) fn add(&mut self, other: Self) {
        self.busy += other.busy;
        self.total += other.total;
    }

    /// Returns the busy share of all processors, 0 to 1.
    pub(crate) fn busy_share(self) -> f64 {
        self.busy as f64 / self.total.max(1) as f64
    }
}
