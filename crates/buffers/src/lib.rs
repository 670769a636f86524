//! Memory for messages that others send to a process: an account with a limit, and buffers that count
//! their capacity in it.

mod account_state;
mod buffer_account;
mod growing_buffer;

pub use buffer_account::{BufferAccount, BufferError, BufferUsage};
pub use growing_buffer::GrowingBuffer;
