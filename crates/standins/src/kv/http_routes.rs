//! Routing of HTTP requests to the stand-in's contents.

use std::{
    io,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::{Method, Request, StatusCode, body::Incoming};
use mux_store::{
    LeaseId, StoredValue, ValueVersion, VmList,
    memory::{KvState, KvWrite, WriteError},
};
use mux_timer::TimerService;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::sync::watch;

use super::{
    CallCounters, FaultPlan, KvSettings,
    call_parts::{CallParts, EntryBody, LeaseBody, TxnBody, decode_write},
    replies::{Reply, bad_request, events, item, not_found, ok, refuse_when_down, reply},
};

/// Entries in one page of a range.
const PAGE_ENTRIES: usize = 50;
/// Period in which a waiting watch looks for keys whose leases have lapsed.
const LAPSE_CHECK: Duration = Duration::from_millis(50);
/// Beginnings of keys that only the operators and upstreams write.
const FOREIGN_PREFIXES: [&str; 2] = ["op/", "servers/"];
/// Key of the VM list.
const VM_LIST_KEY: &str = "vms";

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
    faults: FaultPlan,
    counters: CallCounters,
    history_drops: u64,
}

impl HttpRoutes {
    /// Creates the routes with the contents that `settings` give.
    pub(crate) fn new(timer: TimerService, settings: KvSettings) -> Self {
        let platform = PlatformState { faults: settings.faults, ..PlatformState::default() };
        let routes = Self { timer, platform: Mutex::new(platform), changes: watch::Sender::new(0) };
        routes.set_vms(&VmList { vms: settings.vms });
        routes
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
        self.expire();
        let faults = self.platform().faults.clone();
        if faults.down {
            return refuse_when_down(&faults);
        }
        if call.path == "/api/kv-watch" {
            return self.watch(&call).await;
        }
        let reply = self.answer_store(&call);
        self.lose_reply(&call, &reply)?;
        Ok(reply)
    }

    fn answer_control(&self, call: &CallParts) -> Option<Reply> {
        match (&call.method, call.path.as_str()) {
            (&Method::PUT, "/v1/faults") => {
                let faults = self.steer(call, |routes, new| routes.platform().faults = new);
                Some(faults)
            }
            (&Method::PUT, "/v1/vms") => {
                Some(self.steer(call, |routes, vms: VmList| routes.set_vms(&vms)))
            }
            (&Method::PUT, "/v1/entries") => {
                Some(self.steer(call, |routes, entry: EntryBody| routes.set(entry)))
            }
            (&Method::POST, "/v1/forget") => {
                let mut platform = self.platform();
                platform.kv.compact_history();
                platform.history_drops += 1;
                drop(platform);
                self.notify();
                Some(ok(&json!({})))
            }
            (&Method::GET, "/v1/counters") => Some(ok(&self.platform().counters)),
            _ => None,
        }
    }

    fn steer<T: DeserializeOwned>(&self, call: &CallParts, act: impl FnOnce(&Self, T)) -> Reply {
        let Ok(value) = serde_json::from_slice(&call.body) else {
            return bad_request();
        };
        act(self, value);
        self.notify();
        ok(&json!({}))
    }

    fn set_vms(&self, vms: &VmList) {
        let value = serde_json::to_string(vms).unwrap_or_default();
        self.set(EntryBody { key: VM_LIST_KEY.to_owned(), value: Some(value) });
    }

    fn set(&self, entry: EntryBody) {
        let now = self.timer.now();
        let EntryBody { key, value } = entry;
        let mut platform = self.platform();
        // Nothing is compared and no lease is named, so that only a large value is refused.
        let _ = match value {
            Some(value) => {
                platform.kv.apply(now, &[], vec![KvWrite { key, value, lease: None }], &[])
            }
            None => platform.kv.apply(now, &[], Vec::new(), &[key]),
        };
    }

