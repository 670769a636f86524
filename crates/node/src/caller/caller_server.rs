//! The HTTP server for callers.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::Arc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use mux_model::{RequestId, ServiceName};
use tokio::{runtime::Handle, sync::mpsc};
use xitca_server::ServerFuture;
use xitca_web::{
    App, WebContext,
    body::{BodyExt, RequestBody},
    handler::{body::Body, handler_service},
    http::{Method, WebResponse, header},
};

use super::{http_reply, query_request::QueryRequest, request_gate::RequestGate};
use crate::{
    Node,
    conf::CallerLimits,
    dispatch::{ProblemCode, QueryCommand, QueryOutcome, QueryProblem, SessionClaim, SessionUse},
};

const HEADER_COUNT_LIMIT: usize = 32;
const READ_BUFFER_BYTES: usize = 65_536;
const BUSY_RETRY_MS: u64 = 100;

/// Serves callers on threads of its own and hands queries to the node's runtime.
#[derive(Clone)]
pub(crate) struct CallerServer {
    node: Arc<Node>,
    runtime: Handle,
    gate: Arc<RequestGate>,
    limits: CallerLimits,
}

enum Route<'a> {
    Addresses(&'a str),
    Query(&'a str),
}

impl CallerServer {
    /// Creates a server that runs queries on `runtime`.
    pub(crate) fn new(node: Arc<Node>, runtime: Handle, limits: CallerLimits) -> Self {
        let gate = Arc::new(RequestGate::new(limits.requests, limits.requests_per_ip));
        Self { node, runtime, gate, limits }
    }

    /// Listens on `address` and serves until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be used.
    pub(crate) fn listen(self, address: SocketAddr) -> io::Result<ServerFuture> {
        let threads = self.limits.threads;
        let receive = Duration::from_millis(self.limits.receive_ms);
        let server = App::new()
            .at("/", handler_service(handle))
            .at("/{*path}", handler_service(handle))
            .with_state(self)
            .serve()
            .worker_threads(threads)
            .request_head_timeout(receive)
            .max_read_buf_size::<READ_BUFFER_BYTES>()
            .max_request_headers::<HEADER_COUNT_LIMIT>()
            .disable_signal()
            .bind(address)?;
        Ok(server.run())
    }

    async fn answer(&self, ctx: &WebContext<'_, Self>) -> Result<WebResponse, QueryProblem> {
        let ip = ctx.req().body().socket_addr().ip();
        let Some(_permit) = self.gate.enter(ip) else {
            let message = "too many requests are in flight; wait for answers before sending more";
            return Err(QueryProblem::not_run(ProblemCode::TooManyRequests, message)
                .retry_after_ms(BUSY_RETRY_MS));
        };
        match find_route(ctx.req().uri().path(), ctx.req().method())? {
            Route::Addresses(service) => self.answer_addresses(service, ctx, ip),
            Route::Query(service) => self.answer_query(service, ctx).await,
        }
    }

    fn answer_addresses(
        &self,
        service: &str,
        ctx: &WebContext<'_, Self>,
        ip: IpAddr,
    ) -> Result<WebResponse, QueryProblem> {
        let parameters = ctx.req().uri().query().unwrap_or_default();
        let zone = find_parameter(parameters, "zone");
        let caller = find_parameter(parameters, "caller");
        let caller = caller.map_or_else(|| ip.to_string(), str::to_owned);
        let answer = self.node.answer_addresses(&ServiceName::from(service), zone, &caller)?;
        Ok(http_reply::json_reply(200, &answer))
    }

    async fn answer_query(
        &self,
        service: &str,
        ctx: &WebContext<'_, Self>,
    ) -> Result<WebResponse, QueryProblem> {
        check_content_type(ctx)?;
        let body = self.receive_body(ctx).await?;
        let request = QueryRequest::parse(&body)?;
        let command = QueryCommand {
            request: RequestId::random(),
            service: ServiceName::from(service),
            body: Bytes::copy_from_slice(request.query.get().as_bytes()),
            deadline_ms: request.deadline_ms,
            claim: request
                .session
                .zip(request.sequence)
                .map_or(SessionClaim::Unnamed, |(token, sequence)| {
                    SessionClaim::Named(SessionUse { token, sequence })
                }),
            hops: 0,
        };
        let outcome = self.run(command).await;
        let others = match outcome.result {
            Ok(_) => Vec::new(),
            Err(_) => self.node.other_addresses(),
        };
        Ok(http_reply::outcome_reply(&outcome, &others))
    }

    /// Runs a query on the node's runtime; dropping the future tells the query so.
    async fn run(&self, command: QueryCommand) -> QueryOutcome {
        let request = command.request;
        let node = Arc::clone(&self.node);
        let (guard, caller_gone) = mpsc::channel(1);
        let task = self
            .runtime
            .spawn(async move { node.dispatcher().dispatch(command, caller_gone).await });
        let outcome = task.await;
        drop(guard);
        outcome.unwrap_or_else(|_| QueryOutcome {
            request,
            result: Err(QueryProblem::may_have_run(
                ProblemCode::Internal,
                "the node failed while it ran the query",
            )),
        })
    }

    async fn receive_body(&self, ctx: &WebContext<'_, Self>) -> Result<Bytes, QueryProblem> {
        let limit = Duration::from_millis(self.limits.receive_ms);
        let received = self.node.timer().timeout(limit, self.read_body(ctx)).await;
        received.unwrap_or_else(|_| {
            let message = "the body did not arrive in time; send it at once";
            Err(QueryProblem::not_run(ProblemCode::ReceiveTimeout, message))
        })
    }

    async fn read_body(&self, ctx: &WebContext<'_, Self>) -> Result<Bytes, QueryProblem> {
        let body: RequestBody =
            ctx.extract::<Body<RequestBody>>().await.map(|it| it.0).map_err(|error| {
                QueryProblem::not_run(ProblemCode::MalformedRequest, error.to_string())
            })?;
        let mut body = pin!(body);
        let mut buffer = BytesMut::new();
        while let Some(chunk) = body.as_mut().data().await {
            let chunk = chunk.map_err(|error| {
                let message = format!("the body ended early: {error}");
                QueryProblem::not_run(ProblemCode::MalformedRequest, message)
            })?;
            if self.limits.body_bytes < buffer.len() + chunk.len() {
                let message = format!("the body is larger than {} bytes", self.limits.body_bytes);
                return Err(QueryProblem::not_run(ProblemCode::BodyTooLarge, message));
            }
            buffer.extend_from_slice(&chunk);
        }
        Ok(buffer.freeze())
    }
}

async fn handle(ctx: &WebContext<'_, CallerServer>) -> WebResponse {
    let server: &CallerServer = ctx.state();
    match server.answer(ctx).await {
        Ok(response) => response,
        Err(problem) => {
            server.node.count_refusal(&problem);
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
    let (service, last) = rest.split_once('/').ok_or_else(unknown)?;
    let (route, expected) = match last {
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

fn check_content_type(ctx: &WebContext<'_, CallerServer>) -> Result<(), QueryProblem> {
    let content_type = ctx.req().headers().get(header::CONTENT_TYPE);
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
