//! Synchronization with the store: watch, announcement and spent budget markers.

mod announce_task;
mod apply_update;
mod spent_budget_task;
mod store_watch;

pub(crate) use announce_task::maintain_announcement;
pub(crate) use spent_budget_task::maintain_spent_budget_markers;
pub(crate) use store_watch::{drop_missing_entries, watch_store};
