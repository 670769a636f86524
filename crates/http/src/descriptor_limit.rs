//! How many descriptors callers may use.

use std::fs;

/// Descriptors that are left to files.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the others that callers may use, in percent; the rest is for upstreams, the store, other nodes
/// and listeners.
const CALLER_SHARE_PERCENT: usize = 75;
/// Connections of callers that a process accepts at least.
const MIN_CONNECTIONS: usize = 16;

/// Returns how many connections callers may have open at a process with `descriptors`.
pub fn connections_within(descriptors: usize) -> usize {
    let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
    (sockets * CALLER_SHARE_PERCENT / 100).max(MIN_CONNECTIONS)
}

/// Returns the number of descriptors that the operating system allows to this process; `None` if it does
/// not tell.
pub fn process_descriptors() -> Option<usize> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|it| it.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
