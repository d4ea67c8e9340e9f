//! One connection to a backend server.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};
use http::{
    Method,
    header::HeaderName, //
};
use tokio::{
    net::TcpStream,
    select,
    time::{
        Instant,
        timeout, //
    },
};

use crate::{
    Error,
    Head,
    body::{
        Body,
        Step, //
    },
    head, //
};

/// Bytes that are read at a time.
const READ: usize = 8 * 1024;

/// Bytes of an answer that are kept while the request is still being written.
const AHEAD: usize = 64 * 1024;

/// A connection that carries one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    address: SocketAddr,
    buffer: BytesMut,
    body: Body,
    method: Method,
    sent: usize,
    keep: bool,
    exchanges: u32,
    opened: Instant,
    used: Instant,
    rest: Option<Duration>,
    /// The peer sends no more.
    ended: bool,
}

/// What a look at an answer's body gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Data {
    /// Bytes of the body.
    Bytes(Bytes),
    /// More has to be read first.
    Pending,
    /// The body is complete.
    End,
}

/// A body that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Collected {
    /// All of it.
    Complete(Bytes),
    /// Its beginning; the rest comes by [`Connection::data`].
    Partial(Bytes),
}

impl Collected {
    /// The body, if it is complete.
    pub fn complete(self) -> Option<Bytes> {
        match self {
            Collected::Complete(bytes) => Some(bytes),
            Collected::Partial(_) => None,
        }
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] when the peer refuses, [`Error::Timeout`] when it doesn't answer.
    pub async fn open(address: SocketAddr, within: Duration) -> Result<Connection, Error> {
        let stream = match timeout(within, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(Error::Connect)?,
            Err(_) => return Err(Error::Timeout),
        };
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let now = Instant::now();
        Ok(Connection {
            stream,
            address,
            buffer: BytesMut::new(),
            body: Body::Done,
            method: Method::GET,
            sent: 0,
            keep: true,
            exchanges: 0,
            opened: now,
            used: now,
            rest: None,
            ended: false,
        })
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes of the current request that were handed to the system. While it is 0, the peer can't
    /// have run the request.
    pub fn bytes_sent(&self) -> usize {
        self.sent
    }

    /// Whether an earlier request went over this connection.
    pub fn is_reused(&self) -> bool {
        self.exchanges > 1
    }

    /// When the connection was last in use.
    pub fn used(&self) -> Instant {
        self.used
    }

    /// When the connection was opened.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// How long the peer keeps the connection open without a request, as it said.
    pub fn rest(&self) -> Option<Duration> {
        self.rest
    }

    /// Whether the connection can carry another request: the last answer is complete and the peer
    /// keeps it open.
    pub fn is_reusable(&self) -> bool {
        self.keep && !self.ended && self.body == Body::Done && self.buffer.is_empty()
    }

    /// Looks whether an idle connection is still open and clean. Bytes that arrived meanwhile
    /// belong to no request; they would be taken for the next answer.
    pub fn is_clean(&mut self) -> bool {
        if !self.is_reusable() {
            return false;
        }
        let mut byte = [0; 1];
        match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Writes a request. An answer that comes early is kept for [`Connection::head`]; the rest of
    /// the request is written all the same, as the peer may read on after it.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] when the connection breaks; an answer may have come before.
    pub async fn write(&mut self, method: &Method, head: Bytes, body: Bytes) -> Result<(), Error> {
        self.method = method.clone();
        self.sent = 0;
        self.exchanges += 1;
        let mut data = head.chain(body);
        while data.has_remaining() {
            let mut slices = [io::IoSlice::new(&[]); 2];
            let count = data.chunks_vectored(&mut slices);
            match self.stream.try_write_vectored(&slices[..count]) {
                Ok(written) => {
                    self.sent += written;
                    data.advance(written);
                    continue;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
            if self.buffer.len() >= AHEAD {
                self.stream.writable().await?;
                continue;
            }
            select! {
                biased;
                ready = self.stream.writable() => ready?,
                read = read(&self.stream, &mut self.buffer) => {
                    if read? == 0 {
                        self.ended = true;
                        return Err(Error::Closed);
                    }
                }
            }
        }
        Ok(())
    }

    /// Reads the head of the answer.
    ///
    /// # Errors
    ///
    /// Any error but [`Error::Connect`] and [`Error::Timeout`].
    pub async fn head(&mut self) -> Result<Head, Error> {
        loop {
            if let Some(head) = self.try_head()? {
                return Ok(head);
            }
            self.fill().await?;
        }
    }

    /// Takes the head of the answer from what was read; `None` when it isn't whole.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`], or [`Error::Closed`] when no more can come.
    pub fn try_head(&mut self) -> Result<Option<Head>, Error> {
        let Some(head) = head::take(&mut self.buffer, &self.method)? else {
            return match self.ended {
                true => Err(Error::Closed),
                false => Ok(None),
            };
        };
        self.keep = head.keep;
        self.body = Body::new(head.framing);
        self.rest = rest(&head).or(self.rest);
        self.used = Instant::now();
        Ok(Some(head))
    }

    /// Reads the next bytes of the body; `None` when it is complete.
    ///
    /// # Errors
    ///
    /// As [`Connection::head`]. A body without a length that ends with a reset isn't complete.
    pub async fn data(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.try_data()? {
                Data::Bytes(bytes) => return Ok(Some(bytes)),
                Data::End => return Ok(None),
                Data::Pending => self.fill().await?,
            }
        }
    }

    /// Takes bytes of the body from what was read.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`], or [`Error::Closed`] when the connection ended too early.
    pub fn try_data(&mut self) -> Result<Data, Error> {
        match self.body.take(&mut self.buffer)? {
            Step::Data(data) => Ok(Data::Bytes(data)),
            Step::End => {
                self.used = Instant::now();
                Ok(Data::End)
            }
            Step::More if !self.ended => Ok(Data::Pending),
            Step::More if self.body == Body::Rest => {
                self.body = Body::Done;
                self.keep = false;
                Ok(Data::End)
            }
            Step::More => Err(Error::Closed),
        }
    }

    /// Reads more from the peer. A read that is given up loses nothing.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`]; the peer's orderly end is told by the next look at the answer.
    pub async fn fill(&mut self) -> Result<(), Error> {
        if read(&self.stream, &mut self.buffer).await? == 0 {
            self.ended = true;
        }
        Ok(())
    }

    /// Reads a whole body, or the beginning of one that is longer than `most` bytes.
    ///
    /// # Errors
    ///
    /// As [`Connection::data`].
    pub async fn read_body(&mut self, most: usize) -> Result<Collected, Error> {
        let Some(first) = self.data().await? else {
            return Ok(Collected::Complete(Bytes::new()));
        };
        let mut whole = BytesMut::from(first);
        while let Some(data) = self.data().await? {
            whole.extend_from_slice(&data);
            if whole.len() > most {
                return Ok(Collected::Partial(whole.freeze()));
            }
        }
        Ok(Collected::Complete(whole.freeze()))
    }

    /// Waits until the peer closes an idle connection or sends bytes that nobody asked for.
    pub async fn disturbed(&self) {
        // An error is a disruption as well.
        let _ = self.stream.readable().await;
    }
}

async fn read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        buffer.reserve(READ);
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
        stream.readable().await?;
    }
}

/// The time that the peer gives in `Keep-Alive`.
fn rest(head: &Head) -> Option<Duration> {
    let name = HeaderName::from_static("keep-alive");
    let value = head.headers.get(name)?.to_str().ok()?;
    for word in value.split(',') {
        let Some((name, seconds)) = word.split_once('=') else {
            continue;
        };
        if name.trim().eq_ignore_ascii_case("timeout") {
            return seconds.trim().parse().ok().map(Duration::from_secs);
        }
    }
    None
}
