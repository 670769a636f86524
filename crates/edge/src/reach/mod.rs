//! Whether this node reaches upstreams, and probes that find it out.

mod node_reach;
mod probe_task;

pub(crate) use node_reach::NodeReach;
pub(crate) use probe_task::{probe_instances, watch_reach};
