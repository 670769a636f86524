//! One caller's request, from its route to its final answer.

mod call_driver;
mod final_answer;
mod query_flow;

pub(crate) use final_answer::{FinalAnswer, failure_answer};
pub(crate) use query_flow::{CallerRequest, QueryFlow};
