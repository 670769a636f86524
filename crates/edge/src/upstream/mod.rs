//! Connections to upstreams, one request at a time on each.

mod call_task;
mod link_table;
mod open_connection;
mod upstream_answer;
mod upstream_link;

pub(crate) use call_task::{CallEnd, CallOrder, CallTemplate, spawn_call};
pub(crate) use link_table::LinkTable;
pub(crate) use upstream_answer::UpstreamAnswer;
