//! A server that replies to HTTP/2 requests with bytes given by the test.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use mux_timer::TimerService;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// HTTP/2 frames as bytes (RFC 9113, section 4.1).
pub(crate) mod frames {
    pub(crate) const SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];
    /// RST_STREAM of stream 1 with REFUSED_STREAM.
    pub(crate) const REFUSED_STREAM: &[u8] = &[0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, 7];
    /// RST_STREAM of stream 1 with INTERNAL_ERROR.
    pub(crate) const RESET_STREAM: &[u8] = &[0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, 2];
    /// RST_STREAM of stream 1 with NO_ERROR.
    pub(crate) const END_STREAM_EARLY: &[u8] = &[0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, 0];
    /// RST_STREAM of stream 1 with CANCEL.
    pub(crate) const CANCEL_STREAM: &[u8] = &[0, 0, 4, 3, 0, 0, 0, 0, 1, 0, 0, 0, 8];
    /// GOAWAY whose last stream identifier is 0.
    pub(crate) const GO_AWAY_LAST_STREAM_0: &[u8] =
        &[0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    /// GOAWAY whose last stream identifier is 1.
    pub(crate) const GO_AWAY_LAST_STREAM_1: &[u8] =
        &[0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0];

    /// Returns HEADERS of stream 1 with status 200 and `headers` as literals (RFC 7541, 6.2.2).
    pub(crate) fn reply_head(headers: &[(&str, &str)]) -> Vec<u8> {
        let mut block = vec![0x88];
        for (name, value) in headers {
            block.push(0);
            for text in [name, value] {
                block.push(u8::try_from(text.len()).expect("short text"));
                block.extend_from_slice(text.as_bytes());
            }
        }
        let length = u8::try_from(block.len()).expect("short block");
        [&[0, 0, length, 1, 4, 0, 0, 0, 1], &block[..]].concat()
    }

    /// Returns HEADERS of stream 1 with END_STREAM and one literal: the trailers of a reply.
    pub(crate) fn trailers(name: &str, value: &str) -> Vec<u8> {
        let mut block = vec![0];
        for text in [name, value] {
            block.push(u8::try_from(text.len()).expect("short text"));
            block.extend_from_slice(text.as_bytes());
        }
        let length = u8::try_from(block.len()).expect("short block");
        [&[0, 0, length, 1, 5, 0, 0, 0, 1], &block[..]].concat()
    }

    /// Returns DATA of stream 1 with END_STREAM.
    pub(crate) fn last_data(text: &str) -> Vec<u8> {
        let mut frame = data(text);
        frame[4] = 1;
        frame
    }

    /// Returns DATA of stream 1 without END_STREAM.
    pub(crate) fn data(text: &str) -> Vec<u8> {
        let length = u8::try_from(text.len()).expect("short text");
        [&[0, 0, length, 0, 0, 0, 0, 0, 1], text.as_bytes()].concat()
    }
}

const PREFACE_BYTES: usize = 24;
/// Long enough for a client that does not wait for the server's first byte to send its request.
const CLOSE_DELAY: Duration = Duration::from_millis(200);
const FRAME_TYPE_HEADERS: u8 = 1;

/// Server that closes each connection after it has sent bytes given by the test, or without sending
/// any.
pub(crate) struct RawServer {
    pub(crate) address: SocketAddr,
    pub(crate) accepted: Arc<AtomicU32>,
}

impl RawServer {
    /// Starts a server that, on each connection, sends `SETTINGS`, waits for a request, sends
    /// `reply` and closes the connection.
    pub(crate) async fn start(reply: Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
        let address = listener.local_addr().expect("bound address");
        let accepted = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&accepted);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counter.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream, reply.clone()));
            }
        });
        Self { address, accepted }
    }

    /// Starts a server that sends nothing and closes a connection `CLOSE_DELAY` after its preface.
    pub(crate) async fn start_closing(timer: TimerService) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
        let address = listener.local_addr().expect("bound address");
        let accepted = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&accepted);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counter.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(close_after_preface(stream, timer.clone()));
            }
        });
        Self { address, accepted }
    }
}

async fn close_after_preface(mut stream: TcpStream, timer: TimerService) -> std::io::Result<()> {
    stream.read_exact(&mut [0; PREFACE_BYTES]).await?;
    timer.sleep(CLOSE_DELAY).await;
    Ok(())
}

async fn serve(mut stream: TcpStream, reply: Vec<u8>) -> std::io::Result<()> {
    stream.write_all(frames::SETTINGS).await?;
    stream.read_exact(&mut [0; PREFACE_BYTES]).await?;
    while read_frame_type(&mut stream).await? != FRAME_TYPE_HEADERS {}
    stream.write_all(&reply).await?;
    stream.flush().await
}

async fn read_frame_type(stream: &mut TcpStream) -> std::io::Result<u8> {
    let mut head = [0; 9];
    stream.read_exact(&mut head).await?;
    let length = usize::from(head[0]) << 16 | usize::from(head[1]) << 8 | usize::from(head[2]);
    stream.read_exact(&mut vec![0; length]).await?;
    Ok(head[3])
}
