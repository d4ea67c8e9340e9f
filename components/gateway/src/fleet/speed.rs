//! Speeds of servers, and what gateways tell each other about them.

use std::time::Duration;

use events::{
    forwarding,
    note, //
};
use names::{
    Clock,
    Server, //
};
use routing::placement::speed::Counts;
use spread::beacon::{
    self,
    Speed,
    Speeds, //
};

use crate::{
    clock,
    fleet::Fleet,
    meter, //
};

/// Maximum number of servers with news in a message.
const MAX_SERVERS_PER_MESSAGE: usize = 14;

/// Maximum number of servers that a new peer is told about.
const MAX_INFORM_SERVERS: usize = 128;

/// Interval in which log lines about speeds are counted, and their maximum number in it.
const LOG_INTERVAL: Duration = Duration::from_secs(60);
const MAX_LOG_LINES: u32 = 12;

/// Bound on the log lines about speeds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogBound {
    began: Clock,
    lines: u32,
}

impl LogBound {
    fn allows(&mut self, now: Clock) -> bool {
        if now.saturating_sub(self.began) >= LOG_INTERVAL {
            *self = LogBound {
                began: now,
                lines: 0,
            };
        }
        self.lines += 1;
        self.lines <= MAX_LOG_LINES
    }
}

impl Fleet {
    /// Returns what this gateway observed lately at some servers, for its peers.
    pub fn take_speeds(&mut self) -> Vec<Speed> {
        let counts = self
            .placement
            .take_counts(clock::now(), MAX_SERVERS_PER_MESSAGE);
        counts
            .iter()
            .map(|(server, counts)| self.speed(server, counts))
            .collect()
    }

    /// Returns what this gateway observed at all servers, for a peer that may know nothing, in parts
    /// that fit a message.
    pub fn all_speeds(&self) -> Vec<Vec<Speed>> {
        let counts = self.placement.all_counts(clock::now());
        let known = counts.iter().take(MAX_INFORM_SERVERS);
        let speeds: Vec<Speed> = known
            .map(|(server, counts)| self.speed(server, counts))
            .collect();
        let parts = speeds.chunks(MAX_SERVERS_PER_MESSAGE);
        parts.map(<[Speed]>::to_vec).collect()
    }

    /// Applies what a peer observed.
    pub fn apply_speeds(&mut self, message: &Speeds) {
        let now = clock::now();
        let peer = (message.incarnation, message.sequence);
        for speed in &message.servers {
            let Some(server) = self.servers_by_id.get(&speed.server) else {
                continue;
            };
            let run = self.incarnation(server) as u16;
            if run != 0 && speed.run != 0 && run != speed.run {
                continue;
            }
            let counts = speed.counts.map(|(eighths, sum)| Counts { eighths, sum });
            self.placement.set_peer_counts(now, peer, server, counts);
        }
    }

    /// Computes the speeds of the servers again if that is due.
    pub fn refresh_speeds(&mut self) {
        let now = clock::now();
        let changed = self.placement.refresh_speeds(now);
        if changed.is_empty() {
            return;
        }
        for (server, before) in changed {
            self.log_speed(now, &server, before);
        }
        let (slower, faster) = self.placement.unusual_speeds();
        meter::unusual_speeds(slower, faster);
    }

    fn log_speed(&mut self, now: Clock, server: &Server, before: f64) {
        let slowness = self.placement.steady_slowness(server);
        if slowness.total_cmp(&1.0) == before.total_cmp(&1.0) || !self.speed_log.allows(now) {
            return;
        }
        let server = server.as_str();
        let percent = (slowness * 100.0).round() as u64;
        if slowness > 1.0 {
            note!(
                forwarding::SERVER_SLOWER,
                server = server,
                percent = percent
            );
        } else if slowness < 1.0 {
            note!(
                forwarding::SERVER_FASTER,
                server = server,
                percent = percent
            );
        } else {
            note!(forwarding::SERVER_USUAL, server = server);
        }
    }

    fn speed(&self, server: &Server, counts: &[Counts; 2]) -> Speed {
        Speed {
            server: beacon::id(server),
            run: self.incarnation(server) as u16,
            counts: counts.map(|counts| (counts.eighths, counts.sum)),
        }
    }
}
