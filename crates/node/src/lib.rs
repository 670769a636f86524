//! A node of the query tier: its listeners, background tasks and start-up.

mod caller;
pub mod conf;
mod dispatch;
mod errors;
mod http_thread;
mod metrics;
mod node;
mod operator;
mod peer;
mod run_node;
mod sync;

pub use errors::StartError;
pub use run_node::run;

pub(crate) use node::Node;
