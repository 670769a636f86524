//! Errors of commands and their exit codes.

use std::{fmt, process::ExitCode};

use mux_model::Verdict;

const FAILED_EXIT: u8 = 1;
const NOT_RUN_EXIT: u8 = 3;
const MAY_HAVE_RUN_EXIT: u8 = 4;

/// Reason why a command failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// A failure without a verdict, such as an invalid argument or file.
    Failed(String),
    /// A request to a node failed, was rejected or got no response.
    RequestFailed {
        /// Whether the request may have run.
        verdict: Verdict,
        /// Description of the failure and the recommended action.
        message: String,
    },
}

impl CommandError {
    /// Returns the exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::RequestFailed { verdict: Verdict::NotRun, .. } => NOT_RUN_EXIT,
            Self::RequestFailed { verdict: Verdict::MayHaveRun, .. } => MAY_HAVE_RUN_EXIT,
            _ => FAILED_EXIT,
        };
        ExitCode::from(code)
    }

    /// Creates the error of a request that is known not to have run.
    pub(crate) fn not_run(message: impl Into<String>) -> Self {
        Self::RequestFailed { verdict: Verdict::NotRun, message: message.into() }
    }

    /// Creates the error of a request whose outcome is unknown.
    pub(crate) fn may_have_run(message: impl Into<String>) -> Self {
        Self::RequestFailed { verdict: Verdict::MayHaveRun, message: message.into() }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(message) => f.write_str(message),
            Self::RequestFailed { verdict, message } => write!(f, "{message} (verdict: {verdict})"),
        }
    }
}
