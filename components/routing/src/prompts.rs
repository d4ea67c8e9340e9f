//! Index of the servers that recently processed each part of a prompt.
//!
//! A caller whose connection breaks retries at once, through any process, and many requests share a
//! common prefix. Processing a part again costs engine time and delays every run on that engine.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use names::{
    Clock,
    Server, //
};

/// Hash of a part of a prompt.
pub type Part = u64;

/// Time for which a part is assumed to be cached. Engines evict the least recently used part first;
/// callers that retry do so within seconds.
const CACHE_TTL: Duration = Duration::from_secs(10);

/// Maximum number of parts in the index; the oldest are evicted first.
const MAX_PARTS: usize = 16_384;

/// Maximum number of servers kept for a part: the most recent ones.
const MAX_SERVERS_PER_PART: usize = 4;

/// Parts of prompts and the servers that processed them.
#[derive(Clone, Debug, Default)]
pub struct Prompts {
    servers: HashMap<Part, Vec<(Server, Clock)>>,
    insertion_order: VecDeque<Part>,
}

impl Prompts {
    /// Records that `server` processed `part` at the time `at`.
    pub fn record(&mut self, at: Clock, part: Part, server: &Server) {
        if !self.servers.contains_key(&part) {
            self.insertion_order.push_back(part);
        }
        let servers = self.servers.entry(part).or_default();
        servers.retain(|(known, _)| known != server);
        if servers.len() >= MAX_SERVERS_PER_PART {
            servers.remove(0);
        }
        servers.push((server.clone(), at));
        while self.insertion_order.len() > MAX_PARTS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.servers.remove(&oldest);
            }
        }
    }

    /// Returns whether `server` is assumed to have `part` in its cache.
    pub fn holds(&self, now: Clock, part: Part, server: &Server) -> bool {
        let Some(servers) = self.servers.get(&part) else {
            return false;
        };
        let is_cached =
            |(known, at): &(Server, Clock)| known == server && now.saturating_sub(*at) <= CACHE_TTL;
        servers.iter().any(is_cached)
    }

    /// Returns the number of leading tokens of a prompt that `server` is assumed to have cached.
    /// Servers process parts in order, so a cached part implies that all parts before it are
    /// cached.
    pub fn cached_tokens(&self, now: Clock, parts: &[(Part, u32)], server: &Server) -> u64 {
        let mut cached = 0;
        let mut tokens = 0;
        for (part, size) in parts {
            tokens += u64::from(*size);
            if self.holds(now, *part, server) {
                cached = tokens;
            }
        }
        cached
    }
}
