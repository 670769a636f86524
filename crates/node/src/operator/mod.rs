//! RPC interface for operators.

mod change_reply;
mod operator_server;

pub(crate) use operator_server::OperatorServer;
