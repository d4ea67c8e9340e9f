//! A simplified model of an inference engine with continuous batching.
//!
//! The engine prefills one prompt at a time. During a prefill the other runs decode at
//! [`DECODE_RATE_DURING_PREFILL`] of their usual rate, and the prefill itself proceeds at
//! [`PREFILL_RATE_DURING_DECODE`] of its own. Each further run slows the decoding of all runs by
//! [`DECODE_SLOWDOWN_PER_RUN`]. Runs for which there is no memory or no slot wait in arrival order.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::Setup;

/// Decode rate during a prefill, as a share of the rate without one.
const DECODE_RATE_DURING_PREFILL: f64 = 0.4;

/// Prefill rate while other runs decode, as a share of the rate on an otherwise idle engine.
const PREFILL_RATE_DURING_DECODE: f64 = 0.75;

/// Share by which each further run increases the decode time of all runs.
const DECODE_SLOWDOWN_PER_RUN: f64 = 0.03;

/// Index of a request in the simulation.
pub(crate) type Id = usize;

/// A request on an engine, waiting or running.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) id: Id,
    /// Prompt tokens that remain to be prefilled.
    pub(crate) unprefilled: f64,
    /// Events sent so far, and in total.
    pub(crate) events: (f64, f64),
    /// KV cache memory that the run occupies, in tokens.
    pub(crate) tokens: u64,
    /// Urgency that the engine was told; 0 goes first.
    pub(crate) urgency: u8,
}

/// Progress of a run during one tick.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Step {
    /// The run sent an event; `first` marks the first one.
    Event { id: Id, first: bool },
    /// The run sent its last event.
    End { id: Id },
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) lost: bool,
    waiting: VecDeque<Run>,
    running: Vec<Run>,
    /// Memory that backup copies of other engines' runs occupy, in tokens.
    pub(crate) backup_tokens: u64,
    /// Prompt tokens prefilled so far.
    pub(crate) prefilled: f64,
    /// Tokens that have to be read again after a preemption.
    pub(crate) reread: f64,
}

impl Engine {
    pub(crate) fn add(&mut self, run: Run) {
        self.waiting.push_back(run);
    }

    /// Removes a request, whether it waits or runs.
    pub(crate) fn remove(&mut self, id: Id) {
        self.waiting.retain(|run| run.id != id);
        self.running.retain(|run| run.id != id);
    }

    /// Drops all runs and backup copies; returns the runs.
    pub(crate) fn crash(&mut self) -> Vec<Run> {
        self.backup_tokens = 0;
        let mut lost: Vec<Run> = self.waiting.drain(..).collect();
        lost.append(&mut self.running);
        lost
    }

    /// Runs the engine for `time`; returns the events that it sent and the runs that ended.
    ///
    /// The engine works at `rate`, relative to a usual one.
    pub(crate) fn advance(&mut self, setup: &Setup, time: Duration, rate: f64) -> Vec<Step> {
        let time = time.mul_f64(rate);
        let mut steps = Vec::new();
        self.start_waiting(setup);
        let unprefilled = self.running.iter().enumerate();
        let unprefilled = unprefilled.filter(|(_, run)| run.unprefilled > 0.0);
        let prefilling = unprefilled.min_by_key(|(index, run)| (run.urgency, *index));
        let prefilling = prefilling.map(|(index, _)| index);
        let decoding = self
            .running
            .iter()
            .filter(|run| run.unprefilled <= 0.0)
            .count();
        if let Some(index) = prefilling {
            let rate = if decoding > 0 {
                PREFILL_RATE_DURING_DECODE
            } else {
                1.0
            };
            let tokens = setup.prefill_rate * rate * time.as_secs_f64();
            let run = &mut self.running[index];
            self.prefilled += tokens.min(run.unprefilled);
            run.unprefilled -= tokens;
        }
        let slowdown = 1.0 + DECODE_SLOWDOWN_PER_RUN * decoding.saturating_sub(1) as f64;
        let decode_rate = if prefilling.is_some() {
            DECODE_RATE_DURING_PREFILL
        } else {
            1.0
        };
        let events =
            time.as_secs_f64() / setup.event_interval.as_secs_f64() / slowdown * decode_rate;
        let mut ended = Vec::new();
        for (index, run) in self.running.iter_mut().enumerate() {
            if run.unprefilled > 0.0 || Some(index) == prefilling {
                continue;
            }
            let before = run.events.0.floor();
            run.events.0 += events;
            if run.events.0.floor() > before {
                steps.push(Step::Event {
                    id: run.id,
                    first: before < 1.0,
                });
            }
            if run.events.0 >= run.events.1 {
                ended.push(run.id);
            }
        }
        for id in ended {
            self.remove(id);
            steps.push(Step::End { id });
        }
        steps
    }

    /// Returns the newest of the least urgent runs, if they are less urgent than `urgency`.
    fn preemptible(&self, urgency: u8) -> Option<usize> {
        let running = self.running.iter().enumerate();
        let (index, least) = running.max_by_key(|(index, run)| (run.urgency, *index))?;
        (least.urgency > urgency).then_some(index)
    }

    /// Returns a run to the queue; its tokens have to be read again.
    fn preempt(&mut self, setup: &Setup, index: usize) {
        let mut run = self.running.remove(index);
        let remaining = (run.events.1 - run.events.0) * setup.tokens_per_event as f64;
        let read = (run.tokens as f64 - remaining).max(0.0);
        self.reread += read - run.unprefilled.max(0.0);
        run.unprefilled = read;
        self.waiting.push_front(run);
    }

    /// Starts waiting runs while memory and slots allow.
    fn start_waiting(&mut self, setup: &Setup) {
        loop {
            let waiting = self.waiting.iter().enumerate();
            let next = waiting.min_by_key(|(index, run)| (run.urgency, *index));
            let Some((index, next)) = next else {
                return;
            };
            let used: u64 = self.running.iter().map(|run| run.tokens).sum();
            let fits = used + self.backup_tokens + next.tokens <= setup.kv_capacity;
            let slot = self.running.len() < setup.slots as usize;
            if !slot || !fits && !self.running.is_empty() {
                match self.preemptible(next.urgency) {
                    Some(run) => self.preempt(setup, run),
                    None => return,
                }
                continue;
            }
            let next = self.waiting.remove(index);
            self.running.extend(next);
        }
    }
}
