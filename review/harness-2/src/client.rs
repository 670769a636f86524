//! Stand-ins of clients.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Wire},
    json::Json,
    leaf::fnv,
    record::Record,
};

/// A kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    pub name: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub deadline: Duration,
    pub per_s: f64,
}

/// One request of a user, with its repeat if there was one.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub kind: &'static str,
    /// Since the start of the record.
    pub sent: Duration,
    /// Status of the last attempt; 0 without an answer.
    pub status: u16,
}

/// Sends a GET without further headers.
pub fn ask(address: SocketAddr, target: &str) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut wire = Wire::new(stream);
    wire.write(&format!("GET {target} HTTP/1.1"), &[("Host", "node")], b"").ok()?;
    wire.read().ok()
}

pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
}

#[derive(Clone)]
struct Client {
    directories: Vec<SocketAddr>,
    zone: String,
    record: Record,
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    next_id: Arc<AtomicU64>,
    /// Addresses and the end of their lifetime.
    addresses: Vec<SocketAddr>,
    addresses_until: Instant,
    seed: u64,
}

impl Clients {
    /// Starts clients, as many for each kind as keep its rate if all requests last until their deadline.
    pub fn start(kinds: &[Kind], directories: &[SocketAddr], zone: &str, record: &Record) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let next_id = Arc::new(AtomicU64::new(1));
        let mut handles = Vec::new();
        for kind in kinds {
            let threads = (kind.per_s * kind.deadline.as_secs_f64() * 1.3).ceil() as usize + 4;
            for number in 0..threads {
                let client = Client {
                    directories: directories.to_vec(),
                    zone: zone.to_owned(),
                    record: record.clone(),
                    stop: Arc::clone(&stop),
                    outcomes: Arc::clone(&outcomes),
                    next_id: Arc::clone(&next_id),
                    addresses: Vec::new(),
                    addresses_until: Instant::now(),
                    seed: fnv(&format!("{}{number}", kind.name)),
                };
                let kind = kind.clone();
                let pause = Duration::from_secs_f64(threads as f64 / kind.per_s);
                let offset = pause.mul_f64(number as f64 / threads as f64);
                handles.push(thread::spawn(move || client.run(&kind, pause, offset)));
            }
        }
        Self { stop, threads: handles, outcomes }
    }

    pub fn stop(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let outcomes = self.outcomes.lock().unwrap().clone();
        outcomes
    }
}

impl Client {
    fn draw(&mut self, count: usize) -> usize {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed % count.max(1) as u64) as usize
    }

    fn run(mut self, kind: &Kind, pause: Duration, offset: Duration) {
        thread::sleep(offset);
        let mut due = Instant::now();
        let mut kept: Option<(SocketAddr, Wire)> = None;
        while !self.stop.load(Ordering::SeqCst) {
            let now = Instant::now();
            if now < due {
                thread::sleep(due - now);
            }
            if self.stop.load(Ordering::SeqCst) {
                return;
            }
            due = (due + pause).max(Instant::now() - pause);
            self.user_request(kind, &mut kept);
        }
    }

    /// Sends a request, and repeats it once on a new connection if it fails.
    fn user_request(&mut self, kind: &Kind, kept: &mut Option<(SocketAddr, Wire)>) {
        let (sent, start) = (self.record.elapsed(), Instant::now());
        let mut last = 0;
        let mut node = None;
        for attempt in 0..2 {
            let left = kind.deadline.saturating_sub(start.elapsed());
            if left < Duration::from_millis(5) {
                break;
            }
            if attempt != 0 {
                *kept = None;
            }
            let Some((address, wire)) = self.connection(kept, node) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            node = Some(address);
            let (answer, wait) = self.exchange(kind, address, wire, left);
            last = answer;
            if answer == 0 {
                *kept = None;
            }
            if answer == 200 || answer == 404 {
                break;
            }
            thread::sleep(wait.min(left / 3));
        }
        let outcome = Outcome { kind: kind.name, sent, status: last };
        self.outcomes.lock().unwrap().push(outcome);
    }

    fn exchange(
        &mut self,
        kind: &Kind,
        address: SocketAddr,
        wire: &mut Wire,
        left: Duration,
    ) -> (u16, Duration) {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", fnv(&number.to_string()));
        self.record.line(&format!("sent {id} {} to {address}", kind.name));
        let _ = wire.stream.set_read_timeout(Some(left + Duration::from_millis(50)));
        let headers = [
            ("Host", kind.host.to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", left.as_millis().to_string()),
        ];
        let headers: Vec<_> = headers.iter().map(|it| (it.0, it.1.as_str())).collect();
        let line = format!("GET {}{number} HTTP/1.1", kind.path);
        let answer = wire.write(&line, &headers, b"").and_then(|()| wire.read());
        match answer {
            Ok(answer) => {
                let missing = answer.header("x-missing-parts").unwrap_or("0");
                let reason = match answer.status() {
                    200 => String::new(),
                    _ => String::from_utf8_lossy(&answer.body).chars().take(120).collect(),
                };
                let status = answer.status();
                self.record.line(&format!(
                    "answered {id} {status} missing {missing} parts {} {reason}",
                    answer.all("x-part-stamps").split(',').filter(|it| !it.is_empty()).count()
                ));
                let wait = answer.header("retry-after").and_then(|it| it.parse().ok());
                (status, Duration::from_secs_f64(wait.unwrap_or(0.0)))
            }
            Err(error) => {
                self.record.line(&format!("no answer {id} {error}"));
                (0, Duration::ZERO)
            }
        }
    }

    /// Returns the kept connection, or a new one to an address that has not just failed.
    fn connection<'a>(
        &mut self,
        kept: &'a mut Option<(SocketAddr, Wire)>,
        failed: Option<SocketAddr>,
    ) -> Option<(SocketAddr, &'a mut Wire)> {
        if self.addresses_until <= Instant::now() {
            self.resolve();
        }
        if kept.as_ref().is_some_and(|it| !self.addresses.contains(&it.0)) {
            *kept = None;
        }
        if kept.is_none() {
            let mut usable: Vec<_> =
                self.addresses.iter().copied().filter(|it| Some(*it) != failed).collect();
            if usable.is_empty() {
                usable = self.addresses.clone();
            }
            while !usable.is_empty() && kept.is_none() {
                let address = usable.swap_remove(self.draw(usable.len()));
                let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok();
                *kept = stream.map(|it| (address, Wire::new(it)));
            }
        }
        kept.as_mut().map(|it| (it.0, &mut it.1))
    }

    fn resolve(&mut self) {
        for attempt in 0..3 {
            let number = self.draw(self.directories.len()) + attempt;
            let directory = self.directories[number % self.directories.len()];
            let target = format!("/api/resolve?Name=x&Region=bayern&Zone={}", self.zone);
            let Some(answer) = ask(directory, &target).filter(|it| it.status() == 200) else {
                continue;
            };
            let Some(body) = Json::parse(&String::from_utf8_lossy(&answer.body)) else {
                continue;
            };
            let addresses = body.get("addrs").list().iter();
            self.addresses = addresses.filter_map(|it| it.text().parse().ok()).collect();
            let lifetime = Duration::from_secs(body.get("ttl_s").number().min(5));
            self.addresses_until = Instant::now() + lifetime;
            return;
        }
        self.addresses_until = Instant::now() + Duration::from_millis(200);
    }
}
