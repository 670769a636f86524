//! A relay before an upstream that treats the connections of each node's process in a way of its own.

use std::{
    fs, io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Position of the local address, and of the inode, in a line of the system's table of connections.
const LOCAL_ADDRESS_FIELD: usize = 1;
const INODE_FIELD: usize = 9;

/// What a relay does with the connections of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutMode {
    /// Accepts connections and forwards nothing.
    Silent,
    /// Resets open and new connections.
    Resetting,
}

/// The processes that are cut from all upstreams.
#[derive(Debug, Clone)]
pub struct ProcessCuts {
    cuts: watch::Sender<Vec<(u32, CutMode)>>,
}

impl Default for ProcessCuts {
    fn default() -> Self {
        Self { cuts: watch::Sender::new(Vec::new()) }
    }
}

impl ProcessCuts {
    /// Cuts the process with this id.
    pub fn cut(&self, process: u32, mode: CutMode) {
        self.cuts.send_modify(|it| {
            it.retain(|(id, _)| *id != process);
            it.push((process, mode));
        });
    }

    /// Ends the cut of the process with this id.
    pub fn restore(&self, process: u32) {
        self.cuts.send_modify(|it| it.retain(|(id, _)| *id != process));
    }
}

/// A relay to one upstream; dropping it ends it.
#[derive(Debug)]
pub struct ProcessRelay {
    /// Address at which nodes reach the upstream.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for ProcessRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ProcessRelay {
    /// Starts a relay to `target`.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(target: SocketAddr, processes: &[u32], cuts: &ProcessCuts) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("the address of the listener");
        let processes: Arc<[u32]> = processes.into();
        let cuts = cuts.cuts.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, source)) = listener.accept().await {
                let (processes, cuts) = (Arc::clone(&processes), cuts.subscribe());
                tokio::spawn(async move {
                    // With zero linger, dropping the connection resets it.
                    stream.set_zero_linger()?;
                    // The connection of an unknown process may be that of one that is cut.
                    match owner_of(source, &processes) {
                        Some(owner) => forward(stream, target, owner, cuts).await,
                        None => Ok(()),
                    }
                });
            }
        });
        Self { address, task }
    }
}

async fn forward(
    stream: TcpStream,
    target: SocketAddr,
    owner: u32,
    cuts: watch::Receiver<Vec<(u32, CutMode)>>,
) -> io::Result<()> {
    let mode = move |cuts: &[(u32, CutMode)]| {
        cuts.iter().find(|(id, _)| *id == owner).map(|(_, mode)| *mode)
    };
    let (mut reset, mut silent, mut open) = (cuts.clone(), cuts.clone(), cuts);
    let wait_for_reset =
        async move { reset.wait_for(|it| mode(it) == Some(CutMode::Resetting)).await.is_ok() };
    let exchange = async move {
        let mut upstream = TcpStream::connect(target).await?;
        let mut stream = stream;
        let is_silenced =
            async { silent.wait_for(|it| mode(it) == Some(CutMode::Silent)).await.is_ok() };
        tokio::select! {
            biased;
            _ = is_silenced => {}
            result = tokio::io::copy_bidirectional(&mut stream, &mut upstream) => {
                return result.map(drop);
            }
        }
        // Bytes that were in the middle of the relay are lost, so that the connection is useless after the
        // cut; it stays open and silent until then.
        let _ = open.wait_for(|it| mode(it).is_none()).await;
        Err(io::ErrorKind::ConnectionReset.into())
    };
    tokio::select! {
        _ = wait_for_reset => Ok(()),
        result = exchange => result,
    }
}

/// Returns which of the processes has the connection with the local address `address`.
fn owner_of(address: SocketAddr, processes: &[u32]) -> Option<u32> {
    /// Looking up connections reads tables of the whole system, so it is done one at a time.
    static LOOKUP: Mutex<()> = Mutex::new(());
    let _guard = LOOKUP.lock().unwrap_or_else(PoisonError::into_inner);
    let socket = format!("socket:[{}]", connection_inode(address)?);
    processes.iter().copied().find(|id| has_socket(*id, &socket))
}

fn connection_inode(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut lines = table.lines().map(|it| it.split_whitespace().collect::<Vec<_>>());
    let line = lines.find(|it| it.get(LOCAL_ADDRESS_FIELD).is_some_and(|it| *it == local))?;
    line.get(INODE_FIELD).map(|it| (*it).to_owned())
}

fn has_socket(process: u32, socket: &str) -> bool {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    let targets = descriptors.flatten().filter_map(|it| fs::read_link(it.path()).ok());
    targets.into_iter().any(|it| it.as_os_str() == socket)
}
