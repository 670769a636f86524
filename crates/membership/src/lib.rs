//! Membership of nodes by probing and gossip.
