//! A stand-in of the platform's store.

use std::{
    collections::{BTreeMap, hash_map::RandomState},
    hash::{BuildHasher, Hasher},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Connection,
    json::{Json, encode_base64},
};

/// `HistoryS` of the settings.
const HISTORY: Duration = Duration::from_secs(20);
/// Most items of a page, and bytes from which it takes no more.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

struct Item {
    /// Base64, as it was written.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    json: String,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// Revision of the latest event that is no longer in the history.
    dropped_until: u64,
    watch_cut: Option<(u64, u64)>,
    cut_watches: u64,
    is_deaf: bool,
    /// Number of times that the history was dropped and the waiting watches were cut.
    compactions: u64,
    calls: u64,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().unwrap();
        let state = State { revision: 100, next_lease: 7_000, ..State::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Ends a waiting watch without a reply after a random time in this range, in milliseconds; `None` lets
    /// it wait as long as it asked for.
    pub fn set_watch_cut(&self, watch_cut: Option<(u64, u64)>) {
        self.lock().watch_cut = watch_cut;
    }

    /// Forgets the history: watches hear nothing for a second, then the history is dropped, and the watches
    /// that wait are cut. Returns when they begin to hear nothing.
    pub fn compact(&self) -> Instant {
        self.lock().is_deaf = true;
        let store = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(1));
            let mut state = store.lock();
            state.is_deaf = false;
            state.compactions += 1;
            state.dropped_until = state.revision;
            state.events.clear();
            drop(state);
            store.shared.1.notify_all();
        });
        Instant::now()
    }

    pub fn cut_watches(&self) -> u64 {
        self.lock().cut_watches
    }

    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Writes an entry, as the operator and the leafs do; returns when the store has accepted it.
    pub fn write(&self, key: &str, value: &str) -> Instant {
        self.write_bytes(key, value.as_bytes())
    }

    pub fn write_bytes(&self, key: &str, value: &[u8]) -> Instant {
        let value = encode_base64(value);
        self.lock().write(key, value, 0);
        self.shared.1.notify_all();
        Instant::now()
    }

    pub fn remove(&self, key: &str) -> Instant {
        self.lock().remove(key);
        self.shared.1.notify_all();
        Instant::now()
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|it| it.1.ends_at <= now).map(|it| *it.0).collect();
        for lease in ended {
            state.end_lease(lease);
        }
        let kept = state.events.partition_point(|it| HISTORY <= now.duration_since(it.at));
        let last = state.events.drain(..kept).next_back();
        if let Some(last) = last {
            state.dropped_until = last.revision;
        }
        drop(state);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read_message(false) {
            self.lock().calls += 1;
            let target = request.target().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|it| it.split_once('='))
                .map(|(name, value)| (name.to_owned(), decode_percent(value)))
                .collect();
            let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
            let answer = match (request.method(), path) {
                ("GET", "/api/kv-watch") => match self.watch(&query) {
                    Some(answer) => answer,
                    // The watch is cut.
                    None => return,
                },
                ("GET", "/api/kv-key") => self.read(&query),
                ("GET", "/api/kv-range") => self.range(&query),
                ("POST", "/api/kv-txn") => self.commit(&body),
                ("POST", "/api/kv-lease") => self.grant(&body),
                (method, path) => match path.rsplit_once('/') {
                    Some(("/api/kv-keep", id)) if method == "POST" => self.keep(id),
                    Some(("/api/kv-lease-end", id)) if method == "DELETE" => {
                        self.lock().end_lease(id.parse().unwrap_or(0));
                        self.shared.1.notify_all();
                        ("200 OK", "{}".to_owned())
                    }
                    _ => ("404 Not Found", "{}".to_owned()),
                },
            };
            let headers = [("Content-Type", "application/json")];
            if connection.respond(answer.0, &headers, answer.1.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn watch(&self, query: &BTreeMap<String, String>) -> Option<(&'static str, String)> {
        let prefix = query.get("Prefix").cloned().unwrap_or_default();
        let after: u64 = query.get("after").and_then(|it| it.parse().ok()).unwrap_or(0);
        let wait = query.get("WaitMs").and_then(|it| it.parse().ok()).unwrap_or(0);
        let started = Instant::now();
        let wait = Duration::from_millis(wait);
        let mut state = self.lock();
        let compactions = state.compactions;
        let cut = state.watch_cut.map(|(least, most)| {
            let span = (most - least).max(1);
            Duration::from_millis(least + RandomState::new().build_hasher().finish() % span)
        });
        loop {
            if state.compactions != compactions {
                return None;
            }
            if after < state.dropped_until {
                return Some(("410 Gone", "{}".to_owned()));
            }
            if state.is_deaf {
                state = self.shared.1.wait_timeout(state, Duration::from_millis(10)).unwrap().0;
                continue;
            }
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|it| after < it.revision && it.key.starts_with(&prefix))
                .map(|it| it.json.as_str())
                .collect();
            let waited = started.elapsed();
            if !events.is_empty() || wait <= waited {
                let events = events.join(",");
                let revision = state.revision;
                return Some(("200 OK", format!("{{\"events\":[{events}],\"AtRev\":{revision}}}")));
            }
            if cut.is_some_and(|it| it <= waited) {
                state.cut_watches += 1;
                return None;
            }
            state = self.shared.1.wait_timeout(state, Duration::from_millis(10)).unwrap().0;
        }
    }

    fn read(&self, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let state = self.lock();
        let key = query.get("Key").cloned().unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => {
                let json = item_json(&key, item);
                let json = json.trim_end_matches('}');
                ("200 OK", format!("{json},\"AtRev\":{}}}", state.revision))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let state = self.lock();
        let prefix = query.get("Prefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let mut items: Vec<String> = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, item) in &state.items {
            if !key.starts_with(&prefix) || *key <= after {
                continue;
            }
            has_more = PAGE_ITEMS <= items.len() || !items.is_empty() && PAGE_BYTES <= bytes;
            if has_more {
                break;
            }
            let json = item_json(key, item);
            bytes += json.len();
            items.push(json);
        }
        let items = items.join(",");
        let revision = state.revision;
        let answer =
            format!("{{\"items\":[{items}],\"MorePages\":{has_more},\"AtRev\":{revision}}}");
        ("200 OK", answer)
    }

    fn commit(&self, body: &Json) -> (&'static str, String) {
        let mut state = self.lock();
        let text = |row: &Json, name: &str| {
            row.get(name).and_then(Json::text).unwrap_or_default().to_owned()
        };
        let number = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0);
        let rows = |name: &str| body.get(name).map(Json::list).unwrap_or_default();
        let expected = rows("ExpectedRev");
        let is_met = expected.iter().all(|row| {
            let current = state.items.get(&text(row, "Key")).map_or(0, |it| it.revision);
            current == number(row, "Revision")
        });
        if !is_met {
            let items = expected.iter().filter_map(|row| {
                let key = text(row, "Key");
                state.items.get(&key).map(|it| item_json(&key, it))
            });
            let items = items.collect::<Vec<_>>().join(",");
            return ("412 Precondition Failed", format!("{{\"items\":[{items}]}}"));
        }
        let keys = rows("Writes").iter().map(|it| text(it, "Key"));
        let keys = keys.chain(rows("Deletes").iter().filter_map(|it| it.text().map(str::to_owned)));
        let is_foreign = |key: String| key.starts_with("op/") || key.starts_with("servers/");
        if keys.into_iter().any(is_foreign) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let leases = rows("Writes").iter().map(|it| number(it, "LeaseId"));
        if leases.into_iter().any(|it| it != 0 && !state.leases.contains_key(&it)) {
            return ("404 Not Found", "{}".to_owned());
        }
        for row in rows("Writes") {
            state.write(&text(row, "Key"), text(row, "Value"), number(row, "LeaseId"));
        }
        for key in rows("Deletes").iter().filter_map(Json::text) {
            state.remove(key);
        }
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        ("200 OK", format!("{{\"Revision\":{revision}}}"))
    }

    fn grant(&self, body: &Json) -> (&'static str, String) {
        let mut state = self.lock();
        let millis = body.get("TtlMs").and_then(Json::number).unwrap_or(1_000).max(1_000);
        let ttl = Duration::from_millis(millis);
        let id = state.next_lease;
        state.next_lease += 1;
        state.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
        ("200 OK", format!("{{\"LeaseId\":{id},\"TtlMs\":{millis}}}"))
    }

    fn keep(&self, id: &str) -> (&'static str, String) {
        let mut state = self.lock();
        let lease = id.parse().ok().and_then(|it: u64| state.leases.get_mut(&it));
        let Some(lease) = lease else {
            return ("404 Not Found", "{}".to_owned());
        };
        lease.ends_at = Instant::now() + lease.ttl;
        ("200 OK", format!("{{\"TtlMs\":{}}}", lease.ttl.as_millis()))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item { value, revision, created, lease };
        let json = item_json(key, &item);
        self.items.insert(key.to_owned(), item);
        self.events.push(Event { at: Instant::now(), revision, key: key.to_owned(), json });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let json = format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Removed\":true}}");
        self.events.push(Event { at: Instant::now(), revision, key: key.to_owned(), json });
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let held = self.items.iter().filter(|it| it.1.lease == lease);
        let keys: Vec<String> = held.map(|it| it.0.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\
         \"CreateRev\":{created},\"LeaseId\":{lease}}}"
    )
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
