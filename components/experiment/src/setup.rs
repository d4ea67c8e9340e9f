//! What stands, and what callers ask for.

use std::time::Duration;

/// A system and its usual callers.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Entries.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Data centres over which entries and engines are spread.
    pub data_centres: usize,
    /// Memory of an engine, in tokens.
    pub memory: u64,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens of prompts that an engine reads in a second while it does nothing else.
    pub reading: f64,
    /// Time between two events of a run that is alone.
    pub step: Duration,
    /// Tokens of an event.
    pub event: u64,
    /// Mean number of tokens of a prompt, and of events of an answer.
    pub size: (f64, f64),
    /// Tokens with which all prompts begin alike.
    pub shared: u64,
    /// Teams.
    pub teams: usize,
    /// Time for the first event.
    pub objective: Duration,
    /// Longest pause between two events.
    pub gap: Duration,
    /// Time for the whole answer.
    pub timeout: Duration,
    /// Part of it that callers give, at the least and at the most.
    pub gives: (f64, f64),
    /// Times that a refused caller comes back.
    pub retries: u32,
    /// Length of a play; the pattern fills its middle.
    pub length: Duration,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            entries: 5,
            engines: 24,
            data_centres: 3,
            memory: 55_000,
            slots: 24,
            reading: 5000.0,
            step: Duration::from_millis(30),
            event: 8,
            size: (5000.0, 130.0),
            shared: 200,
            teams: 10,
            objective: Duration::from_millis(4500),
            gap: Duration::from_millis(700),
            timeout: Duration::from_secs(25),
            gives: (1.0, 1.0),
            retries: 1,
            length: Duration::from_secs(60),
        }
    }
}

impl Setup {
    /// Requests that the engines can begin in a second when two thirds of their time go to reading:
    /// the rest is for the answers.
    pub fn capacity(&self) -> f64 {
        self.engines as f64 * self.reading / self.size.0 * 2.0 / 3.0
    }
}
