//! Memory and descriptors of a child process, as the operating system reports them.

use std::{fs, net::SocketAddr};

use super::ChildProcess;

/// Memory and descriptors of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Largest memory since the start of the process, in KiB.
    pub peak_memory_kib: u64,
    /// Open descriptors.
    pub descriptors: usize,
    /// Open descriptors that are sockets.
    pub sockets: usize,
}

impl ProcessUsage {
    /// Reads the usage of `process`; returns `None` if it has ended.
    pub fn read(process: &ChildProcess) -> Option<Self> {
        let directory = format!("/proc/{}", process.id());
        let status = fs::read_to_string(format!("{directory}/status")).ok()?;
        let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:"))?;
        let peak_memory_kib = peak.trim().trim_end_matches(" kB").parse().ok()?;
        let entries = fs::read_dir(format!("{directory}/fd")).ok()?;
        // A descriptor may be closed while the directory is read.
        let targets: Vec<_> =
            entries.flatten().filter_map(|it| fs::read_link(it.path()).ok()).collect();
        let is_socket = |it: &&std::path::PathBuf| it.to_string_lossy().starts_with("socket:");
        let sockets = targets.iter().filter(is_socket).count();
        Some(Self { peak_memory_kib, descriptors: targets.len(), sockets })
    }
}

/// Returns the number of connections that wait at the IPv4 address `address` to be accepted.
///
/// # Panics
///
/// Panics if the operating system does not list its sockets.
pub fn waiting_connections(address: SocketAddr) -> u64 {
    receive_queues(address, true)
}

/// Returns the bytes that were received at the IPv4 address `address` and are not read yet, over all
/// connections.
///
/// # Panics
///
/// Panics if the operating system does not list its connections.
pub fn unread_bytes(address: SocketAddr) -> u64 {
    receive_queues(address, false)
}

/// Returns the sum of the receive queues of the listening sockets at `address`, or of the connections.
fn receive_queues(address: SocketAddr, of_listeners: bool) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").expect("the sockets are listed");
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let unread = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next()? == local;
        let is_listener = fields.next()?.ends_with(":0000");
        let (_, queue) = fields.nth(1)?.split_once(':')?;
        let is_counted = is_local && is_listener == of_listeners;
        is_counted.then(|| u64::from_str_radix(queue, 16).ok()).flatten()
    };
    table.lines().filter_map(unread).sum()
}
