//! Recognizes requests that crash the upstreams that run them, and keeps them from upstreams.
//!
//! The decisions own no socket and no clock: they take events and the current time.

mod attempt_kind;
mod crash_ledger;
mod evidence;
mod evidence_update;
mod recent_answers;
mod request_admission;
mod request_fingerprint;
mod shared_ledger;
mod suspect_request;

pub use attempt_kind::AttemptKind;
pub use crash_ledger::{CrashLedger, IDLE_LIFETIME, MAX_REQUESTS};
pub use evidence::{Evidence, EvidenceKey, EvidenceSource, UpstreamProcess};
pub use evidence_update::EvidenceUpdate;
pub use request_admission::RequestAdmission;
pub use request_fingerprint::RequestFingerprint;
pub use shared_ledger::SharedLedger;
pub use suspect_request::CRASH_LIMIT;
