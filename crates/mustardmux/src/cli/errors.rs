//! Failures of commands and the exit codes that they stand for.

use std::{fmt, process::ExitCode};

use mux_model::Verdict;

const FAILED_EXIT: u8 = 1;
const NOT_RUN_EXIT: u8 = 3;
const MAY_HAVE_RUN_EXIT: u8 = 4;

/// Why a command did not succeed.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The command failed on this side, before anything was asked of a node.
    Failed(String),
    /// The node's answer, or its absence, leaves this verdict.
    Refused {
        /// Whether what was asked may have run.
        verdict: Verdict,
        /// What happened and what to do.
        message: String,
    },
}

impl CommandError {
    /// Returns the exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Refused { verdict: Verdict::NotRun, .. } => NOT_RUN_EXIT,
            Self::Refused { verdict: Verdict::MayHaveRun, .. } => MAY_HAVE_RUN_EXIT,
            _ => FAILED_EXIT,
        };
        ExitCode::from(code)
    }

    /// Creates the error of a call that was not sent.
    pub(crate) fn not_run(message: impl Into<String>) -> Self {
        Self::Refused { verdict: Verdict::NotRun, message: message.into() }
    }

    /// Creates the error of a call whose outcome is unknown.
    pub(crate) fn may_have_run(message: impl Into<String>) -> Self {
        Self::Refused { verdict: Verdict::MayHaveRun, message: message.into() }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(message) => f.write_str(message),
            Self::Refused { verdict, message } => write!(f, "{message} (verdict: {verdict})"),
        }
    }
}
