//! Relay of datagrams.

use std::{collections::hash_map::Entry, io, net::SocketAddr, sync::Arc, time::Duration};

use mux_model::FastMap;
use mux_timer::TimerService;
use tokio::net::UdpSocket;

use super::{link_control::LinkControl, relay_settings::RelayMode};

const DATAGRAM_BYTES: usize = 64 << 10;
const RETURN_ADDRESS: &str = "127.0.0.1:0";

/// Passes datagrams on, and replies back to each sender, until the socket fails.
pub(crate) async fn run(
    socket: UdpSocket,
    target: SocketAddr,
    control: Arc<LinkControl>,
    timer: TimerService,
) -> io::Result<()> {
    let socket = Arc::new(socket);
    let mut senders: FastMap<SocketAddr, Arc<UdpSocket>> = FastMap::default();
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, sender) = socket.recv_from(&mut buf).await?;
        let onward = match senders.entry(sender) {
            Entry::Occupied(known) => Arc::clone(known.get()),
            Entry::Vacant(new) => {
                let onward = Arc::new(UdpSocket::bind(RETURN_ADDRESS).await?);
                onward.connect(target).await?;
                let back = ReturnPath { socket: Arc::clone(&socket), sender };
                tokio::spawn(back.run(Arc::clone(&onward), Arc::clone(&control), timer.clone()));
                Arc::clone(new.insert(onward))
            }
        };
        let datagram = buf[..length].to_vec();
        pass(&control, &timer, async move { onward.send(&datagram).await });
    }
}

/// Way back to the sender of a datagram.
struct ReturnPath {
    socket: Arc<UdpSocket>,
    sender: SocketAddr,
}

impl ReturnPath {
    async fn run(self, onward: Arc<UdpSocket>, control: Arc<LinkControl>, timer: TimerService) {
        let mut buf = vec![0; DATAGRAM_BYTES];
        loop {
            // An unreachable target shows as an error here and may come back.
            let Ok(length) = onward.recv(&mut buf).await else {
                continue;
            };
            let (socket, sender) = (Arc::clone(&self.socket), self.sender);
            let datagram = buf[..length].to_vec();
            let send = async move { socket.send_to(&datagram, sender).await };
            pass(&control, &timer, send);
        }
    }
}

/// Sends a datagram after the delay, or drops it.
fn pass(
    control: &LinkControl,
    timer: &TimerService,
    send: impl Future<Output = io::Result<usize>> + Send + 'static,
) {
    let control = control.state().control;
    if control.mode != RelayMode::Pass {
        return;
    }
    let timer = timer.clone();
    tokio::spawn(async move {
        timer.sleep(Duration::from_millis(control.delay_ms)).await;
        // A datagram may be lost on any network.
        let _ = send.await;
    });
}
