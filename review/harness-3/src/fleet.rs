//! The nodes of a case, and its callers.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    record::Record,
};

const CALLERS_PORT: u16 = 8226;
const READY_PORT: u16 = 8227;
const DIRECTORY_PORT: u16 = 8225;
const METRICS_PORT: u16 = 9464;

/// Loopback addresses of this case: no other process listens on them.
pub struct Network {
    third: u8,
}

impl Network {
    /// Finds a network whose addresses are free.
    pub fn find() -> Self {
        let start = std::process::id() as u8;
        for offset in 0..=255u8 {
            let network = Self { third: start.wrapping_add(offset) };
            let ports = [CALLERS_PORT, READY_PORT, DIRECTORY_PORT, METRICS_PORT, 7740];
            let is_free = |port| TcpListener::bind((network.ip(1), port)).is_ok();
            if ports.into_iter().all(is_free) {
                return network;
            }
        }
        panic!("no free loopback network");
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 83, self.third, last))
    }

    /// Returns a listener on a free port of this address.
    pub fn listen(&self, last: u8) -> TcpListener {
        TcpListener::bind((self.ip(last), 0)).expect("a free port")
    }
}

/// The settings that differ between cases.
#[derive(Clone)]
pub struct NodeSettings {
    pub store: SocketAddr,
}

/// A running node; its process ends when the value is dropped.
pub struct Node {
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    /// Starts a node with the command of the deploy file.
    pub fn start(
        root: &Path,
        folder: &Path,
        network: &Network,
        last: u8,
        settings: &NodeSettings,
    ) -> Self {
        let name = format!("front-a-{last}");
        let ip = network.ip(last);
        let text = format!(
            r#"{{"NodeName":"{name}","Role":"edge","MachineClass":"front","Serves":["front","directory"],
"Ip":"{ip}","Zone":"a","Region":"r","Zones":{{"a":"r"}},
"ListenAddrs":{{"Front":"{ip}:{CALLERS_PORT}","Ready":"{ip}:{READY_PORT}","Control":"{ip}:8224","directory":"{ip}:{DIRECTORY_PORT}"}},
"PortRange":[7740,7755],"Seeds":[],"Bootstrap":true,"FaultCounted":false,
"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},
"DataDir":null,"Discovery":"platform","EntryMode":"directory","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","retry","recover","scatter","platform"],
"FaultTolerance":{{"Machines":1,"Zones":0,"Regions":0}},
"Bounds":{{"SeedLagS":3,"AddrReuseS":2,"StabilityMs":4000,"AckMs":5000,"CatchUpS":4,"DrainMs":3000,"GraceS":6,"LossSlackMs":200,"ConfigApplyMs":3000,"RollbackSlackMs":250,"OuterBoundMs":12000,"RetryBudgetRatio":0.2,"BudgetWindowS":10,"BudgetSlack":54,"RecoveryS":12,"ttl_max_s":5}},
"platform":{{"Address":"{}","form":"kv","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,"ValueBytes":1048576,"TtlMinMs":1000}}}}"#,
            settings.store
        );
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, text).expect("settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))
            .expect("log can be written");
        let mut command = Command::new(root.join("target/release/mustardmux"));
        // The process ends with this one, however this one ends.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(["edge", "--metrics-port", "9464"])
            .env("MUSTARDMUX_NODE_FILE", &file)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("the program does not start: {error}")));
        Self {
            callers: SocketAddr::new(ip, CALLERS_PORT),
            directory: SocketAddr::new(ip, DIRECTORY_PORT),
            ready: SocketAddr::new(ip, READY_PORT),
            child,
        }
    }

    /// Waits until the node is ready.
    pub fn wait_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            let answer = call(self.ready, "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1_000);
            if answer.is_ok_and(|it| it.status() == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run("a node does not become ready");
    }
}

fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    unsafe extern "C" {
        fn prctl(option: i32, value: u64, ...) -> i32;
    }
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Ends a case that could not be run.
pub fn cannot_run(reason: &str) -> ! {
    println!("cannot run: {reason}");
    std::process::exit(2);
}

/// Sends one request on a new connection.
pub fn call(address: SocketAddr, request: &str, limit_ms: u64) -> io::Result<Message> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    Connection::new(stream).read_message(true)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A request of a caller and its answer.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub id: String,
    pub sent: Instant,
    /// 0 if the connection ended or timed out without an answer.
    pub status: u16,
}

/// Callers that send requests on kept connections, one after the other.
pub struct Callers {
    pub exchanges: Arc<Mutex<Vec<Exchange>>>,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts `count` callers that each send a request to `path` every `period`, at `nodes` in turn.
    pub fn start(
        count: usize,
        nodes: Vec<SocketAddr>,
        host: &str,
        path: &str,
        deadline_ms: u64,
        period: Duration,
        record: &Record,
    ) -> Self {
        let exchanges: Arc<Mutex<Vec<Exchange>>> = Arc::default();
        let stopping: Arc<AtomicBool> = Arc::default();
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let threads = (0..count).map(|caller| {
            let node = nodes[caller % nodes.len()];
            let (exchanges, stopping) = (Arc::clone(&exchanges), Arc::clone(&stopping));
            let (host, path, record) = (host.to_owned(), path.to_owned(), record.clone());
            thread::spawn(move || {
                let mut kept: Option<Connection> = None;
                while !stopping.load(Ordering::Relaxed) {
                    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
                    let request = format!(
                        "GET {path}{id} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n\
                         X-Deadline-Ms: {deadline_ms}\r\n\r\n"
                    );
                    let sent = Instant::now();
                    record.line(&format!("sent id {id} to {node}"));
                    let answer = exchange(&mut kept, node, &request, deadline_ms + 1_000);
                    let (status, reason) = match &answer {
                        Ok(it) => (it.status(), String::from_utf8_lossy(&it.body).into_owned()),
                        Err(error) => (0, error.to_string()),
                    };
                    record.line(&format!("answer id {id} status {status} {reason}"));
                    let closes = |it: &Message| {
                        it.is_unframed || it.header("connection").is_some_and(|it| it == "close")
                    };
                    if answer.as_ref().map_or(true, closes) {
                        kept = None;
                    }
                    exchanges.lock().unwrap().push(Exchange { id, sent, status });
                    thread::sleep(period.saturating_sub(sent.elapsed()));
                }
            })
        });
        let threads = threads.collect();
        Self { exchanges, stopping, threads }
    }

    pub fn stop(self) -> Vec<Exchange> {
        self.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.exchanges.lock().unwrap().clone()
    }
}

fn exchange(
    kept: &mut Option<Connection>,
    node: SocketAddr,
    request: &str,
    limit_ms: u64,
) -> io::Result<Message> {
    if kept.is_none() {
        let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(limit_ms)))?;
        *kept = Some(Connection::new(stream));
    }
    let connection = kept.as_mut().unwrap();
    let mut exchange = || {
        connection.stream.write_all(request.as_bytes())?;
        connection.read_message(true)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    let answer = exchange();
    if answer.is_err() {
        *kept = None;
    }
    answer
}

/// Returns the root of the repository and a temporary folder of this process.
pub fn folders() -> (PathBuf, PathBuf) {
    let root = std::env::var_os("ROOT").map(PathBuf::from).unwrap_or_else(|| ".".into());
    let root = root.canonicalize().unwrap_or(root);
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    (root, folder)
}
