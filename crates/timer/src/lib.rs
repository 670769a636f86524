//! Clock, ticks, timeouts and detection of process pauses.
//!
//! Other crates wait through this one (enforced by `clippy.toml`); only the HTTP library has its own
//! timer.

mod timer_service;

pub use timer_service::{ElapsedError, TickStream, TimerService};
