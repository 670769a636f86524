//! HTTP server for callers.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, body::Incoming, header, http::request::Parts};
use mux_http::{
    BodyError, BodyLimits, ConnectionTracker, HttpListener, ListenerContext, receive_body,
};
use mux_model::{RequestId, ServiceName};
use mux_timer::TimerService;
use slog::Logger;
use tokio::sync::mpsc;

use super::{http_reply, query_request::QueryRequest, request_limiter::RequestLimiter};
use crate::{
    Node,
    conf::CallerLimits,
    dispatch::{
        Deduplication, ProblemCode, QueryCommand, QueryOutcome, QueryProblem, SessionRequestId,
    },
};

/// Suggested retry delay when too many requests are in flight, long enough for a few to end.
const TOO_MANY_REQUESTS_RETRY_MS: u64 = 100;
/// Interval at which a stopping server checks whether its connections have ended.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(20);
/// Longest headers of a request, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1_024;

/// A response of this server.
pub(super) type Reply = Response<Full<Bytes>>;

/// HTTP server for callers.
pub(crate) struct CallerServer {
    node: Arc<Node>,
    limiter: Arc<RequestLimiter>,
    limits: CallerLimits,
}

enum Route<'a> {
    Addresses(&'a str),
    Query(&'a str),
}

impl CallerServer {
    /// Creates a server for the callers of `node`.
    pub(crate) fn new(node: Arc<Node>, limits: CallerLimits) -> Self {
        let limiter = Arc::new(RequestLimiter::new(limits.requests, limits.requests_per_ip));
        Self { node, limiter, limits }
    }

    /// Listens on `address` until the process ends, and serves until [`Self::stop`] is called.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be used.
    pub(crate) fn listen(self, address: SocketAddr) -> io::Result<Arc<Self>> {
        let server = Arc::new(self);
        tokio::spawn(HttpListener::bind(address)?.serve(Arc::clone(&server), handle));
        Ok(server)
    }

    /// Closes each connection after its request in flight, and waits at most `limit` for the last.
    pub(crate) async fn stop(&self, limit: Duration) {
        let timer = self.node.timer();
        let connections = self.node.caller_connections();
        connections.start_shutdown();
        let end = timer.now() + limit;
        while 0 < connections.open_count() && timer.now() < end {
            timer.sleep(STOP_CHECK_PERIOD).await;
        }
    }

    async fn handle_request(
        &self,
        caller: SocketAddr,
        request: Request<Incoming>,
    ) -> Result<Reply, QueryProblem> {
        let ip = caller.ip();
        let Some(_permit) = self.limiter.try_acquire(ip) else {
            let message = "too many requests are in flight; wait for answers before sending more";
            return Err(QueryProblem::not_run(ProblemCode::TooManyRequests, message)
                .retry_after_ms(TOO_MANY_REQUESTS_RETRY_MS));
        };
        let (head, body) = request.into_parts();
        match find_route(head.uri.path(), &head.method)? {
            Route::Addresses(service) => self.handle_addresses(service, &head, ip),
            Route::Query(service) => self.handle_query(service, &head, body).await,
        }
    }

    fn handle_addresses(
        &self,
        service: &str,
        head: &Parts,
        ip: IpAddr,
    ) -> Result<Reply, QueryProblem> {
        let parameters = head.uri.query().unwrap_or_default();
        let zone = find_parameter(parameters, "zone");
        let caller = find_parameter(parameters, "caller");
        let caller = caller.map_or_else(|| ip.to_string(), str::to_owned);
        let answer = self.node.resolve_addresses(&ServiceName::from(service), zone, &caller)?;
        Ok(http_reply::json_reply(200, &answer))
    }

    async fn handle_query(
        &self,
        service: &str,
        head: &Parts,
        body: Incoming,
    ) -> Result<Reply, QueryProblem> {
        check_content_type(head)?;
        let body = self.receive_body(head, body).await?;
        let request = QueryRequest::parse(&body)?;
        let command = QueryCommand {
            request: RequestId::random(),
            service: ServiceName::from(service),
            // A copy would not count in the memory for bodies.
            body: body.slice_ref(request.query.get().as_bytes()),
            deadline_ms: request.deadline_ms,
            deduplication: request
                .session
                .zip(request.sequence)
                .map_or(Deduplication::Untracked, |(token, sequence)| {
                    Deduplication::Pending(SessionRequestId { token, sequence })
                }),
            hops: 0,
        };
        let outcome = self.run(command).await;
        let alternatives = match outcome.result {
            Ok(_) => Vec::new(),
            Err(_) => self.node.alternative_addresses(),
        };
        Ok(http_reply::outcome_reply(&outcome, &alternatives))
    }

    /// Runs a query in a separate task.
    ///
    /// Dropping this future signals to the task that the caller has disconnected.
    async fn run(&self, command: QueryCommand) -> QueryOutcome {
        let request = command.request;
        let node = Arc::clone(&self.node);
        let (caller_guard, caller_disconnected) = mpsc::channel(1);
        let dispatch =
            async move { node.dispatcher().dispatch(command, caller_disconnected).await };
        let task = tokio::spawn(dispatch);
        let outcome = tokio::select! {
            biased;
            outcome = task => outcome,
            () = self.node.wait_for_interruption() => return QueryOutcome::interrupted(request),
        };
        drop(caller_guard);
        outcome.unwrap_or_else(|_| QueryOutcome {
            request,
            result: Err(QueryProblem::may_have_run(
                ProblemCode::Internal,
                "the node failed while it ran the query",
            )),
        })
    }

    async fn receive_body(&self, head: &Parts, body: Incoming) -> Result<Bytes, QueryProblem> {
        let limits = BodyLimits {
            max_bytes: self.limits.body_bytes,
            receive_time: Duration::from_millis(self.limits.receive_ms),
        };
        let (timer, account) = (self.node.timer(), self.node.body_buffers());
        let received = receive_body(timer, account, head, body, limits).await;
        received.map_err(|error| match error {
            BodyError::TooLong => {
                let message = format!("the body is larger than {} bytes", self.limits.body_bytes);
                QueryProblem::not_run(ProblemCode::BodyTooLarge, message)
            }
            BodyError::TimedOut => {
                let message = "the body did not arrive in time; send it at once";
                QueryProblem::not_run(ProblemCode::ReceiveTimeout, message)
            }
            BodyError::Malformed(error) => {
                let message = format!("the body ended early: {error}");
                QueryProblem::not_run(ProblemCode::MalformedRequest, message)
            }
            BodyError::NoMemory(error) => self.node.no_memory_problem(error),
        })
    }
}

impl ListenerContext for CallerServer {
    fn timer(&self) -> &TimerService {
        self.node.timer()
    }

    fn logger(&self) -> &Logger {
        self.node.logger()
    }

    fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.receive_ms)
    }

    fn max_header_bytes(&self) -> usize {
        MAX_HEADER_BYTES
    }

    fn max_connections(&self) -> usize {
        self.node.max_caller_connections()
    }

    fn connection_tracker(&self) -> &ConnectionTracker {
        self.node.caller_connections()
    }
}

