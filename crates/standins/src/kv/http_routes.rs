//! HTTP interface of the key-value test double.

use std::{
    io,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::{
    Method, Request, StatusCode,
    body::Incoming,
    header::{HeaderName, HeaderValue},
};
use mux_model::TimePoint;
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
    kv_copies::KvCopies,
    kv_request::{EntryBody, KvRequest, LeaseBody, RestoreBody, TxnBody, decode_write},
    replies::{
        PageBody, Reply, bad_request, events, item, listed_item, not_found, ok, reply,
        reply_while_down,
    },
};

/// Maximum number of entries in one page of a range.
const PAGE_ENTRIES: usize = 50;
/// Period at which a waiting watch checks for keys with expired leases.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Key prefixes that only operators and upstreams may write.
const READ_ONLY_PREFIXES: [&str; 2] = ["op/", "servers/"];
/// Reply header with the number of times that the state was restored from an older copy.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");
/// Key of the VM list.
const VM_LIST_KEY: &str = "vms";

/// Handler of the HTTP requests.
#[derive(Debug)]
pub(crate) struct HttpRoutes {
    timer: TimerService,
    state: Mutex<ServerState>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct ServerState {
    kv: KvState,
    faults: FaultPlan,
    counters: CallCounters,
    history_drop_count: u64,
    copies: KvCopies,
    /// Number of times that the state was restored from an older copy.
    era: u64,
}

impl HttpRoutes {
    /// Creates the handler with the VM list and faults of `settings`.
    pub(crate) fn new(timer: TimerService, settings: KvSettings) -> Self {
        let state = ServerState { faults: settings.faults, ..ServerState::default() };
        let routes = Self { timer, state: Mutex::new(state), changes: watch::Sender::new(0) };
        routes.set_vms(&VmList { vms: settings.vms, ..VmList::default() });
        routes
    }

    /// Answers one request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is to be closed without a reply.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let call = KvRequest::read(request).await?;
        if let Some(reply) = self.answer_control(&call) {
            return Ok(reply);
        }
        let era = self.state().era;
        let mut reply = self.answer_call(&call).await?;
        // A reply to a watch that waited during a restore has the later era already.
        if !reply.headers().contains_key(STORE_ERA) {
            if self.state().era != era {
                return Err(io::Error::other("the store was restored during the call"));
            }
            reply.headers_mut().insert(STORE_ERA, HeaderValue::from(era));
        }
        Ok(reply)
    }

    async fn answer_call(&self, call: &KvRequest) -> io::Result<Reply> {
        self.delay().await;
        self.count(call);
        self.expire();
        let faults = self.state().faults.clone();
        if faults.down {
            return reply_while_down(&faults);
        }
        if call.path == "/api/kv-watch" {
            return self.watch(call).await;
        }
        let reply = self.answer_kv_call(call);
        self.lose_reply(call, &reply)?;
        Ok(reply)
    }

    fn answer_control(&self, call: &KvRequest) -> Option<Reply> {
        match (&call.method, call.path.as_str()) {
            (&Method::PUT, "/v1/faults") => {
                let faults = self.apply_control(call, |routes, new| routes.state().faults = new);
                Some(faults)
            }
            (&Method::PUT, "/v1/vms") => {
                Some(self.apply_control(call, |routes, vms: VmList| routes.set_vms(&vms)))
            }
            (&Method::PUT, "/v1/entries") => {
                Some(self.apply_control(call, |routes, entry: EntryBody| routes.write_entry(entry)))
            }
            (&Method::POST, "/v1/forget") => {
                let mut state = self.state();
                state.kv.compact_history();
                state.history_drop_count += 1;
                drop(state);
                self.notify();
                Some(ok(&json!({})))
            }
            (&Method::POST, "/v1/restore") => {
                Some(self.apply_control(call, |routes, body: RestoreBody| routes.restore(body)))
            }
            (&Method::GET, "/v1/counters") => Some(ok(&self.state().counters)),
            _ => None,
        }
    }

    fn apply_control<T: DeserializeOwned>(
        &self,
        call: &KvRequest,
        apply: impl FnOnce(&Self, T),
    ) -> Reply {
        let Ok(value) = serde_json::from_slice(&call.body) else {
            return bad_request();
        };
        apply(self, value);
        self.notify();
        ok(&json!({}))
    }

