//! What a node learns from the store and tells it.

mod announce_task;
mod apply_news;
mod mark_spent;
mod store_watch;

pub(crate) use announce_task::keep_announced;
pub(crate) use mark_spent::mark_spent;
pub(crate) use store_watch::{settle_missing, watch_store};
