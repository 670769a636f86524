//! Whether this node reaches upstreams, and probes that find it out.

mod probe_task;

pub(crate) use probe_task::{probe_instances, watch_reach};
