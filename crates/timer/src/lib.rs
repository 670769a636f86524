//! The one place that reads the clock and waits.

mod timer_service;

pub use timer_service::{ElapsedError, TickStream, TimerService};
