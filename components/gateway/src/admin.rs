//! HTTP server for readiness and metrics.

use std::{
    cell::RefCell,
    collections::VecDeque,
    convert::Infallible,
    rc::Rc,
    time::Duration, //
};

use http::{
    Request,
    Response,
    StatusCode, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    task::spawn_local,
    time::{
        Instant,
        sleep,
        sleep_until, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    accept::CallerStream,
    body::Body, //
};

/// Wait before a connection is accepted again after a failure.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum size of a request's head, in bytes: no less is possible.
const MAX_BUFFER_BYTES: usize = 8 * 1024;

/// Time that a connection has before it is closed for another one.
const MIN_CONNECTION_TIME: Duration = Duration::from_millis(100);

/// Status and text of a response.
pub type Page = (StatusCode, String);

/// Server of one endpoint.
pub struct Server {
    respond: Rc<dyn Fn() -> Page>,
    /// Maximum number of connections. Beyond it the oldest one is closed, as whoever polls comes back.
    max_connections: usize,
    connections: RefCell<VecDeque<(Instant, CancellationToken)>>,
}

impl Server {
    /// Creates a server that responds to every request with the result of `respond`.
    pub fn new(respond: Rc<dyn Fn() -> Page>, max_connections: usize) -> Server {
        Server {
            respond,
            max_connections,
            connections: RefCell::default(),
        }
    }

    /// Accepts connections until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                // Descriptors may have run out; the connection is still waiting.
                sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let closed = self.place().await;
            spawn_local(serve(stream, self.respond.clone(), closed));
        }
    }

    /// Waits until there is room for a connection, and returns what closes it. The oldest one is closed
    /// once it had the time for a request.
    async fn place(&self) -> CancellationToken {
        loop {
            let oldest = {
                let mut connections = self.connections.borrow_mut();
                connections.retain(|(_, closed)| !closed.is_cancelled());
                if connections.len() < self.max_connections {
                    let closed = CancellationToken::new();
                    connections.push_back((Instant::now(), closed.clone()));
                    return closed;
                }
                connections.front().cloned()
            };
            if let Some((since, closed)) = oldest {
                sleep_until(since + MIN_CONNECTION_TIME).await;
                closed.cancel();
            }
        }
    }
}

/// Serves a connection until it is closed or `closed` is cancelled, which its end does too.
async fn serve(stream: TcpStream, respond: Rc<dyn Fn() -> Page>, closed: CancellationToken) {
    let _closed = closed.clone().drop_guard();
    let service = service_fn(move |_: Request<Incoming>| {
        let (status, text) = respond();
        let mut response = Response::new(Body::whole(text));
        *response.status_mut() = status;
        std::future::ready(Ok::<_, Infallible>(response))
    });
    // One request a connection: who sends many would take the processor from callers.
    let connection = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(CallerStream::new(stream), service);
    tokio::select! {
        // A failed connection needs no handling: the client polls again.
        _ = connection => {}
        () = closed.cancelled() => {}
    }
}
