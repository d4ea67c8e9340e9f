//! What gateways observe about the speeds of servers, told to each other.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use spread::beacon::{
    Message,
    Speed,
    Speeds, //
};
use tokio::time::Instant;

use crate::peers::Peers;

/// Bytes per second that a gateway sends about speeds to all its peers together.
const BYTES_PER_SECOND: f64 = 400.0;

/// Shortest interval between two messages.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

impl Peers {
    /// Updates the speeds of servers, and sends what this gateway observed to all peers if that is
    /// due. In a large fleet the interval grows instead of the traffic.
    pub(super) fn report_speeds(&mut self) {
        self.shared.fleet.borrow_mut().refresh_speeds();
        let now = Instant::now();
        if self.speeds_due.is_some_and(|due| now < due) {
            return;
        }
        let mut bytes = 0;
        let peers = self.table.peers();
        if !peers.is_empty() {
            let speeds = self.shared.fleet.borrow_mut().take_speeds();
            bytes = self.send_speeds(speeds, &peers);
        }
        let interval = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND);
        self.speeds_due = Some(now + interval.max(MIN_INTERVAL));
    }

    /// Sends all that this gateway observed to a peer that may know nothing.
    pub(super) fn inform_of_speeds(&mut self, peer: SocketAddr) {
        let parts = self.shared.fleet.borrow().all_speeds();
        for speeds in parts {
            self.send_speeds(speeds, &[peer]);
        }
    }

    /// Sends observations, and returns the number of bytes.
    fn send_speeds(&mut self, servers: Vec<Speed>, targets: &[SocketAddr]) -> usize {
        if servers.is_empty() {
            return 0;
        }
        self.speeds_sequence += 1;
        let message = Message::Speeds(Speeds {
            incarnation: self.incarnation,
            sequence: self.speeds_sequence,
            servers,
        });
        targets
            .iter()
            .map(|target| self.send_to(&message, *target))
            .sum()
    }
}
