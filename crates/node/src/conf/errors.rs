//! Failures of reading settings.

use std::fmt;

/// Why settings were not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable {
        /// Path of the file.
        path: String,
        /// Why.
        why: String,
    },
    /// The text is not valid JSON, or a key is unknown, missing or of the wrong type.
    Malformed {
        /// Position and cause, with the key's name.
        why: String,
    },
    /// A value is out of its range.
    BadValue {
        /// Key, with dots between levels.
        key: &'static str,
        /// Value given.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, why } => {
                write!(f, "cannot read {path}: {why}; give a readable JSON file with --settings")
            }
            Self::Malformed { why } => write!(
                f,
                "settings are malformed: {why}; `mustardmux settings example` shows every key"
            ),
            Self::BadValue { key, value, allowed } => {
                write!(f, "settings key `{key}` has the value {value}; allowed: {allowed}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
