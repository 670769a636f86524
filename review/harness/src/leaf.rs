//! Stand-ins of leafs.

use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::body_of,
    http::{Conn, Message, response},
    record::{Record, Run},
};

/// What a leaf is, and how long its work takes.
#[derive(Clone)]
pub struct LeafSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub queue: usize,
    pub max_connections: usize,
    pub work: Duration,
    /// Bytes of an answer.
    pub bytes: usize,
}

struct Shared {
    spec: LeafSpec,
    record: Arc<Record>,
    is_down: AtomicBool,
    streams: Mutex<BTreeMap<usize, TcpStream>>,
    running: Mutex<(usize, usize)>,
    freed: Condvar,
    counter: AtomicU64,
}

/// A running leaf.
#[derive(Clone)]
pub struct Leaf {
    shared: Arc<Shared>,
    pub born: u64,
}

impl Leaf {
    pub fn start(spec: LeafSpec, record: &Arc<Record>) -> Self {
        let listener = (0..200)
            .find_map(|_| {
                let bound = TcpListener::bind(spec.address).ok();
                if bound.is_none() {
                    thread::sleep(Duration::from_millis(10));
                }
                bound
            })
            .expect("leaf listens");
        listener.set_nonblocking(true).expect("listener");
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = now.expect("clock").as_millis() as u64;
        let shared = Arc::new(Shared {
            spec,
            record: Arc::clone(record),
            is_down: AtomicBool::new(false),
            streams: Mutex::default(),
            running: Mutex::new((0, 0)),
            freed: Condvar::new(),
            counter: AtomicU64::new(0),
        });
        let server = Arc::clone(&shared);
        thread::spawn(move || accept(&server, listener));
        Self { shared, born }
    }

    /// Returns the entry that the leaf writes to the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        let LeafSpec { service, address, zone, slots, .. } = &self.shared.spec;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":{slots},\"State\":\"{state}\",\"WarmupLeftMs\":0,\
             \"Sequence\":{sequence},\"born\":{}}}",
            self.born
        )
    }

    pub fn id(&self) -> String {
        self.shared.spec.id.clone()
    }

    /// Ends the leaf at once, with what it works on.
    pub fn end(&self) {
        self.shared.is_down.store(true, Ordering::SeqCst);
        for stream in self.shared.streams.lock().expect("streams").values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.shared.spec.id)
    }
}

fn accept(leaf: &Arc<Shared>, listener: TcpListener) {
    let mut number = 0;
    while !leaf.is_down.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        let mut streams = leaf.streams.lock().expect("streams");
        // A connection beyond the limit is dropped, which closes it at once.
        if streams.len() < leaf.spec.max_connections
            && stream.set_nonblocking(false).is_ok()
            && let Ok(copy) = stream.try_clone()
        {
            number += 1;
            streams.insert(number, copy);
            let (leaf, number) = (Arc::clone(leaf), number);
            thread::spawn(move || {
                serve(&leaf, Conn::new(stream));
                leaf.streams.lock().expect("streams").remove(&number);
            });
        }
    }
}

fn serve(leaf: &Shared, mut conn: Conn) {
    while let Ok(Some(request)) = conn.read() {
        if conn.write(&answer(leaf, &request)).is_err() {
            return;
        }
    }
}

fn answer(leaf: &Shared, request: &Message) -> Vec<u8> {
    let id = request.header("x-request-id").unwrap_or("").to_owned();
    let spec = &leaf.spec;
    let load = {
        let (running, waiting) = *leaf.running.lock().expect("running");
        format!("{running},{waiting},{}", spec.slots)
    };
    let common = vec![("X-Request-Id", id.as_str()), ("X-Server-Load", load.as_str())];
    let rejected = |status: u16, reason: &'static str| {
        let mut headers = common.clone();
        headers.push(("X-Not-Executed", reason));
        response(status, &headers, b"")
    };
    let expected = request.header("x-expected-instance");
    if expected.is_some_and(|it| it != spec.id) {
        return rejected(421, "instance");
    }
    let deadline = request.header("x-deadline-ms").and_then(|it| it.parse().ok()).unwrap_or(10_000);
    let deadline = Instant::now() + Duration::from_millis(deadline);
    let mut running = leaf.running.lock().expect("running");
    if spec.slots <= running.0 {
        if spec.queue <= running.1 {
            return rejected(503, "full");
        }
        running.1 += 1;
        while spec.slots <= running.0 {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                running.1 -= 1;
                return rejected(503, "deadline");
            }
            running = leaf.freed.wait_timeout(running, left).expect("running").0;
        }
        running.1 -= 1;
    }
    running.0 += 1;
    drop(running);
    let number = leaf.counter.fetch_add(1, Ordering::Relaxed);
    leaf.record.add_run(Run {
        at: leaf.record.now(),
        leaf: spec.id.clone(),
        service: spec.service.clone(),
        request: id.clone(),
        method: request.method().to_owned(),
        target: request.target().to_owned(),
        body_bytes: request.body.len(),
        is_whole: {
            let bytes = request.header("x-body-bytes").and_then(|it| it.parse().ok());
            request.body == body_of(&id, bytes.unwrap_or(0))
        },
    });
    thread::sleep(spec.work);
    leaf.running.lock().expect("running").0 -= 1;
    leaf.freed.notify_one();
    let stamp = format!("{}.{number:x}.{id}", spec.id);
    let mut headers = common.clone();
    headers.push(("X-Response-Stamp", stamp.as_str()));
    let body: Vec<u8> = (0..spec.bytes).map(|it| (it as u64 * 31 + number) as u8).collect();
    response(200, &headers, &body)
}
