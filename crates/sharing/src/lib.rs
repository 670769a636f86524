//! Bounds that hold over all nodes together, such as the rate limit of an upstream.
//!
//! Each node derives its share of a bound from the list of nodes, and keeps a schedule of grants for
//! that share. A node that runs out of grants borrows those that other nodes leave unused. The decisions own no socket and no clock: they take events and the current time.

mod borrow_planner;
mod bound_key;
mod grant_schedule;
mod node_shares;
mod node_visibility;
mod sharing_nodes;
mod use_rate;

pub use borrow_planner::{BorrowCall, BorrowPlanner, BorrowProgress, MAX_BOUNDS_PER_CALL};
pub use bound_key::BoundKey;
pub use grant_schedule::{GrantLimit, GrantSchedule};
pub use node_shares::{NodeShares, NodeStanding};
pub use node_visibility::NodeVisibility;
pub use sharing_nodes::SharingNodes;
