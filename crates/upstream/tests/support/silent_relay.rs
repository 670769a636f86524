//! A TCP relay whose open connections can be silenced while new ones work.

use std::net::SocketAddr;

use tokio::{
    io,
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// TCP relay on a loopback port.
pub(crate) struct SilentRelay {
    pub(crate) address: SocketAddr,
    silenced_up_to: watch::Sender<u32>,
    accepted: watch::Receiver<u32>,
}

impl SilentRelay {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
        let address = listener.local_addr().expect("bound address");
        let silenced_up_to = watch::Sender::new(0);
        let (accepted_tx, accepted) = watch::channel(0);
        let silence = silenced_up_to.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted_tx.send_modify(|it| *it += 1);
                let number = *accepted_tx.borrow();
                tokio::spawn(forward(stream, target, number, silence.clone()));
            }
        });
        Self { address, silenced_up_to, accepted }
    }

    /// Stops forwarding bytes on all connections accepted so far, and keeps them open.
    pub(crate) fn silence_open_connections(&self) {
        self.silenced_up_to.send_replace(*self.accepted.borrow());
    }
}

async fn forward(
    mut stream: TcpStream,
    target: SocketAddr,
    number: u32,
    mut silence: watch::Receiver<u32>,
) -> io::Result<()> {
    let mut upstream = TcpStream::connect(target).await?;
    let silenced = async {
        // Fails only when the test drops the relay.
        let _ = silence.wait_for(|silenced_up_to| number <= *silenced_up_to).await;
    };
    tokio::select! {
        res = io::copy_bidirectional(&mut stream, &mut upstream) => res.map(drop),
        () = silenced => {
            // Keeps both ends open until the test is over.
            std::future::pending().await
        }
    }
}
