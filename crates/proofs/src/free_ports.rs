//! Allocation of loopback ports.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{
        LazyLock,
        atomic::{AtomicU32, Ordering},
    },
};

/// The allocated ports lie below the ephemeral range, so that no outgoing connection occupies one.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 20_000;

/// Starts at a random offset, so that concurrent test programs rarely try the same ports.
static NEXT_OFFSET: LazyLock<AtomicU32> =
    LazyLock::new(|| AtomicU32::new(rand::random_range(0..PORT_COUNT)));

/// Returns a loopback address whose port is free for TCP and UDP. Addresses are not allocated
/// twice until all `PORT_COUNT` ports have been tried.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free_address() -> SocketAddr {
    let ports = (0..PORT_COUNT).map(|_| NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORT_COUNT);
    let mut addresses = ports.filter_map(|it| u16::try_from(FIRST_PORT + it).ok()).map(address);
    addresses.find(|it| is_free(*it)).expect("a port is free")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}
