//! Cluster membership by a SWIM-like gossip protocol: probes, suspicion and piggybacked updates.

mod codec;
mod drain_state_table;
mod errors;
mod gossip_action;
mod gossip_counters;
mod gossip_machine;
mod gossip_service;
mod gossip_settings;
mod log_limiter;
mod member_record;
mod member_table;
mod member_view;
mod message;
mod probe_tracker;
mod retransmit_queue;
mod revision_dissemination;
mod sync_schedule;
mod table_digest;

pub use drain_state_table::UpstreamDrainState;
pub use errors::GossipError;
pub use gossip_action::{GossipAction, GossipEvent};
pub use gossip_counters::{CounterReading, GossipCounters};
pub use gossip_machine::GossipMachine;
pub use gossip_service::GossipService;
pub use gossip_settings::GossipSettings;
pub use member_record::{MemberRecord, MemberState, NodeIdentity};
pub use member_view::MemberView;
