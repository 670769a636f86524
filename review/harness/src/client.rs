//! Stand-ins of clients.

use std::{
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use crate::{
    http::Conn,
    record::{Record, Sent},
};

/// One kind of request.
#[derive(Clone)]
pub struct RequestKind {
    pub method: &'static str,
    pub path: String,
    pub deadline_ms: u64,
    pub body_bytes: usize,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// The body that belongs to a request id.
pub fn body_of(id: &str, bytes: usize) -> Vec<u8> {
    id.bytes().cycle().take(bytes).collect()
}

/// Sends one request on `conn`, opening it if necessary; a connection that failed is dropped.
pub fn send(
    record: &Record,
    node: usize,
    address: SocketAddr,
    conn: &mut Option<Conn>,
    kind: &RequestKind,
) -> Sent {
    let id = next_id();
    let at = record.now();
    let started = Instant::now();
    let mut sent = Sent { at, took: 0.0, node, request: id.clone(), status: 0 };
    let result = exchange(address, conn, kind, &id, &mut sent);
    if result.is_err() {
        *conn = None;
        sent.status = 0;
    }
    sent.took = started.elapsed().as_secs_f64();
    sent
}

fn exchange(
    address: SocketAddr,
    conn: &mut Option<Conn>,
    kind: &RequestKind,
    id: &str,
    sent: &mut Sent,
) -> std::io::Result<()> {
    if conn.is_none() {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        *conn = Some(Conn::new(stream));
    }
    let conn_ref = conn.as_mut().expect("open connection");
    let limit = Duration::from_millis(kind.deadline_ms + 2_000);
    conn_ref.stream.set_read_timeout(Some(limit))?;
    let body = body_of(id, kind.body_bytes);
    let mut text = format!(
        "{} {}{id} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n",
        kind.method, kind.path, kind.deadline_ms
    );
    if kind.method == "POST" {
        text.push_str(&format!("Content-Length: {0}\r\nX-Body-Bytes: {0}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&body);
    conn_ref.write(&bytes)?;
    let Some(reply) = conn_ref.read()? else {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    };
    sent.status = reply.status();
    if reply.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close")) {
        *conn = None;
    }
    Ok(())
}
