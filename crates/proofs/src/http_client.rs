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

/// Keep-alive HTTP/1.1 client.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A reply whose head arrived.
#[derive(Debug, Clone)]
pub struct HttpReply {
    /// Status.
    pub status: StatusCode,
    /// Bytes of the body as far as they arrived.
    pub body: Bytes,
    /// Whether as many bytes arrived as `content-length` says.
    pub complete: bool,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        // A test that counts runs has to see each request that is sent, and only those.
        builder.retry_canceled_requests(false);
        Self { client: builder.build(connector) }
    }

    /// Sends a request with a JSON content type; `None` if no head of a reply came.
    pub async fn send(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Option<HttpReply> {
        self.send_typed(method, at, path, "application/json", body).await
    }

    /// Sends a request with a content type; `None` if no head of a reply came.
    pub async fn send_typed(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        content_type: &str,
        body: impl Into<Bytes>,
    ) -> Option<HttpReply> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{at}{path}"))
            .header(CONTENT_TYPE, content_type)
            .body(Full::new(body.into()))
            .ok()?;
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.map(|it| it.to_bytes());
        let complete = body.is_ok();
        Some(HttpReply { status, body: body.unwrap_or_default(), complete })
    }

    /// Reads a JSON resource; `None` if it can't be read.
    pub async fn get(&self, at: SocketAddr, path: &str) -> Option<Value> {
        self.send(Method::GET, at, path, Bytes::new()).await?.json()
    }

    /// Replaces a JSON resource; `None` if that failed.
    pub async fn put(&self, at: SocketAddr, path: &str, content: &Value) -> Option<Value> {
        let reply = self.send(Method::PUT, at, path, content.to_string()).await?;
        reply.status.is_success().then(|| reply.json())?
    }
}

impl HttpReply {
    /// Parses the body; `None` if it is cut off or no JSON.
    pub fn json(&self) -> Option<Value> {
        if !self.complete {
            return None;
        }
        serde_json::from_slice(&self.body).ok()
    }
}
