//! Log output and limits on its rate.

mod build_logger;
mod log_settings;
mod log_throttle;

pub use build_logger::build_logger;
pub use log_settings::{LogFormat, LogLevel, LogSettings};
pub use log_throttle::LogThrottle;
