//! A stand-in of a leaf.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http::Connection, record::Record, store::Store};

/// Number of requests that a leaf works on at the same time; others wait.
const SLOTS: u32 = 4;

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
}

/// One leaf; it may end and start again under its id.
pub struct Leaf {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    pub work: Duration,
    record: Record,
    process: Mutex<Option<Arc<Process>>>,
    sequence: AtomicU64,
    born: AtomicU64,
    free_slots: (Mutex<u32>, Condvar),
}

/// One start of the leaf.
#[derive(Default)]
struct Process {
    has_ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Leaf {
    pub fn new(
        id: &str,
        service: &str,
        address: SocketAddr,
        work: Duration,
        record: Record,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            runs: Mutex::default(),
            work,
            record,
            process: Mutex::default(),
            sequence: AtomicU64::new(0),
            born: AtomicU64::new(0),
            free_slots: (Mutex::new(SLOTS), Condvar::new()),
        })
    }

    /// Starts the leaf; `clock_ahead_ms` is by how much the clock of its machine is ahead.
    pub fn start(self: &Arc<Self>, clock_ahead_ms: u64) {
        self.born.store(unix_ms() + clock_ahead_ms, Ordering::Relaxed);
        self.sequence.store(0, Ordering::Relaxed);
        let process = Arc::new(Process::default());
        *self.process.lock().unwrap() = Some(Arc::clone(&process));
        let listener = TcpListener::bind(self.address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let leaf = Arc::clone(self);
        thread::spawn(move || {
            while !process.has_ended.load(Ordering::Acquire) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                process.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let (leaf, process) = (Arc::clone(&leaf), Arc::clone(&process));
                thread::spawn(move || leaf.serve(&process, stream));
            }
        });
    }

    /// Ends the process of the leaf: it listens no more, and its connections are closed.
    pub fn end(&self) {
        if let Some(process) = self.process.lock().unwrap().take() {
            process.has_ended.store(true, Ordering::Release);
            for stream in process.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Writes the leaf's entry; returns when the store has accepted it.
    pub fn register(&self, store: &Store, state: &str) -> Instant {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let born = self.born.load(Ordering::Relaxed);
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":{SLOTS},\
             \"State\":\"{state}\",\"WarmupLeftMs\":0,\"Sequence\":{sequence},\"born\":{born}}}",
            self.service, self.address
        );
        self.record.line(&format!("store accepts servers/{} {entry}", self.id));
        store.write(&format!("servers/{}", self.id), &entry)
    }

    pub fn unregister(&self, store: &Store) -> Instant {
        self.record.line(&format!("store accepts the removal of servers/{}", self.id));
        store.remove(&format!("servers/{}", self.id))
    }

    /// Returns the runs that began after `from`.
    pub fn runs_after(&self, from: Instant) -> Vec<Run> {
        self.runs.lock().unwrap().iter().filter(|it| from < it.at).cloned().collect()
    }

    fn work_in_slot(&self) {
        let (free_slots, freed) = &self.free_slots;
        let mut free = freed.wait_while(free_slots.lock().unwrap(), |it| *it == 0).unwrap();
        *free -= 1;
        drop(free);
        thread::sleep(self.work);
        *free_slots.lock().unwrap() += 1;
        freed.notify_one();
    }

    fn serve(&self, process: &Process, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read_message(false) {
            if process.has_ended.load(Ordering::Acquire) {
                return;
            }
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            if request.target() == "/health" {
                let headers = [("X-Instance-Id", self.id.as_str())];
                if connection.respond("200 OK", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            if request.header("x-expected-instance").is_some_and(|it| it != self.id) {
                let headers = [
                    ("X-Request-Id", id.as_str()),
                    ("X-Not-Executed", "1"),
                    ("X-Instance-Id", self.id.as_str()),
                ];
                if connection.respond("421 Misdirected Request", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let run = Run { at: Instant::now(), id: id.clone() };
            self.record.line(&format!("run at {} id {id} {}", self.id, request.first_line));
            self.runs.lock().unwrap().push(run);
            self.work_in_slot();
            let stamp = format!("{}.{id}", self.id);
            let headers = [("X-Request-Id", id.as_str()), ("X-Response-Stamp", stamp.as_str())];
            if connection.respond("200 OK", &headers, self.id.as_bytes()).is_err() {
                return;
            }
        }
    }
}
