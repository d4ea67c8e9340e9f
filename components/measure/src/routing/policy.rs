//! The ways to choose that are compared.

use std::time::Duration;

use names::{
    Clock,
    Server, //
};
use rand::rngs::StdRng;
use routing::{
    Choice,
    Deployment,
    Event,
    Outcome,
    Pool,
    Report,
    Request,
    Settings, //
};

/// A way to choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    RoundRobin,
    LeastInFlight,
    LeastReported,
    Pool,
}

impl Policy {
    pub const ALL: [Self; 4] = [
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::LeastReported,
        Self::Pool,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastInFlight => "least own in-flight",
            Self::LeastReported => "least reported load",
            Self::Pool => "this pool",
        }
    }
}

/// One entry's choice. All policies learn of replicas that are gone, and none else is helped.
pub struct Chooser {
    policy: Policy,
    pool: Pool,
    place: Deployment,
    servers: Vec<Server>,
    alive: Vec<bool>,
    own: Vec<u32>,
    reported: Vec<u32>,
    turn: usize,
}

impl Chooser {
    pub fn new(policy: Policy, replicas: usize, first: usize) -> Self {
        let place = Deployment {
            service: "letters".to_string(),
            version: "v1".to_string(),
            data_centre: "near".to_string(),
        };
        let mut pool = Pool::new(Settings::default());
        let mut servers = Vec::new();
        for number in 0..replicas {
            let server = format!("server-{number}");
            pool.insert(Clock::ZERO, &server, &place);
            servers.push(server);
        }
        Self {
            policy,
            pool,
            place,
            servers,
            alive: vec![true; replicas],
            own: vec![0; replicas],
            reported: vec![0; replicas],
            turn: first,
        }
    }

    /// Chooses a replica; `None` refuses the request.
    pub fn choose(&mut self, now: Clock, prefix: u64, rng: &mut StdRng) -> Option<usize> {
        let chosen = match self.policy {
            Policy::RoundRobin => self.next_alive(),
            Policy::LeastInFlight => self.least(&self.own.clone()),
            Policy::LeastReported => self.least(&self.reported.clone()),
            Policy::Pool => self.pooled(now, prefix, rng),
        }?;
        self.own[chosen] += 1;
        self.pool.sent(now, &self.servers[chosen], Some(prefix));
        Some(chosen)
    }

    fn next_alive(&mut self) -> Option<usize> {
        for _ in 0..self.alive.len() {
            self.turn = (self.turn + 1) % self.alive.len();
            if self.alive[self.turn] {
                return Some(self.turn);
            }
        }
        None
    }

    /// The least of the loads; ties go round.
    fn least(&mut self, loads: &[u32]) -> Option<usize> {
        self.turn += 1;
        let replicas = loads.len();
        let mut best: Option<usize> = None;
        for step in 0..replicas {
            let number = (self.turn + step) % replicas;
            if self.alive[number] && best.is_none_or(|best| loads[number] < loads[best]) {
                best = Some(number);
            }
        }
        best
    }

    fn pooled(&self, now: Clock, prefix: u64, rng: &mut StdRng) -> Option<usize> {
        let ask = Request {
            service: &self.place.service,
            version: &self.place.version,
            data_centre: &self.place.data_centre,
            prefix: Some(prefix),
            avoid: &[],
            resume: false,
        };
        match self.pool.choose(now, &ask, rng) {
            Choice::Server(server) => self.servers.iter().position(|known| *known == server),
            Choice::Remote(_) | Choice::None { .. } => None,
        }
    }

    pub fn done(&mut self, now: Clock, replica: usize, time: Duration, failed: bool) {
        self.own[replica] = self.own[replica].saturating_sub(1);
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Served { time }
        };
        self.pool.done(now, &self.servers[replica], outcome);
    }

    pub fn learn(&mut self, now: Clock, replica: usize, running: u32, capacity: u32, age: Clock) {
        self.reported[replica] = running;
        let report = Report {
            running,
            queued: 0,
            capacity,
            healthy: true,
            leaving: false,
            age,
        };
        self.pool
            .record_report(now, &self.servers[replica], &report);
    }

    pub fn cached(&mut self, now: Clock, replica: usize, event: Event) {
        self.pool
            .record_cache_event(now, &self.servers[replica], event);
    }

    pub fn gone(&mut self, replica: usize) {
        self.alive[replica] = false;
        self.pool.remove(&self.servers[replica]);
    }
}
