//! Clock, ticks, timeouts and detection of process pauses.
//!
//! Other crates wait through this one, as `clippy.toml` enforces; libraries such as hyper have
//! timers of their own.

mod timer_service;

pub use timer_service::{ElapsedError, TickStream, TimerService};
