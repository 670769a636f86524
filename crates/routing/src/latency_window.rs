//! Sliding window of call latencies, for quantiles.

use std::{mem, time::Duration};

use hdrhistogram::Histogram;
use mux_model::TimePoint;

const SLICE_COUNT: usize = 4;
const SLICE_MS: u64 = 5_000;
const MIN_LATENCY_US: u64 = 1;
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Ring of histograms of consecutive time slices; the oldest one is reset for the next slice.
#[derive(Debug)]
pub(crate) struct LatencyWindow {
    slices: [Histogram<u32>; SLICE_COUNT],
    newest: usize,
    newest_since: TimePoint,
}

impl LatencyWindow {
    /// Creates an empty window.
    pub(crate) fn new() -> Self {
        let slices = std::array::from_fn(|_| empty_histogram());
        Self { slices, newest: 0, newest_since: TimePoint::ZERO }
    }

    /// Records a latency.
    pub(crate) fn record(&mut self, now: TimePoint, latency: Duration) {
        self.rotate(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.slices[self.newest].saturating_record(micros.max(MIN_LATENCY_US));
    }

    /// Returns the latencies of the whole window, in microseconds.
    pub(crate) fn merged(&mut self, now: TimePoint) -> Histogram<u32> {
        self.rotate(now);
        let mut merged = empty_histogram();
        for slice in &self.slices {
            // Can't fail, as all slices have the same bounds.
            let _ = merged.add(slice);
        }
        merged
    }

    fn rotate(&mut self, now: TimePoint) {
        let slice = Duration::from_millis(SLICE_MS);
        let window = slice * SLICE_COUNT as u32;
        if window <= now.since(self.newest_since) {
            let _ = mem::replace(self, Self { newest_since: now, ..Self::new() });
            return;
        }
        while slice <= now.since(self.newest_since) {
            self.newest = (self.newest + 1) % SLICE_COUNT;
            self.slices[self.newest].reset();
            self.newest_since = self.newest_since + slice;
        }
    }
}

fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the constant bounds are valid")
}
