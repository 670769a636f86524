//! Synchronization with the store: reads, announcement and spent budget markers.

mod announce_task;
mod apply_update;
mod evidence_task;
mod missing_entries_task;
mod notice_task;
mod read_pacing;
mod spent_budget_task;
mod store_era_task;
mod store_reader;
mod warm_up_task;
mod zone_evacuations;

pub(crate) use announce_task::maintain_announcement;
pub(crate) use evidence_task::{MAX_EXCHANGED_EVIDENCE, share_evidence};
pub(crate) use missing_entries_task::drop_missing_entries;
pub(crate) use notice_task::{forward_notice, pass_on_evidence};
pub use read_pacing::ReadPacing;
pub(crate) use spent_budget_task::maintain_spent_budget_markers;
pub(crate) use store_era_task::follow_store_era;
pub(crate) use store_reader::read_store;
pub(crate) use warm_up_task::log_warm_ups;
