//! Sends requests to backend servers and reads the heads of their responses.

use std::{
    cell::{
        OnceCell,
        RefCell, //
    },
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use contract::poison::evidence::Subject;
use events::{
    forwarding,
    note, //
};
use http::{
    Method,
    request::Parts, //
};
use names::Server;
use tokio::time::{
    Instant,
    timeout_at, //
};
use upstream::{
    Bound,
    Connection,
    Error,
    Head,
    Ledger,
    Pool,
    Segments, //
};

use crate::{
    account::Hold,
    fleet::Target,
    meter,
    protocol::{
        Dispatch,
        Metadata,
        Protocol,
        Reply, //
    }, //
};

/// Timeout of a new connection. Servers are a few milliseconds away; a lost SYN is retransmitted
/// after a second, by which time another server has answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a connection that probes whether a server is alive: several round trips between data
/// centres of one region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of the answer to a status check, on a connection of its own.
const STATUS_TIMEOUT: Duration = Duration::from_millis(250);

/// Lateness of a timer from which on this process was paused, and what arrived isn't read yet.
const MAX_TIMER_LATENESS: Duration = Duration::from_millis(100);

/// Maximum size of a response body that isn't passed to a caller: the response to an earlier
/// request on the connection, or to a call of the gateway's own.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum number of responses to earlier requests that are skipped on a connection.
pub const MAX_EARLIER_RESPONSES: u32 = 4;

/// What a status check tells of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It answers.
    Answers,
    /// It can't be reached, or closes the connection, or says nothing.
    Silent,
    /// This process was paused meanwhile.
    Unknown,
    /// Its host refuses connections: its process is gone.
    Gone,
}

/// Client for backend servers, with a pool of connections.
pub struct Sender<P> {
    protocol: Rc<P>,
    pool: RefCell<Pool>,
    ledger: Ledger,
}

/// A caller's request with its whole body, which can be sent more than once.
pub struct BufferedRequest {
    /// Head as the caller sent it.
    pub parts: Parts,
    /// Parsed head of the message.
    pub metadata: Metadata,
    /// Complete body of the message.
    pub body: Segments,
    /// Room that the request and its body take; `None` without the body.
    pub hold: Option<Hold>,
    /// What the request has that may crash servers, once it was needed.
    pub subject: OnceCell<Subject>,
    /// Addresses to which the request was sent.
    pub sent_to: RefCell<Vec<SocketAddr>>,
}

/// Reason for which a request wasn't sent.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request was written: it hasn't run and won't.
    Unsent(Error),
}

impl<P: Protocol> Sender<P> {
    /// Creates a sender without connections, which may hold a number of bytes of responses before they
    /// are processed.
    pub fn new(protocol: Rc<P>, max_held_bytes: usize) -> Sender<P> {
        Sender {
            protocol,
            pool: RefCell::default(),
            ledger: Ledger::new(max_held_bytes),
        }
    }

    /// Returns the platform's HTTP encoding.
    pub fn protocol(&self) -> &P {
        &self.protocol
    }

    /// Writes a request to a server.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`] when no byte was written.
    pub async fn send(
        &self,
        request: &BufferedRequest,
        target: &Target,
        dispatch: &Dispatch<'_>,
    ) -> Result<Connection, Failure> {
        // A late copy of the answer to an earlier send would be taken for that to this one.
        let is_repeated = request.sent_to.borrow().contains(&target.address);
        loop {
            let connection = match is_repeated {
                true => self.open(target, CONNECT_TIMEOUT).await,
                false => self.connect(target).await,
            };
            let mut connection = connection.map_err(Failure::Unsent)?;
            let length = request.body.len();
            let head =
                self.protocol
                    .encode_request(&request.parts, &request.metadata, dispatch, length);
            let method = &request.parts.method;
            let written = connection
                .write(method, head.into(), request.body.clone())
                .await;
            match written {
                // The server closed an idle connection; the request is sent on another one.
                Err(_) if connection.bytes_sent() == 0 && connection.is_reused() => {}
                Err(error) if connection.bytes_sent() == 0 => return Err(Failure::Unsent(error)),
                // The response may have arrived before the connection failed.
                Err(_) | Ok(()) => {
                    if !is_repeated {
                        request.sent_to.borrow_mut().push(target.address);
                    }
                    return Ok(connection);
                }
            }
        }
    }

    /// Parses a head. Returns `None` if it answers an earlier request on the same connection, in
    /// which case the expected response follows.
    pub fn match_reply(&self, request: &BufferedRequest, head: &Head) -> Option<Reply> {
        let reply = self.protocol.parse_reply(head);
        let matches = reply
            .id
            .as_ref()
            .is_none_or(|id| *id == request.metadata.id);
        matches.then_some(reply)
    }

