//! Effect of the relay modes on open and new connections and on datagrams.

mod support;

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use mux_timer::TimerService;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};

use support::{ANY_PORT, BoundAddresses, TestDoubleProcess};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a link without an echo counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
const RETRY_PERIOD: Duration = Duration::from_millis(20);

struct RelayFixture {
    timer: TimerService,
    listen: SocketAddr,
    control: SocketAddr,
    _process: TestDoubleProcess,
}

impl RelayFixture {
    async fn start(protocol: &str, target: SocketAddr) -> Self {
        let relay = json!({
            "listen": ANY_PORT,
            "target": target,
            "protocol": protocol,
            "control_listen": ANY_PORT,
        });
        let process = TestDoubleProcess::start("relay", &json!({ "relays": [relay] }));
        let BoundAddresses { listen, control } = process.addresses;
        let timer = TimerService::start(Duration::from_secs(1));
        let fixture = Self { timer, listen, control, _process: process };
        fixture.set_mode("pass").await;
        fixture
    }

    /// Sets the mode; retries while the relay starts.
    async fn set_mode(&self, mode: &str) {
        let deadline = self.timer.now() + TEST_TIMEOUT;
        while self.try_set_mode(mode).await.is_err() {
            assert!(self.timer.now() < deadline, "the relay did not accept the mode in time");
            self.timer.sleep(RETRY_PERIOD).await;
        }
    }

    async fn try_set_mode(&self, mode: &str) -> std::io::Result<()> {
        let body = json!({ "mode": mode }).to_string();
        let mut stream = TcpStream::connect(self.control).await?;
        let head = format!(
            "PUT /v1/control HTTP/1.1\r\nhost: relay\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes()).await?;
        let mut status = [0; 12];
        stream.read_exact(&mut status).await?;
        assert_eq!(&status, b"HTTP/1.1 200");
        Ok(())
    }

    /// Returns whether an echo is received in time; fails if the link is reset.
    async fn receives_echo(&self, stream: &mut TcpStream) -> std::io::Result<bool> {
        stream.write_all(b"x").await?;
        let mut byte = [0];
        match self.timer.timeout(SILENCE_TIMEOUT, stream.read_exact(&mut byte)).await {
            Ok(res) => res.map(|_| true),
            Err(_) => Ok(false),
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.listen).await.expect("the relay accepts connections")
    }

    /// Connects and waits for an echo without a time limit.
    async fn connect_and_echo(&self) -> TcpStream {
        let mut stream = self.connect().await;
        stream.write_all(b"x").await.expect("an open link");
        stream.read_exact(&mut [0]).await.expect("an echo");
        stream
    }
}

async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback port");
    let address = listener.local_addr().expect("bound address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                // Ends with the connection.
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

#[gtest]
#[tokio::test]
async fn silent_open_mode_silences_open_connections_only() {
    // Arrange.
    let fixture = RelayFixture::start("tcp", start_echo_server().await).await;
    let mut open = fixture.connect_and_echo().await;

    // Act.
    fixture.set_mode("silent_open").await;

    // Assert.
    expect_that!(fixture.receives_echo(&mut open).await, ok(eq(&false)));
    fixture.connect_and_echo().await;
    fixture.set_mode("pass").await;
    expect_that!(fixture.receives_echo(&mut open).await, ok(eq(&false)));
}

#[gtest]
#[tokio::test]
async fn silent_all_mode_silences_new_connections_too() {
    // Arrange.
    let fixture = RelayFixture::start("tcp", start_echo_server().await).await;
    let mut open = fixture.connect_and_echo().await;

    // Act.
    fixture.set_mode("silent_all").await;
    let mut new = fixture.connect().await;

    // Assert.
    expect_that!(fixture.receives_echo(&mut open).await, ok(eq(&false)));
    expect_that!(fixture.receives_echo(&mut new).await, ok(eq(&false)));
}

#[gtest]
#[tokio::test]
async fn cut_mode_resets_open_connections() {
    // Arrange.
    let fixture = RelayFixture::start("tcp", start_echo_server().await).await;
    let mut open = fixture.connect_and_echo().await;

    // Act.
    fixture.set_mode("cut").await;
    let read = open.read(&mut [0]).await;
    fixture.set_mode("pass").await;

    // Assert.
    expect_that!(read.map_err(|it| it.kind()), err(eq(std::io::ErrorKind::ConnectionReset)));
    fixture.connect_and_echo().await;
}

#[gtest]
#[tokio::test]
async fn datagrams_are_forwarded_both_ways_unless_cut() {
    // Arrange.
    let target = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let fixture = RelayFixture::start("udp", target.local_addr().unwrap()).await;
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    sender.connect(fixture.listen).await.unwrap();
    let mut buf = [0; 8];

    // Act.
    sender.send(b"there").await.unwrap();
    let (length, from) = target.recv_from(&mut buf).await.unwrap();
    target.send_to(b"back", from).await.unwrap();
    let reply = sender.recv(&mut [0; 8]).await;
    fixture.set_mode("cut").await;
    sender.send(b"lost").await.unwrap();
    let cut = fixture.timer.timeout(SILENCE_TIMEOUT, target.recv_from(&mut [0; 8])).await;

    // Assert.
    expect_that!(&buf[..length], eq(b"there"));
    expect_that!(reply, ok(eq(&4)));
    expect_true!(cut.is_err());
}
