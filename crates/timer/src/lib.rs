//! The only crate that reads the clock and waits on it.

mod timer_service;

pub use timer_service::{ElapsedError, TickStream, TimerService};
