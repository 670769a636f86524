//! Calls and connections to upstreams.

mod announcements;
mod call_task;
mod connection_pool;
mod connection_pools;
mod limited_stream;
mod open_connection;
mod reply_body;
mod reply_buffers;
mod reservation_task;
mod upstream_reply;

pub(crate) use call_task::{CallError, CallResult, CallSpec, CallTemplate, spawn_call};
pub(crate) use connection_pool::is_final_status;
pub(crate) use connection_pools::ConnectionPools;
pub use limited_stream::LimitedStream;
pub(crate) use reply_buffers::BUFFERED_BYTES_LIMIT;
pub use reply_buffers::{BufferReservation, MAX_REPLY_BYTES, ReplyBuffers, SHORT_REPLY_BYTES};
pub(crate) use reservation_task::release_lost_reservations;
pub(crate) use upstream_reply::UpstreamReply;
