//! A connection to a backend server.

use std::{
    future::pending,
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
    task::{
        coop::consume_budget,
        yield_now, //
    },
    time::{
        Instant,
        timeout, //
    },
};

use crate::{
    Bound,
    Error,
    Head,
    Ledger,
    body::{
        Decoder,
        Step, //
    },
    head::{
        self,
        Interim, //
    },
    ledger::Account, //
};

/// Maximum number of pieces that are written at once.
const MAX_SLICES: usize = 16;

/// Maximum number of times that a connection lets others run before it reads, so that evicted ones are
/// closed. One whose task waits for its caller may stay.
const MAX_RELEASE_YIELDS: usize = 4;

/// Buffer space reserved for each read, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Maximum size of an early response that is buffered while the request is still being written, in
/// bytes.
const MAX_EARLY_RESPONSE_BYTES: usize = 64 * 1024;

/// HTTP/1.1 connection that carries one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    address: SocketAddr,
    buffer: BytesMut,
    /// Bytes of the response that were taken from the buffer and aren't processed yet.
    taken_bytes: usize,
    account: Option<Account>,
    interim: Interim,
    decoder: Decoder,
    method: Method,
    bytes_sent: usize,
    keep_alive: bool,
    exchanges: u32,
    opened_at: Instant,
    last_used: Instant,
    idle_timeout: Option<Duration>,
    /// Whether the server closed its sending side.
    eof: bool,
    /// Whether the current request was written in full, and no read failed. Otherwise nothing shows
    /// that a body that ends with the connection is complete: an error is returned once, and later
    /// reads return the end of the connection.
    is_intact: bool,
}

/// Result of decoding the buffered part of a response body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Data {
    /// Bytes of the body.
    Bytes(Bytes),
    /// More bytes have to be read with [`Connection::fill`] first.
    Pending,
    /// The body is complete.
    End,
}

/// Body returned by [`Connection::read_body`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Collected {
    /// The whole body.
    Complete(Bytes),
    /// The beginning of a body that exceeds the limit; [`Connection::data`] returns the rest.
    Partial(Bytes),
}

