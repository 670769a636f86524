//! HTTP client of a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

/// Keep-alive HTTP/1.1 client.
#[derive(Debug, Clone)]
pub(crate) struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl CallerClient {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Fetches a JSON resource; `None` if the request fails or the body is malformed.
    pub(crate) async fn get<T: DeserializeOwned>(&self, at: SocketAddr, path: &str) -> Option<T> {
        self.send(Method::GET, at, path, Bytes::new()).await
    }

    /// Sends a JSON body and parses the JSON reply, whatever its status; `None` on failure.
    pub(crate) async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Option<T> {
        let body = self.exchange(method, at, path, body).await?;
        serde_json::from_slice(&body).ok()
    }

    /// Fetches a text resource; `None` if the request fails or the body is not UTF-8.
    pub(crate) async fn get_text(&self, at: SocketAddr, path: &str) -> Option<String> {
        let body = self.exchange(Method::GET, at, path, Bytes::new()).await?;
        String::from_utf8(body.into()).ok()
    }

    async fn exchange(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Option<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{at}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .ok()?;
        let response: Response<Incoming> = self.client.request(request).await.ok()?;
        Some(response.into_body().collect().await.ok()?.to_bytes())
    }
}
