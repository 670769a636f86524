//! Query execution as state machines without I/O or clocks.

mod answer_timing;
mod attempt_containment;
mod call_table;
mod coverage_thresholds;
mod fan_out;
mod fan_out_events;
mod ledger_stripe;
mod query_attempts;
mod record_merge;
mod session_ledger;
mod session_token;
mod session_window;
mod snapshot_catalog;
mod snapshot_claims;
mod stop_schedule;

pub use answer_timing::AnswerTiming;
pub use attempt_containment::{AttemptContainment, CrashReaction};
pub use fan_out::FanOut;
pub use fan_out_events::{
    CallReply, FanOutAction, FanOutPlan, FanOutResult, FanOutStopReason, ShardResult,
};
pub use query_attempts::QueryAttempts;
pub use record_merge::{RECORD_BYTES, greatest_records};
pub use session_ledger::{BeginOutcome, LedgerLimits, RunTicket, SessionLedger};
pub use session_token::{SessionId, SessionMint, SessionToken, TokenError};
pub use snapshot_catalog::{SnapshotCatalog, SnapshotClaim};
pub use stop_schedule::StopSchedule;
