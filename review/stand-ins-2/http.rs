//! HTTP/1.1 over blocking sockets: just what the stand-ins need.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration, //
};

/// Head and body of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Headers, with lower-case names.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with what was read and not used yet.
pub struct Link {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

fn closed() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "closed")
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the system keep only little of what a consumer hasn't read.
pub fn set_small_window(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let bytes: i32 = 4096;
    // SOL_SOCKET and SO_RCVBUF.
    let _ = unsafe { setsockopt(stream.as_raw_fd(), 1, 8, &bytes, 4) };
}

impl Link {
    pub fn new(stream: TcpStream) -> Link {
        let _ = stream.set_nodelay(true);
        Link {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Link> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Link::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; an error at the end of the connection.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let length = self.stream.read(&mut piece)?;
        if length == 0 {
            return Err(closed());
        }
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(length)
    }

    /// Reads a head, without the body.
    pub fn head(&mut self) -> io::Result<Message> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_string();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(name, value)| {
                    (name.trim().to_ascii_lowercase(), value.trim().to_string())
                });
                return Ok(Message {
                    first,
                    headers: headers.collect(),
                    body: Vec::new(),
                });
            }
            self.fill()?;
        }
    }

    pub fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
        if size == 0 {
            while !self.line()?.is_empty() {}
            return Ok(Vec::new());
        }
        let bytes = self.exactly(size)?;
        self.exactly(2)?;
        Ok(bytes)
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.body = self.exactly(length)?;
            return Ok(());
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(());
                }
                message.body.extend(chunk);
            }
        }
        Ok(())
    }

    /// Reads a whole request or response.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        self.body(&mut message)?;
        Ok(message)
    }
}

pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Encodes a response with a length.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection, and reads the whole response.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut link = Link::open(address, limit)?;
    link.send(request)?;
    link.message()
}
