//! Construction of the root logger.

use std::{io, sync::Mutex};

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;

use crate::{LogFormat, LogLevel, LogSettings};

const QUEUE_CAPACITY: usize = 4_096;

/// Builds the root logger of a node.
///
/// Lines are queued and written to standard output by another thread. If the queue is full, lines
/// are dropped and their number is reported.
pub fn build_logger(settings: &LogSettings, node: &str) -> Logger {
    let LogSettings { format, level } = *settings;
    let level = match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    };
    let values = o!("node" => node.to_owned());
    match format {
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(io::stdout())).fuse();
            Logger::root(queued(LevelFilter::new(drain, level).fuse()), values)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            let drain = Mutex::new(slog_term::FullFormat::new(decorator).build()).fuse();
            Logger::root(queued(LevelFilter::new(drain, level).fuse()), values)
        }
    }
}

/// Returns a drain that queues lines and writes them to `drain` from another thread.
fn queued<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(QUEUE_CAPACITY)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse()
}
