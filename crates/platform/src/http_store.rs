//! Client of the key-value service over HTTP/1.1.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, Error as ClientError, connect::HttpConnector},
    rt::TokioExecutor,
};
use mux_timer::TimerService;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{KvStore, LeaseId, StoreError, StoredValue, ValueVersion, VmList};

/// Settings of [`HttpStore`].
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// Address of the key-value service.
    pub address: SocketAddr,
    /// Longest time that a call may take; a watch may take its own limit on top.
    pub call_limit: Duration,
}

/// [`KvStore`] that calls the platform's service over HTTP; clones share their connections.
#[derive(Debug, Clone)]
pub struct HttpStore {
    inner: Arc<StoreClient>,
}

#[derive(Debug)]
struct StoreClient {
    timer: TimerService,
    client: Client<HttpConnector, Full<Bytes>>,
    address: Mutex<SocketAddr>,
    call_limit: Duration,
    calls: AtomicU64,
}

/// One call before it is sent.
#[derive(Debug)]
struct StoreCall {
    method: Method,
    path: String,
    body: Vec<u8>,
    limit: Duration,
}

/// A complete reply.
#[derive(Debug)]
struct StoreReply {
    status: StatusCode,
    body: Bytes,
}

#[derive(Debug, Serialize)]
struct PutBody<'a> {
    value: &'a str,
    expected_version: ValueVersion,
    lease: Option<LeaseId>,
}

#[derive(Debug, Serialize)]
struct GrantBody {
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct VersionBody {
    version: ValueVersion,
}

#[derive(Debug, Deserialize)]
struct ConflictBody {
    current_version: ValueVersion,
}

#[derive(Debug, Deserialize)]
struct KeysBody {
    keys: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct LeaseBody {
    lease: LeaseId,
}

impl HttpStore {
    /// Creates a client; connections are opened when they are needed.
    pub fn new(timer: TimerService, settings: &StoreSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.call_limit));
        let inner = StoreClient {
            timer,
            client: Client::builder(TokioExecutor::new()).build(connector),
            address: Mutex::new(settings.address),
            call_limit: settings.call_limit,
            calls: AtomicU64::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Directs later calls to `address`.
    pub fn point_to(&self, address: SocketAddr) {
        *self.inner.address.lock().unwrap_or_else(PoisonError::into_inner) = address;
    }

    /// Returns the number of calls so far; a waiting watch counts as one.
    pub fn call_count(&self) -> u64 {
        self.inner.calls.load(Ordering::Relaxed)
    }

    fn call(&self, method: Method, path: String) -> StoreCall {
        StoreCall { method, path, body: Vec::new(), limit: self.inner.call_limit }
    }

    async fn send(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        let writes = call.method != Method::GET;
        self.inner.calls.fetch_add(1, Ordering::Relaxed);
        match self.inner.timer.timeout(call.limit, self.inner.exchange(call)).await {
            Ok(Ok(reply)) => reply.refuse_errors(writes),
            Ok(Err(StoreError::Unknown(why))) => Err(sent_failure(writes, why)),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(sent_failure(writes, "no reply in time".to_owned())),
        }
    }
}

impl KvStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let call = self.call(Method::GET, key_path(key)?);
        let reply = self.send(call).await?;
        match reply.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => reply.read().map(Some),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        let path = format!("/v1/keys?prefix={}", checked_key(prefix)?);
        let reply = self.send(self.call(Method::GET, path)).await?;
        let body: KeysBody = reply.read()?;
        Ok(body.keys)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &str,
        expected: ValueVersion,
        lease: Option<LeaseId>,
    ) -> Result<ValueVersion, StoreError> {
        let call = self.call(Method::PUT, key_path(key)?);
        let call = call.with_body(&PutBody { value, expected_version: expected, lease })?;
        let body: VersionBody = self.send(call).await?.read_written()?;
        Ok(body.version)
    }

