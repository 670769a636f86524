//! The body of a query request.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::dispatch::{ProblemCode, QueryProblem};

/// A query as received from a caller.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct QueryRequest<'a> {
    /// The query, any JSON value, which is forwarded to the upstreams.
    #[serde(borrow)]
    pub(crate) query: &'a RawValue,
    /// Time for which the caller waits, in milliseconds; at least 1.
    pub(crate) deadline_ms: Option<u64>,
    /// Session token.
    pub(crate) session: Option<String>,
    /// Sequence number of the request within the session.
    pub(crate) sequence: Option<u64>,
}

impl<'a> QueryRequest<'a> {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns a problem with the cause and the verdict that the query did not run.
    pub(crate) fn parse(body: &'a [u8]) -> Result<Self, QueryProblem> {
        let request: Self = serde_json::from_slice(body).map_err(|error| {
            malformed_request(format!("the body is not a valid query request: {error}"))
        })?;
        if request.deadline_ms == Some(0) {
            return Err(malformed_request("`deadline_ms` is 0; give at least 1, or leave it out"));
        }
        if request.session.is_some() != request.sequence.is_some() {
            return Err(malformed_request(
                "`session` and `sequence` go together; give both or neither",
            ));
        }
        Ok(request)
    }
}

fn malformed_request(message: impl Into<String>) -> QueryProblem {
    QueryProblem::not_run(ProblemCode::MalformedRequest, message)
}
