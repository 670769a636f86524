//! Background tasks that keep configuration, members and upstreams up to date.

mod config_watch;
mod evidence_task;
mod failed_members;
mod janitor_task;
mod member_watch;
mod planned_stop;
mod reach_task;
mod upstream_poll;
mod vm_watch;

pub(crate) use config_watch::watch_config;
pub(crate) use evidence_task::share_evidence;
pub(crate) use janitor_task::run_janitor;
pub(crate) use member_watch::watch_members;
pub(crate) use planned_stop::stop_node;
pub(crate) use reach_task::{probe_upstreams, watch_reach};
pub(crate) use upstream_poll::poll_upstreams;
pub(crate) use vm_watch::watch_vms;
