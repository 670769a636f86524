//! UDP relay.

use std::{collections::hash_map::Entry, io, net::SocketAddr, sync::Arc, time::Duration};

use mux_model::FastMap;
use mux_timer::TimerService;
use tokio::net::UdpSocket;

use super::{link_control::LinkControl, relay_settings::RelayMode};

const DATAGRAM_BYTES: usize = 64 << 10;
const REPLY_BIND_ADDRESS: &str = "127.0.0.1:0";

/// Forwards datagrams to the target, and its replies to their senders, until the socket fails.
pub(crate) async fn run(
    socket: UdpSocket,
    target: SocketAddr,
    control: Arc<LinkControl>,
    timer: TimerService,
) -> io::Result<()> {
    let socket = Arc::new(socket);
    let mut sockets_by_sender: FastMap<SocketAddr, Arc<UdpSocket>> = FastMap::default();
    let mut buf = vec![0; DATAGRAM_BYTES];
    loop {
        let (length, sender) = socket.recv_from(&mut buf).await?;
        let target_socket = match sockets_by_sender.entry(sender) {
            Entry::Occupied(known) => Arc::clone(known.get()),
            Entry::Vacant(new) => {
                let target_socket = Arc::new(UdpSocket::bind(REPLY_BIND_ADDRESS).await?);
                target_socket.connect(target).await?;
                let reply_forwarder = ReplyForwarder { socket: Arc::clone(&socket), sender };
                tokio::spawn(reply_forwarder.run(
                    Arc::clone(&target_socket),
                    Arc::clone(&control),
                    timer.clone(),
                ));
                Arc::clone(new.insert(target_socket))
            }
        };
        let datagram = buf[..length].to_vec();
        forward_datagram(&control, &timer, async move { target_socket.send(&datagram).await });
    }
}

/// Forwards replies of the target to one sender.
struct ReplyForwarder {
    socket: Arc<UdpSocket>,
    sender: SocketAddr,
}

impl ReplyForwarder {
    async fn run(
        self,
        target_socket: Arc<UdpSocket>,
        control: Arc<LinkControl>,
        timer: TimerService,
    ) {
        let mut buf = vec![0; DATAGRAM_BYTES];
        loop {
            // Fails while the target is unreachable, which can be temporary.
            let Ok(length) = target_socket.recv(&mut buf).await else {
                continue;
            };
            let (socket, sender) = (Arc::clone(&self.socket), self.sender);
            let datagram = buf[..length].to_vec();
            let send = async move { socket.send_to(&datagram, sender).await };
            forward_datagram(&control, &timer, send);
        }
    }
}

/// Sends a datagram after the delay, or drops it unless the mode is `Pass`.
fn forward_datagram(
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
        // A failed send is equivalent to a lost datagram.
        let _ = send.await;
    });
}
