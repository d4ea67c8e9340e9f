//! Prefix cache and its events.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use serde::Serialize;
use tokio::time::Instant;

use super::text;

/// Bytes of a prompt that the cache keeps; the rest of the prompt counts as uncached.
const MAX_PROMPT_BYTES: usize = 16 << 10;

/// Events retained for readers, who see a gap where older ones were dropped.
const MAX_EVENTS: usize = 4096;

/// Events whose sequence number is a multiple of this are withheld, so that readers see gaps.
const GAP_INTERVAL: u64 = 7;

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Kind {
    Stored,
    Evicted,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    seq: u64,
    kind: Kind,
    prefix: String,
    #[serde(skip)]
    at: Option<Instant>,
}

/// LRU cache of prompts, most recently used first.
pub(super) struct Cache {
    capacity: usize,
    /// Prefix hashes and prompt bytes.
    prompts: VecDeque<(u64, Vec<u8>)>,
    events: VecDeque<Event>,
    seq: u64,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Cache {
        Cache {
            capacity,
            prompts: VecDeque::new(),
            events: VecDeque::new(),
            seq: 0,
        }
    }

    /// Stores the prompt and returns how many of its tokens were cached.
    pub(super) fn insert(&mut self, prompt: &str) -> u64 {
        let prefix = text::prefix_hash(prompt);
        let bytes = &prompt.as_bytes()[..prompt.len().min(MAX_PROMPT_BYTES)];
        let position = self.prompts.iter().position(|(hash, _)| *hash == prefix);
        let previous = position.and_then(|position| self.prompts.remove(position));
        let cached = match &previous {
            Some((_, old)) => common_prefix_len(old, bytes) as u64 / 4,
            None => 0,
        };
        if previous.is_none() {
            self.record(Kind::Stored, prefix);
        }
        self.prompts.push_front((prefix, bytes.to_vec()));
        while self.prompts.len() > self.capacity {
            if let Some((evicted, _)) = self.prompts.pop_back() {
                self.record(Kind::Evicted, evicted);
            }
        }
        cached
    }

    /// Returns the share of the cache in use.
    pub(super) fn used(&self) -> f64 {
        self.prompts.len() as f64 / self.capacity.max(1) as f64
    }

    /// Returns the events after sequence number `after` that are at least `lag` old, with gaps.
    pub(super) fn events(&self, after: u64, lag: Duration) -> Vec<Event> {
        let mut visible = Vec::new();
        for event in &self.events {
            if event.seq <= after || event.seq.is_multiple_of(GAP_INTERVAL) {
                continue;
            }
            if event.at.is_some_and(|at| at.elapsed() < lag) {
                continue;
            }
            visible.push(event.clone());
        }
        visible
    }

    fn record(&mut self, kind: Kind, prefix: u64) {
        self.seq += 1;
        self.events.push_back(Event {
            seq: self.seq,
            kind,
            prefix: format!("{prefix:016x}"),
            at: Some(Instant::now()),
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

fn common_prefix_len(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}
