//! Log output and its bounds.

mod build_logger;
mod log_throttle;

pub(crate) use build_logger::build_logger;
pub(crate) use log_throttle::LogThrottle;