impl Collected {
    /// Returns the body if it is complete.
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
    /// [`Error::Connect`] when the server refuses the connection, [`Error::Timeout`] when it isn't
    /// established within `connect_timeout`.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> Result<Connection, Error> {
        let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(Error::Connect)?,
            Err(_) => return Err(Error::Timeout),
        };
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let now = Instant::now();
        Ok(Connection {
            stream,
            address,
            buffer: BytesMut::new(),
            taken_bytes: 0,
            account: None,
            interim: Interim::default(),
            decoder: Decoder::Done,
            method: Method::GET,
            bytes_sent: 0,
            keep_alive: true,
            exchanges: 0,
            opened_at: now,
            last_used: now,
            idle_timeout: None,
            eof: false,
            is_intact: true,
        })
    }

    /// Counts the bytes that the connection holds in a ledger.
    pub fn counted_in(mut self, ledger: &Ledger) -> Connection {
        self.account = Some(ledger.open());
        self
    }

    /// Sets the number of bytes of the response that were returned by [`Connection::try_data`] and
    /// aren't processed yet. They count like those that the connection holds itself.
    pub fn set_taken(&mut self, bytes: usize) {
        self.taken_bytes = bytes;
        self.update_account();
    }

    fn update_account(&mut self) {
        if let Some(account) = &mut self.account {
            account.set(self.buffer.len() + self.taken_bytes);
        }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes of the current request that were handed to the operating system.
    /// While it is 0, the server can't have run the request.
    pub fn bytes_sent(&self) -> usize {
        self.bytes_sent
    }

    /// Returns whether bytes were received that aren't decoded yet.
    pub fn has_received(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the connection carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.exchanges > 1
    }

    /// Returns when the connection was last used.
    pub fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Returns when the connection was opened.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns how long the server keeps an idle connection open, where its `Keep-Alive` header
    /// says so.
    pub fn idle_timeout(&self) -> Option<Duration> {
        self.idle_timeout
    }

    /// Returns whether the connection can carry another request: the last request was written in
    /// full, its response is complete and the server keeps the connection open.
    pub fn is_reusable(&self) -> bool {
        self.keep_alive
            && self.is_intact
            && !self.eof
            && self.decoder == Decoder::Done
            && self.buffer.is_empty()
    }

    /// Checks whether an idle connection is still open and has received nothing. Bytes that arrived
    /// while it was idle belong to no request and would be mistaken for the next response.
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

    /// Writes a request. Buffers a response that arrives early for [`Connection::head`], and still
    /// writes the rest of the request, as the server may keep reading after it has responded.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] when the connection breaks, [`Error::Closed`] when the server closes it. A
    /// response may have arrived before either, and can be read if it states its end.
    pub async fn write(
        &mut self,
        method: &Method,
        head: Bytes,
        body: impl Buf,
    ) -> Result<(), Error> {
        self.method = method.clone();
        self.bytes_sent = 0;
        self.interim = Interim::default();
        self.exchanges += 1;
        self.is_intact = false;
        let mut data = head.chain(body);
        while data.has_remaining() {
            let mut slices = [io::IoSlice::new(&[]); MAX_SLICES];
            let count = data.chunks_vectored(&mut slices);
            match self.stream.try_write_vectored(&slices[..count]) {
                Ok(written) => {
                    self.bytes_sent += written;
                    data.advance(written);
                    continue;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
            if self.buffer.len() >= MAX_EARLY_RESPONSE_BYTES {
                self.stream.writable().await?;
                continue;
            }
            select! {
                biased;
                ready = self.stream.writable() => ready?,
                read = read(&self.stream, &mut self.buffer) => {
                    if read? == 0 {
                        self.eof = true;
                        return Err(Error::Closed);
                    }
                    self.update_account();
                }
            }
        }
        self.is_intact = true;
        Ok(())
    }

    /// Reads the head of the response.
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

    /// Parses the response head from the buffered bytes; `None` when it is incomplete.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`], [`Error::Excess`], or [`Error::Closed`] when the server sends no more.
    pub fn try_head(&mut self) -> Result<Option<Head>, Error> {
        let parsed = head::parse(&mut self.buffer, &self.method, &mut self.interim)?;
        self.update_account();
        let Some(head) = parsed else {
            return match self.eof {
                true => Err(Error::Closed),
                false => Ok(None),
            };
        };
        self.keep_alive = head.keep_alive;
        self.decoder = Decoder::new(head.framing);
        self.idle_timeout = keep_alive_timeout(&head).or(self.idle_timeout);
        self.last_used = Instant::now();
        Ok(Some(head))
    }

    /// Reads the next bytes of the body; `None` when it is complete.
    ///
    /// # Errors
    ///
    /// As [`Connection::head`]. A body without a length is incomplete if the connection is reset, or
    /// if it ends before the request was written in full.
    pub async fn data(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.try_data()? {
                Data::Bytes(bytes) => return Ok(Some(bytes)),
                Data::End => return Ok(None),
                Data::Pending => self.fill().await?,
            }
        }
    }

    /// Decodes the buffered part of the body.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`], [`Error::Excess`], or [`Error::Closed`] when the connection ended
    /// before the body did.
    pub fn try_data(&mut self) -> Result<Data, Error> {
        let step = self.decoder.decode(&mut self.buffer)?;
        self.update_account();
        match step {
            Step::Data(data) => Ok(Data::Bytes(data)),
            Step::End => {
                self.last_used = Instant::now();
                Ok(Data::End)
            }
            Step::Pending if !self.eof => Ok(Data::Pending),
            Step::Pending if self.decoder == Decoder::UntilClose && self.is_intact => {
                self.decoder = Decoder::Done;
                self.keep_alive = false;
                Ok(Data::End)
            }
            Step::Pending => Err(Error::Closed),
        }
    }

    /// Reads more bytes from the server into the buffer. Cancel safe: a dropped call loses no
    /// bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`], or [`Error::Excess`] when the connection has to be closed, as all of them
    /// hold too much. An orderly close isn't an error here: the next [`Connection::try_head`]
    /// or [`Connection::try_data`] accounts for it.
    pub async fn fill(&mut self) -> Result<(), Error> {
        // A server that sends faster than its bytes are parsed must not keep the thread.
        consume_budget().await;
        // What is evicted is released once its task runs; meanwhile more would exceed the limit.
        for _ in 0..MAX_RELEASE_YIELDS {
            let account = self.account.as_ref();
            if !account.is_some_and(|account| account.is_overdrawn() && !account.is_evicted()) {
                break;
            }
            yield_now().await;
        }
        let evicted = async {
            match &self.account {
                Some(account) => account.evicted().await,
                None => pending().await,
            }
        };
        let received = select! {
            biased;
            () = evicted => return Err(Error::Excess(Bound::Process)),
            received = read(&self.stream, &mut self.buffer) => {
                self.is_intact &= received.is_ok();
                received?
            }
        };
        self.eof |= received == 0;
        self.update_account();
        Ok(())
    }

    /// Reads a whole body, or the beginning of one that is longer than `limit` bytes.
    ///
    /// # Errors
    ///
    /// As [`Connection::data`].
    pub async fn read_body(&mut self, limit: usize) -> Result<Collected, Error> {
        let Some(first) = self.data().await? else {
            return Ok(Collected::Complete(Bytes::new()));
        };
        let mut collected = BytesMut::from(first);
        while collected.len() <= limit {
            self.set_taken(collected.len());
            let Some(data) = self.data().await? else {
                self.set_taken(0);
                return Ok(Collected::Complete(collected.freeze()));
            };
            collected.extend_from_slice(&data);
        }
        self.set_taken(0);
        Ok(Collected::Partial(collected.freeze()))
    }

    /// Waits until the server closes an idle connection or sends unsolicited bytes.
    pub async fn wait_readable(&self) {
        // An error ends the wait as well.
        let _ = self.stream.readable().await;
    }
}

async fn read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        buffer.reserve(READ_BUFFER_BYTES);
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
        stream.readable().await?;
    }
}

/// Returns the timeout announced in the `Keep-Alive` header.
fn keep_alive_timeout(head: &Head) -> Option<Duration> {
    let header = HeaderName::from_static("keep-alive");
    let value = head.headers.get(header)?.to_str().ok()?;
    for parameter in value.split(',') {
        let Some((name, seconds)) = parameter.split_once('=') else {
            continue;
        };
        if name.trim().eq_ignore_ascii_case("timeout") {
            return seconds.trim().parse().ok().map(Duration::from_secs);
        }
    }
    None
}
