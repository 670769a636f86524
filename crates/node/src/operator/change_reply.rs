//! Builds the replies to changes by operators.

use mux_admin::{ChangeReply, FieldDifference, InForce, Verdict as WireVerdict};
use mux_config::{ChangeError, ChangePreview, FieldDiff, InForceTracker};
use mux_model::{RevisionNumber, Verdict};

const ABSENT: &str = "-";

/// Returns the reply to a dry run.
pub(super) fn preview_reply(preview: ChangePreview) -> ChangeReply {
    ChangeReply {
        verdict: WireVerdict::NotRun.into(),
        code: "dry_run".to_owned(),
        message: "nothing was changed".to_owned(),
        revision: preview.revision.0,
        differences: preview.diffs.into_iter().map(difference).collect(),
        in_force: None,
    }
}

/// Returns the reply to a change that is stored.
pub(super) fn stored_reply(
    revision: RevisionNumber,
    tracker: &InForceTracker,
    already_done: bool,
) -> ChangeReply {
    let (code, message) = match (already_done, tracker.is_done()) {
        (_, false) => (
            "not_in_force",
            "the change is stored; some live nodes have not confirmed it yet: see \
             in_force.missing and ask again with GetInForce",
        ),
        (true, true) => ("already_done", "the same change took effect before"),
        (false, true) => ("accepted", "the change is stored and in force at every live node"),
    };
    ChangeReply {
        verdict: WireVerdict::Done.into(),
        code: code.to_owned(),
        message: message.to_owned(),
        revision: revision.0,
        differences: Vec::new(),
        in_force: Some(in_force(tracker)),
    }
}

/// Returns the reply to a change that was rejected or whose outcome is unknown.
pub(super) fn failure_reply(error: &ChangeError) -> ChangeReply {
    let (code, revision) = match error {
        ChangeError::Invalid(_) => ("invalid", 0),
        ChangeError::Conflict { expected, current, .. } if current.0 == 0 => {
            debug_assert!(expected.0 != 0, "a conflict needs two revisions");
            ("not_found", 0)
        }
        ChangeError::Conflict { expected, current, .. } if expected.0 == 0 => {
            ("already_exists", current.0)
        }
        ChangeError::Conflict { current, .. } => ("conflict", current.0),
        ChangeError::ChangeIdReused(_) => ("change_id_reused", 0),
        ChangeError::StoreBehind { stored, .. } => ("store_behind", stored.0),
        ChangeError::Contended => ("contended", 0),
        ChangeError::Unavailable(_) => ("store_unavailable", 0),
        ChangeError::OutcomeUnknown(_) => ("outcome_unknown", 0),
    };
    ChangeReply {
        verdict: wire_verdict(error.verdict()).into(),
        code: code.to_owned(),
        message: error.to_string(),
        revision,
        differences: Vec::new(),
        in_force: None,
    }
}

/// Returns how many live nodes have a revision in force, and the nodes that do not.
pub(super) fn in_force(tracker: &InForceTracker) -> InForce {
    let progress = tracker.progress();
    InForce {
        revision: tracker.revision().0,
        nodes_in_force: u32::try_from(progress.in_force).unwrap_or(u32::MAX),
        nodes_live: u32::try_from(progress.members).unwrap_or(u32::MAX),
        missing: tracker.missing().map(ToString::to_string).collect(),
    }
}

fn difference(diff: FieldDiff) -> FieldDifference {
    FieldDifference {
        field: diff.key,
        before: diff.old.unwrap_or_else(|| ABSENT.to_owned()),
        after: diff.new.unwrap_or_else(|| ABSENT.to_owned()),
    }
}

fn wire_verdict(verdict: Verdict) -> WireVerdict {
    match verdict {
        Verdict::Done => WireVerdict::Done,
        Verdict::NotRun => WireVerdict::NotRun,
        Verdict::MayHaveRun => WireVerdict::MayHaveRun,
    }
}
