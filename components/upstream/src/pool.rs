//! Idle connections, by address.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use tokio::time::Instant;

use crate::Connection;

/// How long a connection rests before it is given up, where the peer doesn't say.
const REST: Duration = Duration::from_secs(4);

/// Part of the time that the peer gives after which a connection isn't used any more: a request
/// that crosses the peer's close is lost without a trace of whether it ran.
const MARGIN: f64 = 0.6;

/// Idle connections that are kept for one address.
const MOST: usize = 16;

/// Connections that wait for the next request.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, Vec<Connection>>,
}

impl Pool {
    /// Takes the connection that was used last, if one is clean.
    pub fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(mut connection) = idle.pop() {
            if rested(&connection) {
                continue;
            }
            if connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request, if it can carry one.
    pub fn put(&mut self, connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let idle = self.idle.entry(connection.address()).or_default();
        if idle.len() < MOST {
            idle.push(connection);
        }
    }

    /// Closes what rested too long or isn't clean.
    pub fn sweep(&mut self) {
        self.idle.retain(|_, idle| {
            idle.retain_mut(|connection| !rested(connection) && connection.is_clean());
            !idle.is_empty()
        });
    }

    /// Closes the idle connections to an address.
    pub fn remove(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether no connection is kept.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

fn rested(connection: &Connection) -> bool {
    let rest = connection.rest().map_or(REST, |rest| rest.mul_f64(MARGIN));
    Instant::now() - connection.used() > rest
}
