//! HTTP/1.1 client of the tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

/// HTTP/1.1 client with persistent connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Reply whose head was received, even if its body was not received completely.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// HTTP status.
    pub status: StatusCode,
    /// The body, empty if it was truncated.
    pub body: Bytes,
    /// Whether the whole body was received.
    pub complete: bool,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client that connects with its first request.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        // The client sends no request twice, as tests count the runs of each request.
        builder.retry_canceled_requests(false);
        Self { client: builder.build(connector) }
    }

    /// Sends a request with a JSON content type; returns `None` if no reply head is received.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Option<HttpReply> {
        self.send_typed(method, address, path, "application/json", body).await
    }

    /// Sends a request with a content type; returns `None` if no reply head is received.
    pub async fn send_typed(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        content_type: &str,
        body: impl Into<Bytes>,
    ) -> Option<HttpReply> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, content_type)
            .body(Full::new(body.into()))
            .ok()?;
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.map(|it| it.to_bytes());
        let complete = body.is_ok();
        Some(HttpReply { status, body: body.unwrap_or_default(), complete })
    }

    /// Reads a JSON resource; returns `None` on failure.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Value> {
        self.send(Method::GET, address, path, Bytes::new()).await?.json()
    }

    /// Replaces a JSON resource; returns `None` on failure.
    pub async fn put(&self, address: SocketAddr, path: &str, content: &Value) -> Option<Value> {
        let reply = self.send(Method::PUT, address, path, content.to_string()).await?;
        reply.status.is_success().then(|| reply.json())?
    }
}

impl HttpReply {
    /// Parses the body; returns `None` if it is truncated or not JSON.
    pub fn json(&self) -> Option<Value> {
        if !self.complete {
            return None;
        }
        serde_json::from_slice(&self.body).ok()
    }
}
