//! Processes of the system, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::Conn;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Ports of all nodes; each node has its own loopback address.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub directory: u16,
    pub relay: u16,
    pub metrics: u16,
}

/// Settings of one node.
#[derive(Clone)]
pub struct NodeSettings {
    pub name: String,
    pub zone: String,
    pub ip: String,
    pub ports: Ports,
    pub link_mbps: f64,
    pub store: SocketAddr,
}

impl NodeSettings {
    fn text(&self) -> String {
        let Self { name, zone, ip, ports, link_mbps, store } = self;
        let Ports { front, ready, directory, relay, .. } = ports;
        let last = relay + 1;
        format!(
            "{{\"NodeName\":\"{name}\",\"Role\":\"edge\",\"MachineClass\":\"front\",\
             \"Serves\":[\"front\",\"directory\"],\"Ip\":\"{ip}\",\"Zone\":\"{zone}\",\
             \"Region\":\"r\",\"Zones\":{{\"a\":\"r\",\"b\":\"r\",\"c\":\"r\"}},\
             \"ListenAddrs\":{{\"Front\":\"{ip}:{front}\",\"Ready\":\"{ip}:{ready}\",\
             \"directory\":\"{ip}:{directory}\"}},\"PortRange\":[{relay},{last}],\
             \"Seeds\":[],\"Bootstrap\":true,\"FaultCounted\":false,\
             \"Limits\":{{\"CpuShare\":0.25,\"Cores\":1,\"MemoryMb\":260,\"MaxFds\":4100,\
             \"LinkMbps\":{link_mbps:.1},\"DiskMb\":0}},\"DataDir\":null,\
             \"Discovery\":\"platform\",\"EntryMode\":\"directory\",\"HeartbeatMs\":1200,\
             \"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
             \"scatter\",\"platform\"],\"FaultTolerance\":{{\"Machines\":1,\"Zones\":0,\
             \"Regions\":0}},\"Bounds\":{{\"SeedLagS\":3,\"AddrReuseS\":2,\"StabilityMs\":4000,\
             \"AckMs\":5000,\"CatchUpS\":4,\"DrainMs\":3000,\"GraceS\":6,\"LossSlackMs\":200,\
             \"ConfigApplyMs\":3000,\"RollbackSlackMs\":250,\"OuterBoundMs\":12000,\
             \"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,\"BudgetSlack\":54,\"RecoveryS\":12,\
             \"ttl_max_s\":5}},\"platform\":{{\"Address\":\"{store}\",\"form\":\"kv\",\
             \"WritesPerS\":400,\"ReadsPerS\":2000,\"HistoryS\":20,\"ValueBytes\":1048576,\
             \"TtlMinMs\":1000}}}}"
        )
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports.front).parse().expect("address")
    }

    fn ready(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports.ready).parse().expect("address")
    }
}

/// A process of the system; killed when it is dropped.
pub struct Edge {
    pub settings: NodeSettings,
    folder: PathBuf,
    child: Child,
}

impl Edge {
    pub fn start(program: &Path, folder: &Path, settings: NodeSettings) -> Self {
        let file = folder.join(format!("{}.json", settings.name));
        fs::write(&file, settings.text()).expect("settings file");
        let child = spawn(program, folder, &settings);
        Self { settings, folder: folder.to_owned(), child }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }

    /// Starts the process again, after it has ended.
    pub fn restart(&mut self, program: &Path) {
        self.child = spawn(program, &self.folder, &self.settings);
    }

    pub fn is_ready(&self) -> bool {
        get(self.settings.ready(), "/api/ready").is_some_and(|it| it.0 == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.settings.name))
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &Path, folder: &Path, settings: &NodeSettings) -> Child {
    let log = folder.join(format!("{}.log", settings.name));
    let log = File::options().create(true).append(true).open(log).expect("log file");
    Command::new(program)
        .args(["edge", "--metrics-port", &settings.ports.metrics.to_string()])
        .env("MUSTARDMUX_NODE_FILE", folder.join(format!("{}.json", settings.name)))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

/// Makes a GET request on a new connection.
pub fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let mut conn = Conn::new(stream);
    conn.write(format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())
        .ok()?;
    let reply = conn.read().ok()??;
    Some((reply.status(), String::from_utf8_lossy(&reply.body).into_owned()))
}
