//! Callers that begin requests and keep their connections open.

use std::{io, net::SocketAddr};

use futures::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Form in which a crowd sends the body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyForm {
    /// With `content-length`, in this many pieces.
    Sized {
        /// Number of pieces.
        pieces: usize,
    },
    /// In this many chunks of equal size, each sent at once.
    Chunked {
        /// Number of chunks.
        chunks: usize,
    },
    /// In chunks of one byte, as few as possible in each segment.
    SingleBytes,
}

/// The requests of a crowd.
#[derive(Debug, Clone)]
pub struct CrowdRequest {
    /// Request line and headers without those of the body; each line ends with CR LF.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
    /// Number of bytes at its end that are not sent.
    pub held_back: usize,
    /// Form of the body.
    pub form: BodyForm,
}

/// Open connections; dropping it closes them.
#[derive(Debug)]
pub struct CallerCrowd {
    callers: Vec<TcpStream>,
}

impl CallerCrowd {
    /// Opens up to `count` connections to `address`, and sends nothing on them. A connection that the
    /// server refuses is left out.
    pub async fn connect(address: SocketAddr, count: usize) -> Self {
        let mut callers = Vec::with_capacity(count);
        for _ in 0..count {
            if let Ok(stream) = TcpStream::connect(address).await {
                // If the server has closed the connection, the first write fails.
                let _ = stream.set_nodelay(true);
                callers.push(stream);
            }
        }
        Self { callers }
    }

    /// Returns the number of connections that were opened.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Returns whether no connection was opened.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    /// Sends `bytes` on all connections at once. A connection that the server closes is left alone, as
    /// is one on which it stops reading.
    pub async fn send(&mut self, bytes: &[u8]) {
        join_all(self.callers.iter_mut().map(|it| send_while_read(it, bytes))).await;
    }

    /// Begins a request on each connection, which ends before its last bytes if they are held back.
    pub async fn begin_requests(&mut self, request: &CrowdRequest) {
        for part in request.parts() {
            self.send(&part).await;
        }
    }
}

impl CrowdRequest {
    /// Returns the bytes of the request, in the pieces in which they are sent.
    fn parts(&self) -> Vec<Vec<u8>> {
        let body = &self.body[..self.body.len() - self.held_back];
        let (framing, pieces) = match self.form {
            BodyForm::Sized { pieces } => {
                let size = body.len().div_ceil(pieces).max(1);
                let framing = format!("content-length: {}\r\n", self.body.len());
                (framing, body.chunks(size).map(<[u8]>::to_vec).collect())
            }
            BodyForm::Chunked { chunks } => (chunked_framing(), chunk_lines(body, chunks)),
            BodyForm::SingleBytes => (chunked_framing(), chunk_lines(body, body.len())),
        };
        let mut pieces: Vec<Vec<u8>> = pieces;
        if self.held_back == 0 && self.form.is_chunked() {
            pieces.push(b"0\r\n\r\n".to_vec());
        }
        let head = format!("{}{framing}\r\n", self.head).into_bytes();
        match self.form {
            // Each round of single bytes is sent on all connections before the next one.
            BodyForm::SingleBytes | BodyForm::Sized { .. } => [vec![head], pieces].concat(),
            BodyForm::Chunked { .. } => vec![[vec![head], pieces].concat().concat()],
        }
    }
}

impl BodyForm {
    fn is_chunked(self) -> bool {
        matches!(self, Self::Chunked { .. } | Self::SingleBytes)
    }
}

fn chunked_framing() -> String {
    "transfer-encoding: chunked\r\n".to_owned()
}

/// Returns the body in `count` chunks with their sizes.
fn chunk_lines(body: &[u8], count: usize) -> Vec<Vec<u8>> {
    let size = body.len().div_ceil(count.max(1)).max(1);
    let frame = |it: &[u8]| [format!("{:x}\r\n", it.len()).as_bytes(), it, b"\r\n"].concat();
    body.chunks(size).map(frame).collect()
}

/// Sends `bytes` until the server closes the connection or has replied, so that it may read no more.
async fn send_while_read(stream: &mut TcpStream, bytes: &[u8]) {
    let (mut reader, mut writer) = stream.split();
    let mut reply = [0; 1_024];
    tokio::select! {
        biased;
        _ = writer.write_all(bytes) => {}
        _ = read_reply(&mut reader, &mut reply) => {}
    }
}

async fn read_reply(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    buffer: &mut [u8],
) -> io::Result<usize> {
    reader.read(buffer).await
}

/// Sends a whole request on a connection of its own, and returns the status of the reply; `None` if there
/// is none.
pub async fn send_request(address: SocketAddr, request: &CrowdRequest) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    for part in request.parts() {
        stream.write_all(&part).await.ok()?;
    }
    let mut reply = Vec::new();
    let mut buffer = [0; 4_096];
    while !reply.windows(2).any(|it| it == b"\r\n") {
        match stream.read(&mut buffer).await.ok()? {
            0 => return None,
            length => reply.extend_from_slice(&buffer[..length]),
        }
    }
    let line = String::from_utf8_lossy(&reply).into_owned();
    line.split(' ').nth(1)?.parse().ok()
}
