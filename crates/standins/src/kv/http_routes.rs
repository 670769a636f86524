//! Routing of HTTP requests to the stand-in's contents.

use std::{
    io,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use mux_platform::{
    LeaseId, StoredValue, ValueVersion, VmList,
    memory::{KvState, WriteRefusal},
};
use mux_timer::TimerService;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::json;
use tokio::sync::watch;

use super::{CallCounters, FaultPlan, KvSettings};

type Reply = Response<Full<Bytes>>;

/// Answers the stand-in's requests.
#[derive(Debug)]
pub(crate) struct HttpRoutes {
    timer: TimerService,
    platform: Mutex<PlatformState>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct PlatformState {
    kv: KvState,
    vms: VmList,
    faults: FaultPlan,
    counters: CallCounters,
}

#[derive(Debug, Deserialize)]
struct PutBody {
    value: String,
    expected_version: ValueVersion,
    lease: Option<LeaseId>,
}

#[derive(Debug, Deserialize)]
struct GrantBody {
    ttl_ms: u64,
}

/// Parts of a request.
#[derive(Debug)]
struct CallParts {
    method: Method,
    path: String,
    query: String,
    body: Bytes,
}

impl HttpRoutes {
    /// Creates the routes with the contents that `settings` give.
    pub(crate) fn new(timer: TimerService, settings: KvSettings) -> Self {
        let platform = PlatformState {
            vms: VmList { vms: settings.vms },
            faults: settings.faults,
            ..PlatformState::default()
        };
        Self { timer, platform: Mutex::new(platform), changes: watch::Sender::new(0) }
    }

    /// Answers one request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is to be closed without a reply.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let call = CallParts::read(request).await?;
        if let Some(reply) = self.answer_control(&call) {
            return Ok(reply);
        }
        self.delay().await;
        self.count(&call);
        let faults = self.platform().faults.clone();
        if faults.down {
            return refuse_when_down(&faults);
        }
        if call.path == "/v1/watch" {
            return self.watch(&call).await;
        }
        let reply = self.answer_store(&call);
        self.lose_reply(&call, &reply)?;
        Ok(reply)
    }

    fn answer_control(&self, call: &CallParts) -> Option<Reply> {
        match (&call.method, call.path.as_str()) {
            (&Method::PUT, "/v1/faults") => Some(self.replace(call, |it, new| it.faults = new)),
            (&Method::PUT, "/v1/vms") => Some(self.replace(call, |it, new| it.vms = new)),
            (&Method::GET, "/v1/counters") => Some(ok(&self.platform().counters)),
            _ => None,
        }
    }

    fn replace<T: DeserializeOwned>(
        &self,
        call: &CallParts,
        store: impl FnOnce(&mut PlatformState, T),
    ) -> Reply {
        let Ok(value) = serde_json::from_slice(&call.body) else {
            return bad_request();
        };
        store(&mut self.platform(), value);
        self.notify();
        ok(&json!({}))
    }

    fn answer_store(&self, call: &CallParts) -> Reply {
        if let Some(key) = call.path.strip_prefix("/v1/kv/") {
            return match call.method {
                Method::GET => self.get(key),
                Method::PUT => self.put(key, call),
                Method::DELETE => self.delete(key, call),
                _ => not_found(),
            };
        }
        if let Some(lease) = renewed_lease(call) {
            return self.renew(lease);
        }
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/v1/keys") => self.list(call.parameter("prefix").unwrap_or_default()),
            (&Method::POST, "/v1/leases") => self.grant(call),
            (&Method::GET, "/v1/vms") => ok(&self.platform().vms),
            _ => not_found(),
        }
    }

    fn get(&self, key: &str) -> Reply {
        let mut platform = self.platform();
        let Some(stored) = platform.kv.get(key).cloned() else {
            return not_found();
        };
        platform.count_read(&stored);
        ok(&stored)
    }

    fn list(&self, prefix: &str) -> Reply {
        ok(&json!({ "keys": self.platform().kv.keys(prefix) }))
    }

    fn put(&self, key: &str, call: &CallParts) -> Reply {
        let Ok(body) = serde_json::from_slice::<PutBody>(&call.body) else {
            return bad_request();
        };
        let now = self.timer.now();
        let size = body.value.len();
        let mut platform = self.platform();
        let result = platform.kv.put(now, key, body.value, body.expected_version, body.lease);
        platform.counters.bytes_written += u64::try_from(size).unwrap_or(u64::MAX);
        drop(platform);
        self.write_reply(result)
    }

    fn delete(&self, key: &str, call: &CallParts) -> Reply {
        let Some(expected) = call.number("expected_version") else {
            return bad_request();
        };
        let result = self.platform().kv.delete(key, ValueVersion(expected));
        self.write_reply(result)
    }

    fn write_reply(&self, result: Result<ValueVersion, WriteRefusal>) -> Reply {
        match result {
            Ok(version) => {
                self.notify();
                ok(&json!({ "version": version }))
            }
            Err(WriteRefusal::Version(current)) => {
                reply(StatusCode::CONFLICT, &json!({ "current_version": current }))
            }
            Err(WriteRefusal::Lease) => reply(StatusCode::GONE, &json!({})),
            Err(WriteRefusal::TooLarge) => reply(StatusCode::PAYLOAD_TOO_LARGE, &json!({})),
        }
    }

    fn grant(&self, call: &CallParts) -> Reply {
        let Ok(body) = serde_json::from_slice::<GrantBody>(&call.body) else {
            return bad_request();
        };
        let ttl = Duration::from_millis(body.ttl_ms);
        let lease = self.platform().kv.grant(self.timer.now(), ttl);
        ok(&json!({ "lease": lease }))
    }

    fn renew(&self, lease: LeaseId) -> Reply {
        if self.platform().kv.renew(self.timer.now(), lease) {
            return ok(&json!({ "lease": lease }));
        }
        reply(StatusCode::GONE, &json!({}))
    }

    async fn watch(&self, call: &CallParts) -> io::Result<Reply> {
        let (Some(key), Some(after), Some(limit)) =
            (call.parameter("key"), call.number("after"), call.number("limit_ms"))
        else {
            return Ok(bad_request());
        };
        let wait = self.watch_key(key, ValueVersion(after));
        match self.timer.timeout(Duration::from_millis(limit), wait).await {
            Ok(result) => result,
            Err(_) if self.platform().faults.silent_watches => std::future::pending().await,
            Err(_) => Ok(reply(StatusCode::NO_CONTENT, &())),
        }
    }

    async fn watch_key(&self, key: &str, after: ValueVersion) -> io::Result<Reply> {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if let Some(result) = self.watch_result(key, after) {
                return result;
            }
            changes.changed().await.map_err(io::Error::other)?;
        }
    }

    fn watch_result(&self, key: &str, after: ValueVersion) -> Option<io::Result<Reply>> {
        let mut platform = self.platform();
        if platform.faults.down {
            return Some(refuse_when_down(&platform.faults));
        }
        if platform.faults.silent_watches {
            return None;
        }
        let stored = platform.kv.get(key).filter(|it| after < it.version).cloned()?;
        platform.count_read(&stored);
        Some(Ok(ok(&stored)))
    }

    async fn delay(&self) {
        let delay_ms = self.platform().faults.delay_ms;
        if 0 < delay_ms {
            self.timer.sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    fn lose_reply(&self, call: &CallParts, reply: &Reply) -> io::Result<()> {
        let mut platform = self.platform();
        let lost = call.method != Method::GET
            && reply.status().is_success()
            && 0 < platform.faults.lose_replies;
        if !lost {
            return Ok(());
        }
        platform.faults.lose_replies -= 1;
        Err(io::Error::other("the reply is lost"))
    }

    fn count(&self, call: &CallParts) {
        let counters = &mut self.platform().counters;
        let counter = match (&call.method, call.path.as_str()) {
            (_, "/v1/watch") => &mut counters.watch,
            (_, "/v1/keys") => &mut counters.list,
            (_, "/v1/vms") => &mut counters.vms,
            (&Method::GET, _) => &mut counters.get,
            (&Method::PUT, _) => &mut counters.put,
            (&Method::DELETE, _) => &mut counters.delete,
            _ => &mut counters.lease,
        };
        *counter += 1;
    }

    fn notify(&self) {
        self.changes.send_modify(|it| *it += 1);
    }

    fn platform(&self) -> MutexGuard<'_, PlatformState> {
        self.platform.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PlatformState {
    fn count_read(&mut self, stored: &StoredValue) {
        let size = u64::try_from(stored.value.len()).unwrap_or(u64::MAX);
        self.counters.bytes_read += size;
    }
}

impl CallParts {
    async fn read(request: Request<Incoming>) -> io::Result<Self> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let path = head.uri.path().to_owned();
        let query = head.uri.query().unwrap_or_default().to_owned();
        Ok(Self { method: head.method, path, query, body })
    }

    fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }
}

fn renewed_lease(call: &CallParts) -> Option<LeaseId> {
    let rest = call.path.strip_prefix("/v1/leases/")?;
    let lease = rest.strip_suffix("/renew")?;
    lease.parse().ok().map(LeaseId)
}

fn refuse_when_down(faults: &FaultPlan) -> io::Result<Reply> {
    if faults.close_when_down {
        return Err(io::Error::other("the service is down"));
    }
    Ok(reply(StatusCode::SERVICE_UNAVAILABLE, &json!({})))
}

fn ok<T: Serialize>(body: &T) -> Reply {
    reply(StatusCode::OK, body)
}

fn bad_request() -> Reply {
    reply(StatusCode::BAD_REQUEST, &json!({}))
}

fn not_found() -> Reply {
    reply(StatusCode::NOT_FOUND, &json!({}))
}

fn reply<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let bytes = match status {
        StatusCode::NO_CONTENT => Vec::new(),
        _ => serde_json::to_vec(body).unwrap_or_default(),
    };
    let mut reply = Response::new(Full::new(Bytes::from(bytes)));
    *reply.status_mut() = status;
    reply
}
