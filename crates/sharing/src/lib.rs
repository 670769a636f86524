//! Bounds that hold over all nodes together, such as the rate limit of an upstream.
//!
//! Each node derives its share of a bound from the list of nodes, and keeps a schedule of grants for
//! that share. The decisions own no socket and no clock: they take events and the current time.

mod grant_schedule;
mod node_shares;
mod sharing_nodes;

pub use grant_schedule::{GrantLimit, GrantSchedule};
pub use node_shares::{NodeShares, NodeStanding};
pub use sharing_nodes::SharingNodes;
