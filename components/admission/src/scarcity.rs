//! Room for requests of different ranks at engines that all of them share.
//!
//! Less urgent requests wait at the entry and not in an engine's queue, where an urgent one would
//! wait behind them: what engines are promised for them is bounded by their objective, and while
//! urgent requests arrive, room for those to come is left free.

use std::time::Duration;

use names::Clock;

use crate::{
    order::{
        self,
        Arrivals,
        Bound, //
    },
    wait, //
};

/// Share of the time for the requests of the last rank that engines are promised while urgent ones
/// arrive.
const LENT_SHARE: f64 = 0.75;

/// Weight of a new request in the mean time promised to a class.
const EWMA_WEIGHT: f64 = 0.1;

/// Time within which the processes hear what the others admitted.
const NEWS_TIME: Duration = Duration::from_secs(1);

/// Largest work of a request that is planned for, relative to the mean.
const MAX_SIZE: f64 = 2.0;

/// A request's place in the order of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Rank of the request; 0 goes first.
    pub rank: u8,
    /// Whether requests of the service come after it by their rank.
    pub is_first: bool,
    /// Place of its rank among those of the service; 0 goes first.
    pub place: u8,
    /// Shortest objective of the service's requests.
    pub shortest_objective: Duration,
}

impl Standing {
    /// Returns the time within which engines are promised to begin answers.
    pub fn promised(&self) -> Duration {
        wait::engine_time(self.shortest_objective)
    }

    /// Returns the time reserved for the engine to produce the first event of a request, whose size
    /// is relative to the mean of its kind.
    pub fn engine_time(&self, size: f64, objective: Duration) -> Duration {
        let usual = wait::engine_time(objective);
        usual.min(self.promised().mul_f64(size.clamp(1.0, MAX_SIZE)))
    }
}

/// Class of requests for which engines' room is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Requests of every rank but the last.
    First,
    /// Requests of the last rank.
    Others,
}

/// Room of one process for the requests of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Room for requests of the first rank.
    pub first: u32,
    /// Lowest priority of the first rank, and the room for all below it.
    pub below: Option<(u8, u32)>,
    /// Processes with which this one shares the room for the first rank, and all processes.
    pub sharing: (u32, u32),
}

impl Room {
    /// Returns the bound of a gate with `running` requests.
    pub fn bound(&self, running: u32) -> Option<Bound> {
        self.below.map(|(priority, room)| Bound {
            priority,
            capacity: running.saturating_add(room),
            reach: f64::from(self.sharing.1) / f64::from(self.sharing.0.max(1)),
        })
    }
}

/// State of a service whose requests differ.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scarcity {
    /// Mean times in which engines begin the answers of every rank but the last, and of the last.
    promised: [Option<Duration>; 2],
    /// Lowest priority of the first rank, once one of its requests came.
    first_priority: Option<u8>,
    arrivals: Arrivals,
}

impl Scarcity {
    /// Records an arrival with its objective.
    pub fn arrive(&mut self, now: Clock, standing: &Standing, objective: Duration) {
        let promised = wait::engine_time(objective);
        let known = &mut self.promised[usize::from(!standing.is_first)];
        *known = Some(known.map_or(promised, |known| {
            known.mul_f64(1.0 - EWMA_WEIGHT) + promised.mul_f64(EWMA_WEIGHT)
        }));
        if standing.is_first {
            self.arrivals.record(now);
            let priority = wait::lowest_priority(standing.rank);
            let known = self.first_priority.unwrap_or(priority);
            self.first_priority = Some(known.min(priority));
        }
    }

    /// Returns the room of this process, one of `processes`. `room` returns the engines' room for
    /// requests of a class whose first events arrive within a time; `draw` is a random number from 0
    /// to 1.
    pub fn room(
        &self,
        now: Clock,
        processes: u32,
        room: impl Fn(Class, Duration) -> u32,
        draw: f64,
    ) -> Room {
        let [first_within, others_within] = self.promised;
        let others_within = others_within.or(first_within).unwrap_or_default();
        let first_within = first_within.unwrap_or(others_within);
        let Some(priority) = self.first_priority else {
            let room = room(Class::Others, others_within);
            return Room {
                first: wait::share(room, processes, draw),
                below: None,
                sharing: (processes, processes),
            };
        };
        let rate = self.arrivals.rate(now) * f64::from(processes);
        // Only a few processes have an urgent request until they hear of each other's.
        let sharing = (rate * NEWS_TIME.as_secs_f64()).ceil() as u32;
        let sharing = sharing.clamp(1, processes.max(1));
        // Engines begin urgent requests before the others that they were promised.
        let first = room(Class::First, first_within * 2);
        let within = match order::is_reserved(rate) {
            true => others_within.mul_f64(LENT_SHARE),
            false => others_within,
        };
        let others = room(Class::Others, within);
        let others = order::unreserved(others, rate);
        Room {
            first: wait::share(first, sharing, draw),
            below: Some((priority, wait::share(others, processes, draw))),
            sharing: (sharing, processes.max(1)),
        }
    }
}
