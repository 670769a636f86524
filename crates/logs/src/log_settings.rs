//! Settings of the log output.

use serde::{Deserialize, Serialize};

/// How the node logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least level that is written.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Json, level: LogLevel::Info }
    }
}

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For people.
    Terminal,
}

/// Levels of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Changes of state.
    Info,
    /// Faults that were handled.
    Warning,
    /// Faults that were not.
    Error,
}
