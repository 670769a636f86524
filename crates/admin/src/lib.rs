//! Operator API, generated from `proto/operators.proto`.

#[expect(missing_docs, clippy::all, reason = "generated code")]
#[rustfmt::skip]
#[path = "generated/mustardmux.operators.v1.rs"]
mod operators;

pub use operators::*;

use serde::Serializer;

impl Verdict {
    /// Returns the name used in text output and in the callers' HTTP interface.
    pub const fn as_text(self) -> &'static str {
        match self {
            Self::Unspecified => "unspecified",
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
        }
    }
}

fn serialize_verdict<S: Serializer>(verdict: &i32, serializer: S) -> Result<S::Ok, S::Error> {
    let verdict = Verdict::try_from(*verdict).unwrap_or(Verdict::Unspecified);
    serializer.serialize_str(verdict.as_text())
}
