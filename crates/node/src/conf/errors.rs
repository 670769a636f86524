//! Errors of reading settings.

use std::fmt;

/// Reason why settings were rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable {
        /// Path of the file.
        path: String,
        /// Cause.
        cause: String,
    },
    /// The text is not valid JSON, or a key is unknown, missing or of the wrong type.
    Malformed {
        /// Cause, with the key and the position.
        cause: String,
    },
    /// A value is not allowed for its key.
    BadValue {
        /// Key, with its levels separated by dots.
        key: &'static str,
        /// Rejected value.
        value: String,
        /// Allowed values.
        allowed: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, cause } => {
                write!(f, "cannot read {path}: {cause}; give the path of a readable JSON file")
            }
            Self::Malformed { cause } => write!(
                f,
                "settings are malformed: {cause}; `mustardmux settings example` shows every key"
            ),
            Self::BadValue { key, value, allowed } => {
                write!(f, "settings key `{key}` has the value {value}; allowed: {allowed}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
