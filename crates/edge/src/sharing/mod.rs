//! Bounds that hold over all nodes: this node's shares of them, and the grants that nodes lend each
//! other.

mod borrow_task;
mod bound_owners;
mod grant_sharing;
mod peer_links;
mod share_task;

pub(crate) use borrow_task::{borrow_grants, maintain_borrowing};
pub(crate) use bound_owners::lend_all;
pub(crate) use grant_sharing::{GrantSharing, StandingInputs};
pub(crate) use share_task::maintain_shares;
