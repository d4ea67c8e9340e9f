//! The admission policies that are compared.

use std::time::Duration;

use admission::{
    Arrival,
    Done,
    Gate,
    Limit,
    Released,
    Report,
    Settings,
    Ticket,
    Verdict, //
};
use names::{
    Clock,
    Team, //
};
use rand::rngs::StdRng;

use super::simulation::{
    FULL_SPEED_RUNS,
    MAX_WAIT, //
};

/// An admission policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Admits every request.
    Unlimited,
    /// Refuses requests beyond the entry's share of the capacity; callers retry after a second.
    PlainLimit,
    /// The production gate.
    Gate,
}

impl Policy {
    pub const ALL: [Self; 3] = [Self::Unlimited, Self::PlainLimit, Self::Gate];

    pub fn name(self) -> &'static str {
        match self {
            Self::Unlimited => "none",
            Self::PlainLimit => "limit, come back in 1 s",
            Self::Gate => "this gate",
        }
    }
}

/// The policy's decision on a request.
pub enum Decision {
    Start,
    Wait(Ticket),
    Refuse(Duration),
}

/// Admission control of one entry.
pub struct Controller {
    policy: Policy,
    gate: Gate,
    running: u32,
    capacity: u32,
}

impl Controller {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            gate: Gate::new(Settings {
                initial_limit: FULL_SPEED_RUNS,
                ..Settings::default()
            }),
            running: 0,
            capacity: FULL_SPEED_RUNS,
        }
    }

    /// Reports the capacity of all entries together, and the other entries' runs as of their last
    /// reports.
    pub fn report(&mut self, capacity: u32, others: u32, entries: u32) {
        self.capacity = capacity / entries;
        self.gate.report(Report {
            capacity,
            load: self.running + others,
            processes: entries,
        });
    }

    pub fn arrive(&mut self, now: Clock, team: &Team, rng: &mut StdRng) -> Decision {
        let admitted = match self.policy {
            Policy::Unlimited => true,
            Policy::PlainLimit => self.running < self.capacity,
            Policy::Gate => return self.arrive_at_gate(now, team, rng),
        };
        if !admitted {
            return Decision::Refuse(Duration::from_secs(1));
        }
        self.running += 1;
        Decision::Start
    }

    fn arrive_at_gate(&mut self, now: Clock, team: &Team, rng: &mut StdRng) -> Decision {
        let arrival = Arrival {
            team,
            limit: Limit {
                in_flight: 0,
                rate: 0,
                weight: 1,
                priority: 1,
            },
            cost: 1,
            max_wait: MAX_WAIT,
            waited: Duration::ZERO,
            resume: false,
        };
        match self.gate.arrive(now, &arrival, rng) {
            Verdict::Admit => {
                self.running += 1;
                Decision::Start
            }
            Verdict::Queue(ticket) => Decision::Wait(ticket),
            Verdict::Refuse { retry_after, .. } => Decision::Refuse(retry_after),
        }
    }

    pub fn finish(&mut self, team: &Team, time: Duration) {
        self.running = self.running.saturating_sub(1);
        self.gate.finish(
            team,
            &Done {
                priority: 1,
                cost: 1,
                used: 1,
                time,
                first_output: Some(Duration::from_secs(1)),
            },
        );
    }

    /// Returns the waiting requests that are admitted or refused now.
    pub fn tick(&mut self, now: Clock, rng: &mut StdRng) -> Vec<(Ticket, Decision)> {
        let mut released = Vec::new();
        for release in self.gate.tick(now, rng) {
            match release {
                Released::Admit(ticket) => {
                    self.running += 1;
                    released.push((ticket, Decision::Start));
                }
                Released::Refuse {
                    ticket,
                    retry_after,
                    ..
                } => released.push((ticket, Decision::Refuse(retry_after))),
            }
        }
        released
    }

    pub fn running(&self) -> u32 {
        self.running
    }

    pub fn deadline(&self) -> Option<Clock> {
        self.gate.deadline()
    }
}
