//! Pool of idle connections.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use tokio::time::Instant;

use crate::Connection;

/// Time after which an idle connection is closed, where the server announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fraction of the server's announced idle timeout during which a connection may be reused. Later,
/// a request could cross the server's close, and nothing would show whether it ran.
const REUSE_FRACTION: f64 = 0.6;

/// Maximum number of idle connections retained for one address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Idle connections by server address, reused for later requests.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<SocketAddr, Vec<Connection>>,
}

impl Pool {
    /// Returns the most recently used connection to an address that hasn't expired and is clean,
    /// see [`Connection::is_clean`]. Closes expired and unclean ones that were used more recently.
    pub fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(mut connection) = idle.pop() {
            if expired(&connection) {
                continue;
            }
            if connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    /// Retains a connection for a later request. Closes it instead if it isn't reusable or the
    /// address has enough idle connections.
    pub fn put(&mut self, connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let idle = self.idle.entry(connection.address()).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(connection);
        }
    }

    /// Closes connections that were idle for too long or aren't clean.
    pub fn sweep(&mut self) {
        self.idle.retain(|_, idle| {
            idle.retain_mut(|connection| !expired(connection) && connection.is_clean());
            !idle.is_empty()
        });
    }

    /// Closes all idle connections to an address.
    pub fn remove(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Returns whether the pool holds no connections.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

/// Returns whether a connection was idle for longer than its server allows.
fn expired(connection: &Connection) -> bool {
    let timeout = connection
        .idle_timeout()
        .map_or(DEFAULT_IDLE_TIMEOUT, |time| time.mul_f64(REUSE_FRACTION));
    Instant::now() - connection.last_used() > timeout
}
