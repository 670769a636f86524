//! Settings of the log output.

use serde::{Deserialize, Serialize};

/// Settings of the log output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Lowest level that is written.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Json, level: LogLevel::Info }
    }
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Terminal,
}

/// Severity of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Details for debugging.
    Debug,
    /// Changes of state.
    Info,
    /// Faults that were handled.
    Warning,
    /// Faults that were not handled.
    Error,
}
