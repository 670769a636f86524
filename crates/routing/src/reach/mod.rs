//! Whether this node reaches upstreams at all.

mod reach_monitor;

pub use reach_monitor::{ContactFailure, ProbeReason, ProbeResult, ReachChange, ReachMonitor};
