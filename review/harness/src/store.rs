//! Stand-in of the platform's key-value store.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Message, response},
    json::{Json, base64, from_base64},
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    key: String,
    /// `None` if the key was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// The store; serves until the process ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store listens");
        let address = listener.local_addr().expect("store has an address");
        let state = State { revision: 100, next_lease: 1, ..State::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Conn::new(stream)));
            }
        });
        let expirer = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expirer.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("store state")
    }

    /// Writes an entry as the operator and the leafs do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        write(&mut state, key, value.as_bytes().to_vec(), 0);
        self.shared.1.notify_all();
    }

    /// Removes an entry as the leafs do.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        remove(&mut state, key);
        self.shared.1.notify_all();
    }

    /// Returns the keys with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().items.keys().filter(|it| it.starts_with(prefix)).cloned().collect()
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, it)| it.1 <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            end_lease(&mut state, lease);
        }
        self.shared.1.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(call)) = conn.read() {
            let (status, body) = self.answer(&call);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if conn.write(&response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let parameter = |name: &str| {
            let rows = query.split('&').filter_map(|it| it.split_once('='));
            rows.into_iter().find(|it| it.0 == name).map_or(String::new(), |it| decode(it.1))
        };
        if let Some(id) = path.strip_prefix("/api/kv-keep/") {
            let mut state = self.lock();
            let found = id.parse().ok().and_then(|it: u64| state.leases.get_mut(&it));
            return match found {
                Some((ttl, until)) => {
                    *until = Instant::now() + *ttl;
                    (200, "{}".to_owned())
                }
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(id) = path.strip_prefix("/api/kv-lease-end/") {
            let mut state = self.lock();
            let id: u64 = id.parse().unwrap_or(0);
            let known = state.leases.contains_key(&id);
            end_lease(&mut state, id);
            self.shared.1.notify_all();
            return (if known { 200 } else { 404 }, "{}".to_owned());
        }
        match path {
            "/api/kv-range" => {
                let (prefix, after) = (parameter("Prefix"), parameter("after"));
                let state = self.lock();
                let all = state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && after < **k);
                let rows: Vec<_> = all.map(|(k, it)| item_text(k, it)).collect();
                let more = 500 < rows.len();
                let rows = rows[..rows.len().min(500)].join(",");
                let at = state.revision;
                (200, format!("{{\"items\":[{rows}],\"MorePages\":{more},\"AtRev\":{at}}}"))
            }
            "/api/kv-key" => {
                let key = parameter("Key");
                let state = self.lock();
                match state.items.get(&key) {
                    Some(it) => {
                        let text = item_text(&key, it);
                        let text = text.trim_end_matches('}');
                        (200, format!("{text},\"AtRev\":{}}}", state.revision))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            "/api/kv-watch" => self.watch(
                &parameter("Prefix"),
                parameter("after").parse().unwrap_or(0),
                parameter("WaitMs").parse().unwrap_or(0),
            ),
            "/api/kv-lease" => {
                let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
                let ttl = body.get("TtlMs").number().clamp(1_000, 600_000);
                let mut state = self.lock();
                let id = state.next_lease;
                state.next_lease += 1;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(id, (ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"LeaseId\":{id},\"TtlMs\":{ttl}}}"))
            }
            "/api/kv-txn" => {
                let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
                self.commit(&body)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            let found = state.events.iter().filter(|it| after < it.revision);
            let rows: Vec<_> = found
                .filter(|it| it.key.starts_with(prefix))
                .map(|it| match &it.item {
                    Some(item) => item_text(&it.key, item),
                    None => format!(
                        "{{\"Key\":\"{}\",\"Revision\":{},\"Removed\":true}}",
                        it.key, it.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !rows.is_empty() || end <= now {
                let (rows, at) = (rows.join(","), state.revision);
                return (200, format!("{{\"events\":[{rows}],\"AtRev\":{at}}}"));
            }
            state = self.shared.1.wait_timeout(state, end - now).expect("store state").0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        let conditions = body.get("ExpectedRev").list();
        let current = |key: &str| state.items.get(key).map_or(0, |it| it.revision);
        if conditions.iter().any(|it| current(it.get("Key").text()) != it.get("Revision").number())
        {
            let rows: Vec<_> = conditions
                .iter()
                .filter_map(|it| {
                    let key = it.get("Key").text();
                    Some(item_text(key, state.items.get(key)?))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        let writes = body.get("Writes").list();
        let has_lease = |it: &Json| {
            let lease = it.get("LeaseId").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !writes.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if writes.iter().any(|it| is_foreign(it.get("Key").text())) {
            return (403, "{}".to_owned());
        }
        state.revision += 1;
        for it in writes {
            let value = from_base64(it.get("Value").text());
            write(&mut state, it.get("Key").text(), value, it.get("LeaseId").number());
        }
        for it in body.get("Deletes").list() {
            remove(&mut state, it.text());
        }
        self.shared.1.notify_all();
        (200, format!("{{\"Revision\":{}}}", state.revision))
    }
}

fn write(state: &mut State, key: &str, value: Vec<u8>, lease: u64) {
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |it| it.created);
    let item = Item { value, revision, created, lease };
    state.items.insert(key.to_owned(), item.clone());
    state.events.push(Event { revision, key: key.to_owned(), item: Some(item) });
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        let revision = state.revision;
        state.events.push(Event { revision, key: key.to_owned(), item: None });
    }
}

fn end_lease(state: &mut State, lease: u64) {
    state.leases.remove(&lease);
    let bound = state.items.iter().filter(|(_, it)| lease != 0 && it.lease == lease);
    let keys: Vec<String> = bound.map(|(k, _)| k.clone()).collect();
    if !keys.is_empty() {
        state.revision += 1;
        keys.iter().for_each(|it| remove(state, it));
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"CreateRev\":{},\"LeaseId\":{}}}",
        base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