    async fn delete(&self, key: &str, expected: ValueVersion) -> Result<(), StoreError> {
        let path = format!("{}?expected_version={}", key_path(key)?, expected.0);
        let _: VersionBody = self.send(self.call(Method::DELETE, path)).await?.read_written()?;
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        after: ValueVersion,
        limit: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        let key = checked_key(key)?;
        let limit_ms = limit.as_millis();
        let path = format!("/v1/watch?key={key}&after={}&limit_ms={limit_ms}", after.0);
        let mut call = self.call(Method::GET, path);
        call.limit += limit;
        let reply = self.send(call).await?;
        match reply.status {
            StatusCode::NO_CONTENT => Ok(None),
            _ => reply.read().map(Some),
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let call = self.call(Method::POST, "/v1/leases".to_owned());
        let call = call.with_body(&GrantBody { ttl_ms })?;
        let body: LeaseBody = self.send(call).await?.read_written()?;
        Ok(body.lease)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let path = format!("/v1/leases/{}/renew", lease.0);
        let _: LeaseBody = self.send(self.call(Method::POST, path)).await?.read_written()?;
        Ok(())
    }

    async fn list_vms(&self) -> Result<VmList, StoreError> {
        let call = self.call(Method::GET, "/v1/vms".to_owned());
        self.send(call).await?.read()
    }
}

impl StoreClient {
    async fn exchange(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        let request = self.request(call)?;
        let response = self.client.request(request).await.map_err(client_failure)?;
        let status = response.status();
        let body = collect_body(response.into_body()).await?;
        Ok(StoreReply { status, body })
    }

    fn request(&self, call: StoreCall) -> Result<Request<Full<Bytes>>, StoreError> {
        let address = *self.address.lock().unwrap_or_else(PoisonError::into_inner);
        Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path))
            .body(Full::new(Bytes::from(call.body)))
            .map_err(|error| StoreError::Unavailable(error.to_string()))
    }
}

impl StoreCall {
    fn with_body<T: Serialize>(mut self, body: &T) -> Result<Self, StoreError> {
        let body = serde_json::to_vec(body);
        self.body = body.map_err(|error| StoreError::Unavailable(error.to_string()))?;
        Ok(self)
    }
}

impl StoreReply {
    fn refuse_errors(self, writes: bool) -> Result<Self, StoreError> {
        match self.status {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(self),
            StatusCode::NOT_FOUND if !writes => Ok(self),
            StatusCode::CONFLICT => Err(self.conflict(writes)),
            StatusCode::GONE => Err(StoreError::LeaseLapsed),
            status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(StoreError::Unavailable(format!("refused with status {status}")))
            }
            status => Err(sent_failure(writes, format!("status {status}"))),
        }
    }

    fn conflict(&self, writes: bool) -> StoreError {
        match serde_json::from_slice::<ConflictBody>(&self.body) {
            Ok(body) => StoreError::VersionMismatch { current: body.current_version },
            Err(error) => sent_failure(writes, error.to_string()),
        }
    }

    fn read<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| StoreError::Unavailable(format!("malformed reply: {error}")))
    }

    fn read_written<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| StoreError::Unknown(format!("malformed reply: {error}")))
    }
}

async fn collect_body(body: Incoming) -> Result<Bytes, StoreError> {
    let collected = body.collect().await;
    let body = collected.map_err(|error| StoreError::Unknown(error.to_string()))?;
    Ok(body.to_bytes())
}

/// Classifies a failed exchange; only a failed connect proves that nothing was sent.
fn client_failure(error: ClientError) -> StoreError {
    if error.is_connect() {
        return StoreError::Unavailable(error.to_string());
    }
    StoreError::Unknown(error.to_string())
}

/// Returns the failure of a call that may have been sent; a read has no effect to be unsure of.
fn sent_failure(writes: bool, why: String) -> StoreError {
    if writes { StoreError::Unknown(why) } else { StoreError::Unavailable(why) }
}

fn key_path(key: &str) -> Result<String, StoreError> {
    Ok(format!("/v1/kv/{}", checked_key(key)?))
}

fn checked_key(key: &str) -> Result<&str, StoreError> {
    let allowed = |it: u8| it.is_ascii_alphanumeric() || b"._-/".contains(&it);
    if key.bytes().all(allowed) {
        return Ok(key);
    }
    Err(StoreError::Unavailable(format!("key {key:?} has characters that are not allowed")))
}
