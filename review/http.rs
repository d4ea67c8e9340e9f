//! HTTP/1.1 on blocking sockets: a server with a thread a connection, and the reading of messages.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// Time from the last answers of a process that crashes to the end of its channels.
pub const CRASH_TIME: Duration = Duration::from_millis(10);

/// A request's or an answer's head.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Bytes a second that are read; 0 for no limit.
    pace: Arc<AtomicU64>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Channel {
        let _ = stream.set_nodelay(true);
        Channel { stream, buffer: Vec::new(), pace: Arc::default() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16384];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        let pace = self.pace.load(Ordering::SeqCst);
        if pace > 0 {
            thread::sleep(Duration::from_secs_f64(length as f64 / pace as f64));
        }
        Ok(length)
    }

    fn take(&mut self, length: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(length);
        std::mem::replace(&mut self.buffer, rest)
    }

    /// Reads a line without its end; `None` if the channel ends first.
    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let mut line = self.take(end + 2);
                line.truncate(end);
                return Ok(Some(String::from_utf8_lossy(&line).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a head; `None` if the channel ends before it or within it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let Some(line) = self.line()? else {
            return Ok(None);
        };
        let mut head = Head { line, headers: Vec::new() };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(head)),
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    head.headers.push((name.trim().into(), value.trim().into()));
                }
            }
        }
    }

    /// Reads a body; `None` if the channel ends within it.
    pub fn body(&mut self, head: &Head) -> io::Result<Option<Vec<u8>>> {
        if head.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            while let Some(chunk) = self.chunk()? {
                if chunk.is_empty() {
                    return Ok(Some(body));
                }
                body.extend_from_slice(&chunk);
            }
            return Ok(None);
        }
        let length = head.header("content-length").and_then(|length| length.parse().ok());
        self.exactly(length.unwrap_or(0))
    }

    fn exactly(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.take(length)))
    }

    /// Reads a chunk of a chunked body, empty at its end; `None` if the channel ends first.
    fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let Some(size) = self.line()? else {
            return Ok(None);
        };
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let Some(mut chunk) = self.exactly(size + 2)? else {
            return Ok(None);
        };
        chunk.truncate(size);
        Ok(Some(chunk))
    }
}

/// Answers one request on its channel; `false` closes the channel.
pub type Respond = dyn Fn(&mut Channel, &Head, Vec<u8>) -> io::Result<bool> + Send + Sync;

/// A listening server.
pub struct Server {
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Bytes a second that are read from each channel; 0 for no limit.
    pub pace: Arc<AtomicU64>,
}

impl Server {
    pub fn start(address: SocketAddr, respond: Arc<Respond>) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server =
            Server { stopped: Arc::default(), streams: Arc::default(), pace: Arc::default() };
        let (stopped, streams) = (server.stopped.clone(), server.streams.clone());
        let pace = server.pace.clone();
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(clone) = stream.try_clone() {
                    streams.lock().unwrap().push(clone);
                }
                let (respond, stopped, pace) = (respond.clone(), stopped.clone(), pace.clone());
                thread::spawn(move || {
                    let mut channel = Channel { pace, ..Channel::new(stream) };
                    let _ = serve(&mut channel, &*respond, &stopped);
                    let _ = channel.stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(server)
    }

    /// Closes the listeners and all channels of some servers, as the end of their processes does.
    pub fn stop<'a>(servers: impl Iterator<Item = &'a Server>) {
        let servers: Vec<_> = servers.collect();
        servers.iter().for_each(|server| server.stopped.store(true, Ordering::SeqCst));
        thread::sleep(CRASH_TIME);
        servers.iter().for_each(|server| server.close());
    }

    fn close(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(channel: &mut Channel, respond: &Respond, stopped: &AtomicBool) -> io::Result<()> {
    while let Some(head) = channel.head()? {
        let Some(body) = channel.body(&head)? else {
            return Ok(());
        };
        if stopped.load(Ordering::SeqCst) || !respond(channel, &head, body)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Writes an answer with a length.
pub fn answer(
    channel: &mut Channel,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut bytes = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    channel.stream.write_all(&bytes)?;
    Ok(true)
}
