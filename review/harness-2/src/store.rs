//! Stand-in of the platform's metadata store.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Wire},
    json::{from_base64, to_base64, Json},
};

const ANSWER_TIME: Duration = Duration::from_millis(4);
const HISTORY: Duration = Duration::from_secs(20);
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    /// `None` for a removal.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// Highest revision that is no longer in the history.
    compacted: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        let at = Instant::now();
        self.events.push(Event {
            at,
            revision: self.revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let at = Instant::now();
            self.events.push(Event {
                at,
                revision: self.revision,
                key: key.to_owned(),
                item: None,
            });
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|it| it.1 .1 <= now).map(|it| *it.0).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        while self.events.first().is_some_and(|it| HISTORY < now.duration_since(it.at)) {
            self.compacted = self.events.remove(0).revision;
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> =
            self.items.iter().filter(|it| it.1.lease == lease).map(|it| it.0.clone()).collect();
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
        true
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let state = State { revision: 100, next_lease: 1000, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())) };
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            if expiring.lock().expire() {
                expiring.state.1.notify_all();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Writes an entry as the operator or a leaf.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.write(key, value.as_bytes().to_vec(), 0);
        self.state.1.notify_all();
    }

    /// Removes an entry, as when its writer was silent for three heartbeats.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        self.state.1.notify_all();
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(request) = wire.read() {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let line = format!("HTTP/1.1 {status} X");
            if wire.write(&line, &[("Content-Type", "application/json")], body.as_bytes()).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (method, target) = request.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let found =
                query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name);
            decode(found.map_or("", |it| it.1))
        };
        match (method, path) {
            ("GET", "/api/kv-key") => {
                let state = self.lock();
                let key = parameter("Key");
                match state.items.get(&key) {
                    Some(item) => {
                        let text = item_text(&key, item);
                        let text = text.trim_end_matches('}');
                        (200, format!("{text},\"AtRev\":{}}}", state.revision))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/api/kv-range") => {
                let state = self.lock();
                let (prefix, after) = (parameter("Prefix"), parameter("after"));
                let found: Vec<_> = state
                    .items
                    .iter()
                    .filter(|it| it.0.starts_with(&prefix) && after < *it.0)
                    .take(PAGE + 1)
                    .collect();
                let items: Vec<_> =
                    found.iter().take(PAGE).map(|it| item_text(it.0, it.1)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"MorePages\":{},\"AtRev\":{}}}",
                    items.join(","),
                    PAGE < found.len(),
                    state.revision
                );
                (200, body)
            }
            ("GET", "/api/kv-watch") => {
                let (prefix, after) = (parameter("Prefix"), parameter("after"));
                let after: u64 = after.parse().unwrap_or(0);
                let wait: u64 = parameter("WaitMs").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut state = self.lock();
                loop {
                    if after < state.compacted {
                        return (410, "{}".to_owned());
                    }
                    let news = state.events.iter().filter(|it| after < it.revision);
                    let events: Vec<_> = news
                        .filter(|it| it.key.starts_with(&prefix))
                        .map(|it| match &it.item {
                            Some(item) => item_text(&it.key, item),
                            None => format!(
                                "{{\"Key\":\"{}\",\"Revision\":{},\"Removed\":true}}",
                                it.key, it.revision
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || end <= now {
                        let body = format!(
                            "{{\"events\":[{}],\"AtRev\":{}}}",
                            events.join(","),
                            state.revision
                        );
                        return (200, body);
                    }
                    state = self.state.1.wait_timeout(state, end - now).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => self.commit(request),
            ("POST", "/api/kv-lease") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let ttl = body.unwrap_or(Json::Null).get("TtlMs").number().clamp(1_000, 600_000);
                let mut state = self.lock();
                state.next_lease += 1;
                let (lease, time) = (state.next_lease, Duration::from_millis(ttl));
                state.leases.insert(lease, (time, Instant::now() + time));
                (200, format!("{{\"LeaseId\":{lease},\"TtlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0);
                match self.lock().leases.get_mut(&lease) {
                    Some((time, end)) => {
                        *end = Instant::now() + *time;
                        (200, format!("{{\"TtlMs\":{}}}", time.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease = path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0);
                let ended = self.lock().end_lease(lease);
                self.state.1.notify_all();
                (if ended { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn commit(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        let current = |state: &State, key: &str| state.items.get(key).map_or(0, |it| it.revision);
        let expected = body.get("ExpectedRev").list();
        if expected
            .iter()
            .any(|it| current(&state, it.get("Key").text()) != it.get("Revision").number())
        {
            let items: Vec<_> = expected
                .iter()
                .filter_map(|it| {
                    let key = it.get("Key").text();
                    Some(item_text(key, state.items.get(key)?))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let (writes, deletes) = (body.get("Writes").list(), body.get("Deletes").list());
        let keys = writes.iter().map(|it| it.get("Key").text());
        let keys: Vec<&str> = keys.chain(deletes.iter().map(Json::text)).collect();
        if keys.iter().any(|it| it.starts_with("op/") || it.starts_with("servers/")) {
            return (403, "{}".to_owned());
        }
        let lease_of = |it: &Json| it.get("LeaseId").number();
        if writes.iter().any(|it| lease_of(it) != 0 && !state.leases.contains_key(&lease_of(it))) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for write in writes {
            let value = from_base64(write.get("Value").text());
            state.write(write.get("Key").text(), value, lease_of(write));
        }
        for key in deletes {
            state.remove(key.text());
        }
        self.state.1.notify_all();
        (200, format!("{{\"Revision\":{}}}", state.revision))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"CreateRev\":{},\"LeaseId\":{}}}",
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = (*first == b'%')
            .then(|| tail.get(..2))
            .flatten()
            .and_then(|it| u8::from_str_radix(std::str::from_utf8(it).ok()?, 16).ok());
        match code {
            Some(code) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