    /// Reads the head of the response to a request.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the data is not a valid response.
    pub async fn read_reply(
        &self,
        request: &BufferedRequest,
        connection: &mut Connection,
    ) -> Result<(Head, Reply), Error> {
        for _ in 0..=MAX_EARLIER_RESPONSES {
            let head = connection.head().await?;
            if let Some(reply) = self.match_reply(request, &head) {
                return Ok((head, reply));
            }
            let body = connection.read_body(MAX_BODY_BYTES).await?;
            if body.complete().is_none() {
                return Err(Error::Malformed("response to another request"));
            }
        }
        Err(Error::Excess(Bound::EarlierResponses))
    }

    /// Logs that a response exceeds a bound, if that is the error, and returns whether it is. The
    /// gateway closes the connection then, which tells nothing of a crash.
    pub fn report_excess(&self, id: Option<&str>, server: &Server, error: &Error) -> bool {
        let Error::Excess(bound) = error else {
            return false;
        };
        meter::excess(bound.name());
        let event = match bound {
            Bound::Process => forwarding::EVICTED,
            _ => forwarding::EXCESS,
        };
        note!(
            event,
            id = id,
            server = server.as_str(),
            bound = bound.name(),
            held = self.ledger.held()
        );
        true
    }

    /// Sends a request of the gateway itself, and reads the whole response. It has a connection of its
    /// own: its response has no id that would tell it apart from a late copy of another one.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails, or the response is invalid or too long.
    pub async fn call(
        &self,
        target: &Target,
        method: &Method,
        head: Vec<u8>,
        body: Bytes,
    ) -> Result<(Head, Bytes), Error> {
        let mut connection = self.open(target, CONNECT_TIMEOUT).await?;
        let result = exchange(&mut connection, method, head, body).await;
        if let Err(error) = &result {
            self.report_excess(None, &target.server, error);
        }
        result
    }

    /// Opens a connection to probe whether a server is alive, and keeps it for the next request.
    pub async fn probe(&self, target: &Target) -> bool {
        match self.open(target, PROBE_TIMEOUT).await {
            Ok(connection) => {
                self.release(connection);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns whether a server's process is gone: its host refuses a connection. Silence proves
    /// nothing, as the network may be interrupted.
    pub async fn is_gone(&self, target: &Target) -> bool {
        match self.open(target, PROBE_TIMEOUT).await {
            Ok(connection) => {
                self.release(connection);
                false
            }
            Err(Error::Connect(error)) => error.kind() == ErrorKind::ConnectionRefused,
            Err(_) => false,
        }
    }

    /// Asks a server for its current runs on a new connection, and returns what that tells of it. Any
    /// answer will do.
    pub async fn check_status(&self, target: &Target) -> Status {
        let mut connection = match self.open(target, PROBE_TIMEOUT).await {
            Ok(connection) => connection,
            Err(Error::Connect(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Status::Gone;
            }
            Err(_) => return Status::Silent,
        };
        let head = self.protocol.activity_request();
        let asked = async {
            connection
                .write(&Method::GET, head.into(), Bytes::new())
                .await?;
            connection.head().await
        };
        let until = Instant::now() + STATUS_TIMEOUT;
        match timeout_at(until, asked).await {
            Ok(Ok(_)) => Status::Answers,
            Err(_) if until.elapsed() >= MAX_TIMER_LATENESS => Status::Unknown,
            Ok(Err(_)) | Err(_) => Status::Silent,
        }
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub fn release(&self, connection: Connection) {
        self.pool.borrow_mut().put(connection);
    }

    /// Closes connections that were idle for too long.
    pub fn close_idle(&self) {
        self.pool.borrow_mut().sweep();
    }

    /// Closes idle connections to a server that is gone: its address may soon belong to another
    /// one.
    pub fn disconnect(&self, address: SocketAddr) {
        self.pool.borrow_mut().remove(address);
    }

    async fn connect(&self, target: &Target) -> Result<Connection, Error> {
        let idle = self.pool.borrow_mut().take(target.address);
        if let Some(connection) = idle {
            return Ok(connection);
        }
        self.open(target, CONNECT_TIMEOUT).await
    }

    async fn open(&self, target: &Target, connect_timeout: Duration) -> Result<Connection, Error> {
        let connection = Connection::open(target.address, connect_timeout).await?;
        Ok(connection.counted_in(&self.ledger))
    }
}

/// Sends a request of the gateway itself, and reads the whole response.
async fn exchange(
    connection: &mut Connection,
    method: &Method,
    head: Vec<u8>,
    body: Bytes,
) -> Result<(Head, Bytes), Error> {
    connection.write(method, head.into(), body).await?;
    let head = connection.head().await?;
    let body = connection.read_body(MAX_BODY_BYTES).await?;
    let body = body.complete().ok_or(Error::Excess(Bound::Body))?;
    Ok((head, body))
}
