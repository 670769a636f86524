//! The life of one query as a state machine without sockets or clocks.

mod fan_out_events;

pub use fan_out_events::{
    CallReply, FanOutAction, FanOutPlan, FanOutResult, FanOutStop, ShardResult,
};
