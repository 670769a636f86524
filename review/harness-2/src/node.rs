//! A process of the system, started as the deploy file says.

use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::client::ask;

const PROGRAM: &str = "target/release/mustardmux";

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this program has started.
pub fn end_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    zone: String,
    store: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Node {
    pub fn new(name: &str, ip: IpAddr, zone: &str, store: SocketAddr, folder: &PathBuf) -> Self {
        Self {
            name: name.to_owned(),
            ip,
            zone: zone.to_owned(),
            store,
            folder: folder.clone(),
            child: None,
            starts: 0,
        }
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8225)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8227)
    }

    pub fn start(&mut self) {
        let Self { name, ip, zone, store, .. } = self;
        let settings = format!(
            r#"{{"NodeName":"{name}","Role":"edge","MachineClass":"front","Serves":["front","directory"],
"Ip":"{ip}","Zone":"{zone}","Region":"bayern","Zones":{{"{zone}":"bayern"}},
"ListenAddrs":{{"Front":"{ip}:8226","Ready":"{ip}:8227","Control":"{ip}:8224","directory":"{ip}:8225"}},
"PortRange":[7740,7755],"Seeds":[],"Bootstrap":{},"FaultCounted":false,
"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},
"DataDir":null,"Discovery":"platform","EntryMode":"directory","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","retry","recover","scatter","platform"],
"FaultTolerance":{{"Machines":1,"Zones":0,"Regions":0}},
"Bounds":{{"SeedLagS":3,"AddrReuseS":2,"StabilityMs":4000,"AckMs":5000,"CatchUpS":4,"DrainMs":3000,"GraceS":6,
"LossSlackMs":200,"ConfigApplyMs":3000,"RollbackSlackMs":250,"OuterBoundMs":12000,"RetryBudgetRatio":0.2,
"BudgetWindowS":10,"BudgetSlack":54,"RecoveryS":12,"ttl_max_s":5}},
"platform":{{"Address":"{store}","form":"kv","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,"ValueBytes":1048576,"TtlMinMs":1000}}}}"#,
            self.starts == 0
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings can be written");
        self.starts += 1;
        let log = self.folder.join(format!("{name}-{}.log", self.starts));
        let log = File::create(log).expect("the log can be written");
        let child = Command::new(PROGRAM)
            .args(["edge", "--metrics-port", "9464"])
            .env("MUSTARDMUX_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log can be shared"))
            .stdout(log)
            .spawn();
        let child = child.expect("the build of the deploy file is there");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            RUNNING.lock().unwrap().retain(|it| *it != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if ask(self.ready(), "/api/ready").is_some_and(|it| it.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
