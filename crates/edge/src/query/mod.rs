//! Handling of a caller's request, from the route lookup to the final answer.

mod assisted_answer;
mod call_driver;
mod caller_request;
mod dispatch_summary;
mod final_answer;
mod helped_request;
mod outdated_config;
mod request_handler;
mod workspace_admission;

pub(crate) use caller_request::{CallerRequest, RequestOrigin};
pub(crate) use final_answer::{FinalAnswer, failure_answer, refusal_answer, stopping_answer};
pub(crate) use helped_request::serve_forwarded;
pub(crate) use request_handler::RequestHandler;
