//! The prefix cache and its events.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use serde::Serialize;
use tokio::time::Instant;

use super::text;

/// Bytes of a prompt that the cache keeps; what is beyond counts as not cached.
const KEPT: usize = 16 << 10;

/// Events kept for readers; older ones are gone, which readers see as a gap.
const EVENTS: usize = 4096;

/// Every event whose number is a multiple of this is never shown: readers see gaps.
const GAP: u64 = 7;

/// What happened to a prefix.
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

/// Prompts that the engine need not read again, the last used one first.
pub(super) struct Cache {
    capacity: usize,
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

    /// Stores the prompt and gives how many of its tokens were cached.
    pub(super) fn read(&mut self, prompt: &str) -> u64 {
        let prefix = text::prefix_hash(prompt);
        let bytes = &prompt.as_bytes()[..prompt.len().min(KEPT)];
        let place = self.prompts.iter().position(|(known, _)| *known == prefix);
        let known = place.and_then(|place| self.prompts.remove(place));
        let cached = match &known {
            Some((_, old)) => common(old, bytes) as u64 / 4,
            None => 0,
        };
        if known.is_none() {
            self.note(Kind::Stored, prefix);
        }
        self.prompts.push_front((prefix, bytes.to_vec()));
        while self.prompts.len() > self.capacity {
            if let Some((gone, _)) = self.prompts.pop_back() {
                self.note(Kind::Evicted, gone);
            }
        }
        cached
    }

    /// Share of the cache in use.
    pub(super) fn used(&self) -> f64 {
        self.prompts.len() as f64 / self.capacity.max(1) as f64
    }

    /// Events after `seq` that are old enough to be known.
    pub(super) fn events(&self, after: u64, lag: Duration) -> Vec<Event> {
        let mut shown = Vec::new();
        for event in &self.events {
            if event.seq <= after || event.seq.is_multiple_of(GAP) {
                continue;
            }
            if event.at.is_some_and(|at| at.elapsed() < lag) {
                continue;
            }
            shown.push(event.clone());
        }
        shown
    }

    fn note(&mut self, kind: Kind, prefix: u64) {
        self.seq += 1;
        self.events.push_back(Event {
            seq: self.seq,
            kind,
            prefix: format!("{prefix:016x}"),
            at: Some(Instant::now()),
        });
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}

fn common(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}
