//! HTTP server for `/metrics` and `/health`.

use std::{io, net::SocketAddr, sync::Arc};

use xitca_server::ServerFuture;
use xitca_web::{
    App, WebContext,
    body::ResponseBody,
    handler::handler_service,
    http::{HeaderValue, StatusCode, WebResponse, header},
    route::get,
};

use crate::Node;

/// HTTP server for metrics and health checks.
#[derive(Clone)]
pub(crate) struct MetricsServer {
    node: Arc<Node>,
}

impl MetricsServer {
    /// Creates a server for the metrics of `node`.
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    /// Listens on `address` and returns the server to run.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be used.
    pub(crate) fn listen(self, address: SocketAddr) -> io::Result<ServerFuture> {
        let server = App::new()
            .at("/metrics", get(handler_service(serve_metrics)))
            .at("/health", get(handler_service(serve_health)))
            .with_state(self)
            .serve()
            .worker_threads(1)
            .disable_signal()
            .bind(address)?;
        Ok(server.run())
    }
}

async fn serve_metrics(ctx: &WebContext<'_, MetricsServer>) -> WebResponse {
    let server: &MetricsServer = ctx.state();
    text_reply(StatusCode::OK, server.node.render_metrics())
}

async fn serve_health(ctx: &WebContext<'_, MetricsServer>) -> WebResponse {
    let server: &MetricsServer = ctx.state();
    match server.node.check_admission() {
        Ok(()) => text_reply(StatusCode::OK, "ready\n".to_owned()),
        Err(problem) => {
            text_reply(StatusCode::SERVICE_UNAVAILABLE, format!("{}\n", problem.message))
        }
    }
}

fn text_reply(status: StatusCode, text: String) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::from(text));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