    fn restore(&self, body: RestoreBody) {
        let now = self.timer.now();
        let mut state = self.state();
        if let Some(kv) = state.copies.restore(now, Duration::from_millis(body.age_ms)) {
            state.kv = kv;
        }
        state.era += 1;
    }

    fn set_vms(&self, vms: &VmList) {
        let value = serde_json::to_string(vms).unwrap_or_default();
        self.write_entry(EntryBody { key: VM_LIST_KEY.to_owned(), value: Some(value) });
    }

    fn write_entry(&self, entry: EntryBody) {
        let now = self.timer.now();
        let EntryBody { key, value } = entry;
        let mut state = self.state();
        state.keep_copy(now);
        // Without expected revisions and a lease, only an oversized value can be rejected.
        let _ = match value {
            Some(value) => state.kv.apply(now, &[], vec![KvWrite { key, value, lease: None }], &[]),
            None => state.kv.apply(now, &[], Vec::new(), &[key]),
        };
    }

    fn answer_kv_call(&self, call: &KvRequest) -> Reply {
        if let Some(lease) = call.number_after_prefix("/api/kv-keep/") {
            return self.renew(LeaseId(lease));
        }
        if let Some(lease) = call.number_after_prefix("/api/kv-lease-end/") {
            let now = self.timer.now();
            let mut state = self.state();
            state.keep_copy(now);
            let is_known = state.kv.end_lease(LeaseId(lease));
            drop(state);
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
        let mut state = self.state();
        let Some(stored) = state.kv.get(key).cloned() else {
            return not_found();
        };
        state.count_read(&stored);
        let mut body = item(key, &stored);
        body["AtRev"] = json!(state.kv.version());
        ok(&body)
    }

    fn range(&self, call: &KvRequest) -> Reply {
        let prefix = call.parameter("Prefix").unwrap_or_default();
        let after = call.parameter("after");
        let state = self.state();
        let is_after_cursor = |key: &str| after.as_deref().is_none_or(|it| it < key);
        let mut remaining = state.kv.entries(&prefix).filter(|(key, _)| is_after_cursor(key));
        let page = remaining.by_ref().take(PAGE_ENTRIES);
        let items = page.filter_map(|(key, it)| listed_item(key, it)).collect();
        let more_pages = remaining.next().is_some();
        ok(&PageBody { items, more_pages, at_rev: state.kv.version() })
    }

    fn txn(&self, call: &KvRequest) -> Reply {
        let Ok(body) = serde_json::from_slice::<TxnBody>(&call.body) else {
            return bad_request();
        };
        let mut keys = body.writes.iter().map(|it| &it.key).chain(&body.deletes);
        if keys.any(|key| READ_ONLY_PREFIXES.iter().any(|it| key.starts_with(it))) {
            return reply(StatusCode::FORBIDDEN, &json!({}));
        }
        let writes: Option<Vec<_>> = body.writes.into_iter().map(decode_write).collect();
        let Some(writes) = writes else {
            return bad_request();
        };
        let size: usize = writes.iter().map(|it| it.value.len()).sum();
        let expected: Vec<_> =
            body.expected_rev.into_iter().map(|it| (it.key, it.revision)).collect();
        let mut state = self.state();
        state.keep_copy(self.timer.now());
        let result = state.kv.apply(self.timer.now(), &expected, writes, &body.deletes);
        state.counters.bytes_written += u64::try_from(size).unwrap_or(u64::MAX);
        drop(state);
        match result {
            Ok(version) => {
                self.notify();
                ok(&json!({ "Revision": version }))
            }
            Err(WriteError::VersionMismatch(current)) => {
                let revision_item = |(key, version)| json!({ "Key": key, "Revision": version });
                let items: Vec<_> = current.into_iter().map(revision_item).collect();
                reply(StatusCode::PRECONDITION_FAILED, &json!({ "items": items }))
            }
            Err(WriteError::LeaseExpired) => not_found(),
            Err(WriteError::ValueTooLarge) => reply(StatusCode::PAYLOAD_TOO_LARGE, &json!({})),
        }
    }

    fn grant(&self, call: &KvRequest) -> Reply {
        let Ok(body) = serde_json::from_slice::<LeaseBody>(&call.body) else {
            return bad_request();
        };
        let ttl = Duration::from_millis(body.ttl_ms);
        let now = self.timer.now();
        let mut state = self.state();
        state.keep_copy(now);
        let lease = state.kv.grant(now, ttl);
        ok(&json!({ "LeaseId": lease, "TtlMs": body.ttl_ms }))
    }

    fn renew(&self, lease: LeaseId) -> Reply {
        if self.state().kv.renew(self.timer.now(), lease) {
            return ok(&json!({ "TtlMs": 0 }));
        }
        not_found()
    }

    async fn watch(&self, call: &KvRequest) -> io::Result<Reply> {
        let (Some(prefix), Some(after), Some(wait_ms)) =
            (call.parameter("Prefix"), call.number("after"), call.number("WaitMs"))
        else {
            return Ok(bad_request());
        };
        {
            let counters = &mut self.state().counters;
            counters.longest_wait_ms = counters.longest_wait_ms.max(wait_ms);
        }
        let wait = self.watch_prefix(&prefix, ValueVersion(after));
        match self.timer.timeout(Duration::from_millis(wait_ms), wait).await {
            Ok(result) => result,
            Err(_) if self.state().faults.silent_watches => std::future::pending().await,
            Err(_) => Ok(events(&[], ValueVersion(after))),
        }
    }

    async fn watch_prefix(&self, prefix: &str, after: ValueVersion) -> io::Result<Reply> {
        let mut changes = self.changes.subscribe();
        let initial_drop_count = self.state().history_drop_count;
        loop {
            changes.borrow_and_update();
            self.expire();
            if self.state().history_drop_count != initial_drop_count {
                // A watch that was waiting when the history was dropped never receives a reply.
                return std::future::pending().await;
            }
            if let Some(result) = self.watch_result(prefix, after) {
                return result;
            }
            // Without other changes, an expired lease is detected at the next check.
            let _ = self.timer.timeout(LEASE_CHECK_PERIOD, changes.changed()).await;
        }
    }

    fn watch_result(&self, prefix: &str, after: ValueVersion) -> Option<io::Result<Reply>> {
        let state = self.state();
        if state.faults.down {
            return Some(reply_while_down(&state.faults));
        }
        if state.faults.silent_watches {
            return None;
        }
        let is_assigned = after <= state.kv.version();
        let mut reply = match state.kv.changes(prefix, after) {
            Ok(changes) if is_assigned && changes.is_empty() => return None,
            Ok(changes) if is_assigned => events(&changes, state.kv.version()),
            _ => reply(StatusCode::GONE, &json!({})),
        };
        reply.headers_mut().insert(STORE_ERA, HeaderValue::from(state.era));
        Some(Ok(reply))
    }

    fn expire(&self) {
        let is_changed = self.state().kv.expire(self.timer.now());
        if is_changed {
            self.notify();
        }
    }

    async fn delay(&self) {
        let delay_ms = self.state().faults.delay_ms;
        if 0 < delay_ms {
            self.timer.sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    fn lose_reply(&self, call: &KvRequest, reply: &Reply) -> io::Result<()> {
        let mut state = self.state();
        if call.method == Method::GET || !reply.status().is_success() {
            return Ok(());
        }
        let faults = &mut state.faults;
        if call.path == "/api/kv-txn" && 0 < faults.lose_txn_replies {
            faults.lose_txn_replies -= 1;
        } else if 0 < faults.lose_replies {
            faults.lose_replies -= 1;
        } else {
            return Ok(());
        }
        Err(io::Error::other("reply dropped by fault injection"))
    }

    fn count(&self, call: &KvRequest) {
        let counters = &mut self.state().counters;
        let counter = match (&call.method, call.path.as_str()) {
            (_, "/api/kv-watch") => &mut counters.watch,
            (_, "/api/kv-range") => &mut counters.list,
            (_, "/api/kv-key") if call.parameter("Key").as_deref() == Some(VM_LIST_KEY) => {
                &mut counters.vms
            }
            (_, "/api/kv-key") => &mut counters.get,
            (_, "/api/kv-txn") if call.is_delete_only() => &mut counters.delete,
            (_, "/api/kv-txn") => &mut counters.put,
            _ => &mut counters.lease,
        };
        *counter += 1;
    }

    fn notify(&self) {
        self.changes.send_modify(|it| *it += 1);
    }

    fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServerState {
    fn keep_copy(&mut self, now: TimePoint) {
        self.copies.keep(now, &self.kv);
    }

    fn count_read(&mut self, stored: &StoredValue) {
        let size = u64::try_from(stored.value.len()).unwrap_or(u64::MAX);
        self.counters.bytes_read += size;
    }
}
