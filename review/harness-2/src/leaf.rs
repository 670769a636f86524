//! Stand-in of a leaf.

use std::{
    collections::HashMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http::Wire, record::Record, store::Store};

const PAUSE_PERIOD: Duration = Duration::from_millis(2_400);
/// Requests that wait for a slot before further ones are rejected.
const QUEUE: u32 = 12;

#[derive(Debug, Clone)]
pub struct LeafPlan {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    /// Mean time for which a request holds a slot.
    pub work: Duration,
    /// Time for which a new connection holds a slot.
    pub handshake: Duration,
    /// Length of the pauses, of which there is one each [`PAUSE_PERIOD`].
    pub pause: Duration,
    /// Number of records of 16 bytes in a response.
    pub records: usize,
}

#[derive(Default)]
struct Slots {
    running: u32,
    waiting: u32,
}

pub struct Leaf {
    pub plan: LeafPlan,
    pub started: Instant,
    ended: AtomicBool,
    slots: Mutex<Slots>,
    freed: Condvar,
    connections: Mutex<HashMap<u64, TcpStream>>,
    next: AtomicU64,
    pub runs: AtomicU64,
    pub misdirected: AtomicU64,
    record: Record,
}

impl Leaf {
    /// Starts a leaf and writes its entry.
    pub fn start(plan: LeafPlan, store: &Store, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind(plan.address).expect("the leaf's address is free");
        let leaf = Arc::new(Self {
            plan,
            started: Instant::now(),
            ended: AtomicBool::new(false),
            slots: Mutex::default(),
            freed: Condvar::new(),
            connections: Mutex::default(),
            next: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            misdirected: AtomicU64::new(0),
            record: record.clone(),
        });
        let served = Arc::clone(&leaf);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.ended.load(Ordering::SeqCst) {
                    return;
                }
                let leaf = Arc::clone(&served);
                thread::spawn(move || leaf.serve(stream));
            }
        });
        let plan = &leaf.plan;
        store.put(
            &format!("servers/{}", plan.id),
            &format!(
                "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{},\
                 \"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1,\"born\":{}}}",
                plan.service, plan.address, plan.zone, plan.slots, record.unix_ms()
            ),
        );
        record.line(&format!("leaf {} of {} starts at {}", plan.id, plan.service, plan.address));
        leaf
    }

    /// Ends the leaf as a kill of its process does: the port is closed and all connections break.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which closes the port.
        let _ = TcpStream::connect(self.plan.address);
        for stream in self.connections.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.freed.notify_all();
        self.record.line(&format!("leaf {} of {} crashes", self.plan.id, self.plan.service));
    }

    fn serve(&self, stream: TcpStream) {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        self.connections.lock().unwrap().insert(number, copy);
        self.answer_all(Wire::new(stream));
        self.connections.lock().unwrap().remove(&number);
    }

    /// Returns the time that a request takes: the work, and what is left of a pause.
    fn work_time(&self, mark: u64) -> Duration {
        // Most requests take 0.6 to 1.4 times the mean, one in 100 five times as long.
        let factor = match mark % 100 {
            0 => 5.0,
            it => 0.6 + 0.008 * it as f64,
        };
        let phase = Duration::from_millis(fnv(&self.plan.id) % PAUSE_PERIOD.as_millis() as u64);
        let position = self.record.elapsed() + phase;
        let position =
            Duration::from_micros((position.as_micros() % PAUSE_PERIOD.as_micros()) as u64);
        self.plan.work.mul_f64(factor) + self.plan.pause.saturating_sub(position)
    }

    fn answer_all(&self, mut wire: Wire) {
        if !self.plan.handshake.is_zero() && self.begin() {
            thread::sleep(self.plan.handshake);
            self.end();
        }
        while let Ok(request) = wire.read() {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            let load = {
                let slots = self.slots.lock().unwrap();
                format!("{},{},{}", slots.running, slots.waiting, self.plan.slots)
            };
            if request.header("x-expected-instance").is_some_and(|it| it != self.plan.id) {
                self.misdirected.fetch_add(1, Ordering::SeqCst);
                let headers = [("X-Request-Id", &*id), ("X-Instance-Id", &*self.plan.id)];
                if wire.write("HTTP/1.1 421 Misdirected Request", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            if !self.begin() {
                let headers =
                    [("X-Request-Id", &*id), ("X-Not-Executed", "1"), ("X-Server-Load", &*load)];
                if wire.write("HTTP/1.1 503 Service Unavailable", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let run = self.runs.fetch_add(1, Ordering::SeqCst);
            self.record.run(&id, &self.plan.service, &self.plan.id);
            thread::sleep(self.work_time(fnv(&id)));
            self.end();
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let stamp = format!("{}.{}.{id}", self.plan.id, run);
            let mut body = Vec::with_capacity(16 * self.plan.records);
            for idx in 0..self.plan.records {
                let mark = fnv(&format!("{stamp}.{idx}"));
                body.extend_from_slice(&mark.to_be_bytes());
                body.extend_from_slice(&mark.rotate_left(32).to_be_bytes());
            }
            let headers =
                [("X-Request-Id", &*id), ("X-Response-Stamp", &*stamp), ("X-Server-Load", &*load)];
            if wire.write("HTTP/1.1 200 OK", &headers, &body).is_err() {
                return;
            }
        }
    }

    /// Waits for a slot; returns `false` if too many requests wait.
    fn begin(&self) -> bool {
        let mut slots = self.slots.lock().unwrap();
        if self.plan.slots <= slots.running && QUEUE <= slots.waiting {
            return false;
        }
        slots.waiting += 1;
        while self.plan.slots <= slots.running {
            slots = self.freed.wait(slots).unwrap();
        }
        slots.waiting -= 1;
        slots.running += 1;
        true
    }

    fn end(&self) {
        self.slots.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }
}

pub fn fnv(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
