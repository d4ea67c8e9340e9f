//! The simulated system and its callers.

use std::time::Duration;

/// Kind of requests of one route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Rank of the route; 0 goes first.
    pub rank: u8,
    /// Longest time to the first event for an answer in time.
    pub objective: Duration,
    /// Load as a multiple of the capacity, before the pattern is active.
    pub load: f64,
}

/// Sizes and rates of the simulated system, and the requests of its callers.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of data centres over which entries and engines are spread.
    pub data_centres: usize,
    /// KV cache memory of an engine, in tokens.
    pub kv_capacity: u64,
    /// Maximum number of concurrent runs on an engine.
    pub slots: u32,
    /// Prompt tokens that an otherwise idle engine prefills per second.
    pub prefill_rate: f64,
    /// Time between two events of a run that has the engine to itself.
    pub event_interval: Duration,
    /// Tokens in one event.
    pub tokens_per_event: u64,
    /// Mean prompt length in tokens, and mean answer length in events.
    pub mean_lengths: (f64, f64),
    /// Length of the prefix that all prompts share, in tokens.
    pub shared_prefix: u64,
    /// Number of teams.
    pub teams: usize,
    /// Longest time to the first event for an answer in time.
    pub first_event_target: Duration,
    /// Longest pause between two events for an answer in time.
    pub max_pause: Duration,
    /// Timeout of the route, for the whole answer.
    pub timeout: Duration,
    /// Bounds of callers' deadlines, as shares of the timeout.
    pub deadline_share: (f64, f64),
    /// Number of times that a caller retries a refused request.
    pub retries: u32,
    /// Rates of the engines' work by turns.
    pub rates: &'static [f64],
    /// Share of the time in which an engine is slower, in spells, and by how much.
    pub spells: (f64, f64),
    /// Duration in which requests arrive; the pattern is active in its middle.
    pub duration: Duration,
    /// Kinds of requests; empty if all are alike.
    pub kinds: Vec<Kind>,
    /// Time after which an entry's news reach the others.
    pub news_delay: Duration,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            entries: 5,
            engines: 24,
            data_centres: 3,
            kv_capacity: 55_000,
            slots: 24,
            prefill_rate: 5000.0,
            event_interval: Duration::from_millis(30),
            tokens_per_event: 8,
            mean_lengths: (5000.0, 130.0),
            shared_prefix: 200,
            teams: 10,
            first_event_target: Duration::from_millis(4500),
            max_pause: Duration::from_millis(700),
            timeout: Duration::from_secs(25),
            deadline_share: (1.0, 1.0),
            retries: 1,
            rates: &[1.0],
            spells: (0.0, 1.0),
            duration: Duration::from_secs(60),
            kinds: Vec::new(),
            news_delay: Duration::ZERO,
        }
    }
}

impl Setup {
    /// Requests per second that the engines can start with two thirds of their time spent on
    /// prefills; the rest goes to decoding.
    pub fn capacity(&self) -> f64 {
        let rate = self.rates.iter().sum::<f64>() / self.rates.len().max(1) as f64;
        let usual = 1.0 - self.spells.0 + self.spells.0 / self.spells.1;
        self.engines as f64 * rate * usual * self.prefill_rate / self.mean_lengths.0 * 2.0 / 3.0
    }
}