async fn handle(
    server: Arc<CallerServer>,
    caller: SocketAddr,
    request: Request<Incoming>,
) -> Reply {
    match server.handle_request(caller, request).await {
        Ok(reply) => reply,
        Err(problem) => {
            server.node.count_rejected_request(&problem);
            http_reply::problem_reply(None, &problem, &[])
        }
    }
}

fn find_route<'a>(path: &'a str, method: &Method) -> Result<Route<'a>, QueryProblem> {
    let unknown = || {
        let message = "no such path; use GET /v1/services/{service}/addresses or \
                       POST /v1/services/{service}/query";
        QueryProblem::not_run(ProblemCode::UnknownPath, message)
    };
    let rest = path.strip_prefix("/v1/services/").ok_or_else(unknown)?;
    let (service, resource) = rest.split_once('/').ok_or_else(unknown)?;
    let (route, expected) = match resource {
        "addresses" => (Route::Addresses(service), Method::GET),
        "query" => (Route::Query(service), Method::POST),
        _ => return Err(unknown()),
    };
    if *method != expected {
        let message = format!("this path takes {expected} only");
        return Err(QueryProblem::not_run(ProblemCode::MethodNotAllowed, message));
    }
    Ok(route)
}

fn check_content_type(head: &Parts) -> Result<(), QueryProblem> {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let text = content_type.and_then(|it| it.to_str().ok()).unwrap_or_default();
    if text.split(';').next().unwrap_or_default().trim() == "application/json" {
        return Ok(());
    }
    let message = "the content type must be application/json";
    Err(QueryProblem::not_run(ProblemCode::UnsupportedMediaType, message))
}

fn find_parameter<'a>(parameters: &'a str, name: &str) -> Option<&'a str> {
    parameters
        .split('&')
        .filter_map(|it| it.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
