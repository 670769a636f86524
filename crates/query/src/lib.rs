//! The life of one query as a state machine without sockets or clocks.

mod call_table;
mod coverage_goal;
mod fan_out;
mod fan_out_events;

pub use fan_out::FanOut;
pub use fan_out_events::{
    CallReply, FanOutAction, FanOutPlan, FanOutResult, FanOutStop, ShardResult,
};
