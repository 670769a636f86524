//! Memory for messages that others send to a process: an account with a limit, and buffers that count
//! their capacity in it.

mod account_state;
mod buffer_account;
mod buffer_metrics;
mod growing_buffer;

pub use buffer_account::{BufferAccount, BufferError, BufferUsage};
pub use buffer_metrics::BufferMetrics;
pub use growing_buffer::GrowingBuffer;
