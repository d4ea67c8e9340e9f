//! One send of a request to one backend server.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    request::Parts, //
};
use tokio::time::timeout;
use upstream::{
    Connection,
    Error,
    Head,
    Pool, //
};

use crate::{
    edge::{
        Ask,
        Edge,
        Inquiry,
        Reply,
        Sending, //
    },
    fleet::Chosen, //
};

/// Time for a new connection. Servers are a few milliseconds away; a packet that is lost is sent
/// again after a second, which is longer than another server takes.
const CONNECT: Duration = Duration::from_millis(300);

/// Time for a connection that is opened to see whether a server is alive: several round trips
/// between data centres of one region.
const CHECK: Duration = Duration::from_millis(100);

/// Time for the answer to an inquiry.
const INQUIRY: Duration = Duration::from_millis(250);

/// Longest body of an answer to an earlier request that is read over, in bytes.
const STRAY: usize = 64 * 1024;

/// Opens connections, sends requests, reads heads.
pub struct Sender<E> {
    edge: Rc<E>,
    pool: RefCell<Pool>,
}

/// A request that can be sent, also more than once.
pub struct Packet {
    /// Head as the caller sent it.
    pub parts: Parts,
    /// What the head says.
    pub ask: Ask,
    /// Body, whole.
    pub body: Bytes,
}

/// Why a request wasn't sent.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request left: it hasn't run and won't.
    Unsent(Error),
}

impl<E: Edge> Sender<E> {
    /// A sender without connections.
    pub fn new(edge: Rc<E>) -> Sender<E> {
        Sender {
            edge,
            pool: RefCell::default(),
        }
    }

    /// The platform's HTTP.
    pub fn edge(&self) -> &E {
        &self.edge
    }

    /// Writes a request to a server.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`] when no byte left.
    pub async fn send(
        &self,
        packet: &Packet,
        chosen: &Chosen,
        sending: &Sending<'_>,
    ) -> Result<Connection, Failure> {
        loop {
            let mut connection = self.connect(chosen).await.map_err(Failure::Unsent)?;
            let length = packet.body.len();
            let head = self.edge.head(&packet.parts, &packet.ask, sending, length);
            let method = &packet.parts.method;
            let written = connection
                .write(method, head.into(), packet.body.clone())
                .await;
            match written {
                // The server closed a connection that rested; a new one is as good as a first.
                Err(_) if connection.bytes_sent() == 0 && connection.is_reused() => {}
                Err(error) if connection.bytes_sent() == 0 => return Err(Failure::Unsent(error)),
                // An answer may have come before the connection broke.
                Err(_) | Ok(()) => return Ok(connection),
            }
        }
    }

    /// Whether a head answers a request. What comes late to an earlier request on the same
    /// connection doesn't; the answer comes behind it.
    pub fn reply(&self, packet: &Packet, head: &Head) -> Option<Reply> {
        let reply = self.edge.reply(head);
        let ours = reply.id.as_ref().is_none_or(|id| *id == packet.ask.id);
        ours.then_some(reply)
    }

    /// Reads the head of the answer to a request.
    ///
    /// # Errors
    ///
    /// When the connection breaks, or what comes is no answer.
    pub async fn answer(
        &self,
        packet: &Packet,
        connection: &mut Connection,
    ) -> Result<(Head, Reply), Error> {
        loop {
            let head = connection.head().await?;
            if let Some(reply) = self.reply(packet, &head) {
                return Ok((head, reply));
            }
            let body = connection.read_body(STRAY).await?;
            if body.complete().is_none() {
                return Err(Error::Malformed("answer to another request"));
            }
        }
    }

    /// Asks a server what it runs. `None` when it can't be reached; an answer that says nothing is
    /// as good as none at all about the run, but shows that the server lives.
    pub async fn inquire(&self, chosen: &Chosen) -> Option<Inquiry> {
        let head = self.edge.inquiry();
        let call = self.call(chosen, &Method::GET, head, Bytes::new());
        let (head, body) = timeout(INQUIRY, call).await.ok()?.ok()?;
        let nothing = Inquiry {
            before: 1,
            runs: Vec::new(),
        };
        Some(self.edge.inquired(&head, &body).unwrap_or(nothing))
    }

    /// Makes a call of the gateway's own, and reads the whole answer.
    ///
    /// # Errors
    ///
    /// When the connection breaks, or what comes is no answer.
    pub async fn call(
        &self,
        chosen: &Chosen,
        method: &Method,
        head: Vec<u8>,
        body: Bytes,
    ) -> Result<(Head, Bytes), Error> {
        let mut connection = self.connect(chosen).await?;
        connection.write(method, head.into(), body).await?;
        let head = connection.head().await?;
        let body = connection.read_body(STRAY).await?;
        let body = body.complete().ok_or(Error::Malformed("answer too long"))?;
        self.keep(connection);
        Ok((head, body))
    }

    /// Opens a connection to see whether a server is alive, and keeps it for the next request.
    pub async fn check(&self, chosen: &Chosen) -> bool {
        match Connection::open(chosen.address, CHECK).await {
            Ok(connection) => {
                self.keep(connection);
                true
            }
            Err(_) => false,
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep(&self, connection: Connection) {
        self.pool.borrow_mut().put(connection);
    }

    /// Closes connections that rested too long.
    pub fn sweep(&self) {
        self.pool.borrow_mut().sweep();
    }

    /// Closes idle connections to a server that is gone: its address may be another's soon.
    pub fn forget(&self, address: std::net::SocketAddr) {
        self.pool.borrow_mut().remove(address);
    }

    async fn connect(&self, chosen: &Chosen) -> Result<Connection, Error> {
        let idle = self.pool.borrow_mut().take(chosen.address);
        if let Some(connection) = idle {
            return Ok(connection);
        }
        Connection::open(chosen.address, CONNECT).await
    }
}
