//! Clock, ticks, timeouts and detection of process pauses.
//!
//! Other crates wait through this one, as `clippy.toml` enforces; libraries such as hyper have
//! timers of their own.

mod timer_service;
mod wall_clock;

pub use timer_service::{ElapsedError, TickStream, TimerService};
pub use wall_clock::unix_millis;
