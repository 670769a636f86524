//! HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A message: its first line, headers with lower-case names, and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether a body without a length ended with its connection.
    pub is_unframed: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with the bytes that were received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    pending: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, pending: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16_384];
        let count = self.stream.read(&mut buffer)?;
        self.pending.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.pending.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.pending.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.pending.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.pending.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the first line and the headers; `None` if the peer closed the connection before.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        if self.pending.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let mut message = Message { first_line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok(Some(message));
            };
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads the body of `message`. A response without a length ends with its connection.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(size + 2)?;
                if size == 0 {
                    return Ok(());
                }
                message.body.extend_from_slice(&chunk[..size]);
            }
        }
        if let Some(length) = message.header("content-length") {
            let length: usize =
                length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            message.body = self.take(length)?;
        } else if is_response && ![204, 304].contains(&message.status()) {
            while self.fill()? != 0 {}
            message.body = std::mem::take(&mut self.pending);
            message.is_unframed = true;
        }
        Ok(())
    }

    /// Reads a whole message; `None` if the peer closed the connection before.
    pub fn read_message(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message, is_response)?;
        Ok(Some(message))
    }

    /// Sends a response with a length.
    pub fn respond(
        &mut self,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}
