//! HTTP listeners with limits on times and connections.

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
    /// Time within which a request's header must arrive.
    pub header_timeout: Duration,
    /// Time after which a connection without traffic is closed.
    pub idle_timeout: Duration,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Time for which a shutdown waits for requests in progress.
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

/// A running listener.
pub struct Handle {
    /// The address that it is bound to.
    pub address: SocketAddr,
    /// Completes when the listener has stopped.
    pub task: JoinHandle<()>,
}

/// Serves until `stop` is cancelled, then finishes requests in progress within the drain timeout.
///
/// # Errors
///
/// [`Error::Listen`] when the address can't be bound.
pub async fn serve(
    address: SocketAddr,
    router: Router,
    limits: Limits,
    stop: CancellationToken,
) -> Result<Handle, Error> {
    let acceptor = TcpListener::new(address)
        .try_bind()
        .await
        .map_err(|error| listen_error(address, error))?;
    let bound_address = acceptor
        .local_addr()
        .map_err(|error| listen_error(address, error))?;
    let task = tokio::spawn(run(acceptor, router, limits, stop));
    Ok(Handle {
        address: bound_address,
        task,
    })
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
    // A failed accept ends only that connection; the server itself stops through `stop`.
    let _ = server.try_serve(Service::new(router)).await;
}

fn listen_error(address: SocketAddr, error: impl std::fmt::Display) -> Error {
    Error::Listen {
        address,
        message: error.to_string(),
    }
}