    fn answer_store(&self, call: &CallParts) -> Reply {
        if let Some(lease) = call.number_after("/api/kv-keep/") {
            return self.renew(LeaseId(lease));
        }
        if let Some(lease) = call.number_after("/api/kv-lease-end/") {
            let is_known = self.platform().kv.end_lease(LeaseId(lease));
            self.notify();
            return if is_known { ok(&json!({})) } else { not_found() };
        }
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/api/kv-key") => self.get(&call.parameter("Key").unwrap_or_default()),
            (&Method::GET, "/api/kv-range") => self.range(call),
            (&Method::POST, "/api/kv-txn") => self.txn(call),
            (&Method::POST, "/api/kv-lease") => self.grant(call),
            _ => not_found(),
        }
    }

    fn get(&self, key: &str) -> Reply {
        let mut platform = self.platform();
        let Some(stored) = platform.kv.get(key).cloned() else {
            return not_found();
        };
        platform.count_read(&stored);
        let mut body = item(key, &stored);
        body["AtRev"] = json!(platform.kv.version());
        ok(&body)
    }

    fn range(&self, call: &CallParts) -> Reply {
        let prefix = call.parameter("Prefix").unwrap_or_default();
        let after = call.parameter("after");
        let platform = self.platform();
        let is_later = |key: &str| after.as_deref().is_none_or(|it| it < key);
        let mut rows = platform.kv.entries(&prefix).filter(|(key, _)| is_later(key));
        let items: Vec<_> =
            rows.by_ref().take(PAGE_ENTRIES).map(|(key, it)| item(key, it)).collect();
        let more = rows.next().is_some();
        ok(&json!({ "items": items, "MorePages": more, "AtRev": platform.kv.version() }))
    }

    fn txn(&self, call: &CallParts) -> Reply {
        let Ok(body) = serde_json::from_slice::<TxnBody>(&call.body) else {
            return bad_request();
        };
        let mut keys = body.writes.iter().map(|it| &it.key).chain(&body.deletes);
        if keys.any(|key| FOREIGN_PREFIXES.iter().any(|it| key.starts_with(it))) {
            return reply(StatusCode::FORBIDDEN, &json!({}));
        }
        let writes: Option<Vec<_>> = body.writes.into_iter().map(decode_write).collect();
        let Some(writes) = writes else {
            return bad_request();
        };
        let size: usize = writes.iter().map(|it| it.value.len()).sum();
        let expected: Vec<_> =
            body.expected_rev.into_iter().map(|it| (it.key, it.revision)).collect();
        let mut platform = self.platform();
        let result = platform.kv.apply(self.timer.now(), &expected, writes, &body.deletes);
        platform.counters.bytes_written += u64::try_from(size).unwrap_or(u64::MAX);
        drop(platform);
        match result {
            Ok(version) => {
                self.notify();
                ok(&json!({ "Revision": version }))
            }
            Err(WriteError::VersionMismatch(current)) => {
                let row = |(key, version)| json!({ "Key": key, "Revision": version });
                let items: Vec<_> = current.into_iter().map(row).collect();
                reply(StatusCode::PRECONDITION_FAILED, &json!({ "items": items }))
            }
            Err(WriteError::LeaseExpired) => not_found(),
            Err(WriteError::ValueTooLarge) => reply(StatusCode::PAYLOAD_TOO_LARGE, &json!({})),
        }
    }

    fn grant(&self, call: &CallParts) -> Reply {
        let Ok(body) = serde_json::from_slice::<LeaseBody>(&call.body) else {
            return bad_request();
        };
        let ttl = Duration::from_millis(body.ttl_ms);
        let lease = self.platform().kv.grant(self.timer.now(), ttl);
        ok(&json!({ "LeaseId": lease, "TtlMs": body.ttl_ms }))
    }

    fn renew(&self, lease: LeaseId) -> Reply {
        if self.platform().kv.renew(self.timer.now(), lease) {
            return ok(&json!({ "TtlMs": 0 }));
        }
        not_found()
    }

    async fn watch(&self, call: &CallParts) -> io::Result<Reply> {
        let (Some(prefix), Some(after), Some(wait_ms)) =
            (call.parameter("Prefix"), call.number("after"), call.number("WaitMs"))
        else {
            return Ok(bad_request());
        };
        {
            let counters = &mut self.platform().counters;
            counters.longest_wait_ms = counters.longest_wait_ms.max(wait_ms);
        }
        let wait = self.watch_prefix(&prefix, ValueVersion(after));
        match self.timer.timeout(Duration::from_millis(wait_ms), wait).await {
            Ok(result) => result,
            Err(_) if self.platform().faults.silent_watches => std::future::pending().await,
            Err(_) => Ok(events(&[], ValueVersion(after))),
        }
    }

    async fn watch_prefix(&self, prefix: &str, after: ValueVersion) -> io::Result<Reply> {
        let mut changes = self.changes.subscribe();
        let drops = self.platform().history_drops;
        loop {
            changes.borrow_and_update();
            self.expire();
            if self.platform().history_drops != drops {
                // A watch that waited meanwhile hears nothing more.
                return std::future::pending().await;
            }
            if let Some(result) = self.watch_result(prefix, after) {
                return result;
            }
            // A lapse is found at the next look if nothing else happens before.
            let _ = self.timer.timeout(LAPSE_CHECK, changes.changed()).await;
        }
    }

    fn watch_result(&self, prefix: &str, after: ValueVersion) -> Option<io::Result<Reply>> {
        let platform = self.platform();
        if platform.faults.down {
            return Some(refuse_when_down(&platform.faults));
        }
        if platform.faults.silent_watches {
            return None;
        }
        match platform.kv.changes(prefix, after) {
            Ok(changes) if changes.is_empty() => None,
            Ok(changes) => Some(Ok(events(&changes, platform.kv.version()))),
            Err(_) => Some(Ok(reply(StatusCode::GONE, &json!({})))),
        }
    }

    fn expire(&self) {
        let is_changed = self.platform().kv.expire(self.timer.now());
        if is_changed {
            self.notify();
        }
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
            (_, "/api/kv-watch") => &mut counters.watch,
            (_, "/api/kv-range") => &mut counters.list,
            (_, "/api/kv-key") if call.parameter("Key").as_deref() == Some(VM_LIST_KEY) => {
                &mut counters.vms
            }
            (_, "/api/kv-key") => &mut counters.get,
            (_, "/api/kv-txn") if call.deletes_only() => &mut counters.delete,
            (_, "/api/kv-txn") => &mut counters.put,
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
