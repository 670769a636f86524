//! HTTP/1.1 messages over a blocking stream.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    pub fn all(&self, name: &str) -> String {
        let values: Vec<_> =
            self.headers.iter().filter(|it| it.0 == name).map(|it| it.1.as_str()).collect();
        values.join(",")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// A stream with the bytes that were read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0_u8; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed"));
        }
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            self.fill()?;
        }
        Ok(self.rest.drain(..count).collect())
    }

    /// Reads a message whose body has a length or comes in chunks.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = Message { first_line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            loop {
                let size = self.line()?;
                let size = size.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).unwrap_or(0);
                let chunk = self.bytes(size)?;
                message.body.extend(chunk);
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        message.body = self.bytes(length)?;
        Ok(message)
    }

    pub fn write(
        &mut self,
        first_line: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{first_line}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}
