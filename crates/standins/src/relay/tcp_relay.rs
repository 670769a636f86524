//! TCP relay.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use mux_timer::TimerService;
use tokio::{
    io::{self as async_io, AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf},
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
};

use super::link_control::{LinkControl, LinkState};

const CHUNK_BYTES: usize = 16 << 10;
const CHUNKS_IN_FLIGHT: usize = 256;

/// Accepts connections and forwards their bytes until the listener fails.
pub(crate) async fn run(
    listener: TcpListener,
    target: SocketAddr,
    control: Arc<LinkControl>,
    timer: TimerService,
) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let number = control.register_connection();
        let link = RelayLink { number, state: control.subscribe(), timer: timer.clone() };
        tokio::spawn(link.run(stream, target));
    }
}

/// One connection through the relay.
#[derive(Clone)]
struct RelayLink {
    number: u64,
    state: watch::Receiver<LinkState>,
    timer: TimerService,
}

impl RelayLink {
    async fn run(self, stream: TcpStream, target: SocketAddr) -> io::Result<()> {
        // With zero linger, dropping the connection sends a reset.
        stream.set_zero_linger()?;
        stream.set_nodelay(true)?;
        let mut watched = self.state.clone();
        let cut = watched.wait_for(|it| it.is_cut(self.number));
        tokio::select! {
            _ = cut => Ok(()),
            res = self.clone().connect_and_forward(stream, target) => res,
        }
    }

    async fn connect_and_forward(self, stream: TcpStream, target: SocketAddr) -> io::Result<()> {
        let target_stream = TcpStream::connect(target).await?;
        target_stream.set_nodelay(true)?;
        // Dropping the write half of `TcpStream::into_split` would shut down without a reset.
        let (client_read, client_write) = async_io::split(stream);
        let (target_read, target_write) = async_io::split(target_stream);
        let client_to_target = self.clone().forward(client_read, target_write);
        let target_to_client = self.forward(target_read, client_write);
        tokio::try_join!(client_to_target, target_to_client).map(drop)
    }

    /// Reads and writes concurrently, so that the delay doesn't reduce the throughput.
    async fn forward(self, from: ReadHalf<TcpStream>, to: WriteHalf<TcpStream>) -> io::Result<()> {
        let (chunks_tx, chunks_rx) = mpsc::channel(CHUNKS_IN_FLIGHT);
        let read = self.clone().read_chunks(from, chunks_tx);
        let write = self.write_chunks(to, chunks_rx);
        tokio::try_join!(read, write).map(drop)
    }

    async fn read_chunks(
        self,
        mut from: ReadHalf<TcpStream>,
        chunks: mpsc::Sender<RelayChunk>,
    ) -> io::Result<()> {
        loop {
            let mut bytes = Vec::with_capacity(CHUNK_BYTES);
            if from.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
            let delay = Duration::from_millis(self.state.borrow().control.delay_ms);
            let chunk = RelayChunk { bytes, send_at: self.timer.now() + delay };
            if chunks.send(chunk).await.is_err() {
                return Ok(());
            }
        }
    }

    async fn write_chunks(
        mut self,
        mut to: WriteHalf<TcpStream>,
        mut chunks: mpsc::Receiver<RelayChunk>,
    ) -> io::Result<()> {
        while let Some(chunk) = chunks.recv().await {
            self.timer.sleep_until(chunk.send_at).await;
            self.wait_while_silent().await;
            to.write_all(&chunk.bytes).await?;
        }
        self.wait_while_silent().await;
        to.shutdown().await
    }

    /// Waits until the connection may transfer bytes. A connection opened before a silent mode was
    /// set stays silent; one opened during `SilentAll` resumes when the mode changes.
    async fn wait_while_silent(&mut self) {
        let number = self.number;
        // Fails only when the relay stops.
        let _ = self.state.wait_for(|it| !it.is_silent(number)).await;
    }
}

/// Bytes queued in the relay.
struct RelayChunk {
    bytes: Vec<u8>,
    send_at: mux_model::TimePoint,
}
