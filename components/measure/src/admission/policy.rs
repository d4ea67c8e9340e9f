//! The ways to admit that are compared.

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

use super::stream::{
    CAPACITY,
    PATIENCE, //
};

/// A way to admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Everything,
    PlainLimit,
    Gate,
}

impl Policy {
    pub const ALL: [Self; 3] = [Self::Everything, Self::PlainLimit, Self::Gate];

    pub fn name(self) -> &'static str {
        match self {
            Self::Everything => "none",
            Self::PlainLimit => "limit, come back in 1 s",
            Self::Gate => "this gate",
        }
    }
}

/// What becomes of an arrival.
pub enum Answer {
    Begin,
    Wait(Ticket),
    Refuse(Duration),
}

/// One entry's admission.
pub struct Door {
    policy: Policy,
    gate: Gate,
    running: u32,
    capacity: u32,
}

impl Door {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            gate: Gate::new(Settings {
                initial_limit: CAPACITY,
                ..Settings::default()
            }),
            running: 0,
            capacity: CAPACITY,
        }
    }

    /// Takes the whole capacity, and the runs of the other entries as they were a while ago.
    pub fn report(&mut self, capacity: u32, others: u32, entries: u32) {
        self.capacity = capacity / entries;
        self.gate.report(Report {
            capacity,
            load: self.running + others,
            entries,
        });
    }

    pub fn arrive(&mut self, now: Clock, team: &Team, rng: &mut StdRng) -> Answer {
        let open = match self.policy {
            Policy::Everything => true,
            Policy::PlainLimit => self.running < self.capacity,
            Policy::Gate => return self.ask(now, team, rng),
        };
        if !open {
            return Answer::Refuse(Duration::from_secs(1));
        }
        self.running += 1;
        Answer::Begin
    }

    fn ask(&mut self, now: Clock, team: &Team, rng: &mut StdRng) -> Answer {
        let arrival = Arrival {
            team,
            limit: Limit {
                in_flight: 0,
                rate: 0,
                weight: 1,
                priority: 1,
            },
            cost: 1,
            max_wait: PATIENCE,
            resume: false,
        };
        match self.gate.arrive(now, &arrival, rng) {
            Verdict::Admit => {
                self.running += 1;
                Answer::Begin
            }
            Verdict::Queue(ticket) => Answer::Wait(ticket),
            Verdict::Refuse { retry_after, .. } => Answer::Refuse(retry_after),
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
                first_token: Some(Duration::from_secs(1)),
            },
        );
    }

    /// Lets waiting requests go on, or refuses them.
    pub fn tick(&mut self, now: Clock, rng: &mut StdRng) -> Vec<(Ticket, Answer)> {
        let mut released = Vec::new();
        for one in self.gate.tick(now, rng) {
            match one {
                Released::Admit(ticket) => {
                    self.running += 1;
                    released.push((ticket, Answer::Begin));
                }
                Released::Refuse {
                    ticket,
                    retry_after,
                    ..
                } => released.push((ticket, Answer::Refuse(retry_after))),
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
