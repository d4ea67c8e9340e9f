//! HTTP listeners with limits of time and number.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use salvo::{
    Listener,
    Router,
    Server,
    Service,
    conn::{
        TcpListener,
        tcp::TcpAcceptor, //
    },
    fuse::FuseConfig, //
};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::Error;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A request's header must be there within this time.
    pub header_timeout: Duration,
    /// A connection without traffic is closed after this time.
    pub idle_timeout: Duration,
    /// Open connections.
    pub max_connections: usize,
    /// Time that a shutdown waits for requests in progress.
    pub drain_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            max_connections: 1024,
            drain_timeout: Duration::from_secs(5),
        }
    }
}

/// A listener that serves.
pub struct Served {
    /// The address that it got.
    pub address: SocketAddr,
    /// Ends when the listener has stopped.
    pub task: JoinHandle<()>,
}

/// Serves until `stop`, then finishes what is in progress within the limit.
pub async fn serve(
    address: SocketAddr,
    router: Router,
    limits: Limits,
    stop: CancellationToken,
) -> Result<Served, Error> {
    let acceptor = TcpListener::new(address)
        .try_bind()
        .await
        .map_err(|error| refused(address, error))?;
    let got = acceptor
        .local_addr()
        .map_err(|error| refused(address, error))?;
    let task = tokio::spawn(run(acceptor, router, limits, stop));
    Ok(Served { address: got, task })
}

async fn run(acceptor: TcpAcceptor, router: Router, limits: Limits, stop: CancellationToken) {
    let fuse = FuseConfig::strict()
        .with_http1_header_timeout(limits.header_timeout)
        .with_connection_idle_timeout(limits.idle_timeout)
        .with_write_stall_timeout(None);
    let server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(limits.max_connections);
    let handle = server.handle();
    let drain = limits.drain_timeout;
    tokio::spawn(async move {
        stop.cancelled().await;
        handle.stop_graceful(drain);
    });
    // An accept error ends only that connection; the server itself ends by `stop`.
    let _ = server.try_serve(Service::new(router)).await;
}

fn refused(address: SocketAddr, error: impl std::fmt::Display) -> Error {
    Error::Listen {
        address,
        message: error.to_string(),
    }
}
