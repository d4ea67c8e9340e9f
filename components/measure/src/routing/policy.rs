//! The replica choice policies that are compared.

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

/// A policy for the choice of a replica.
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

/// Replica choice of one entry. Removed replicas are reported to all policies; other faults are
/// not.
pub struct Chooser {
    policy: Policy,
    pool: Pool,
    deployment: Deployment,
    servers: Vec<Server>,
    alive: Vec<bool>,
    in_flight: Vec<u32>,
    reported_running: Vec<u32>,
    cursor: usize,
}

impl Chooser {
    pub fn new(policy: Policy, replicas: usize, first: usize) -> Self {
        let deployment = Deployment {
            service: "letters".to_string(),
            version: "v1".to_string(),
            data_centre: "near".to_string(),
        };
        let mut pool = Pool::new(Settings::default());
        let mut servers = Vec::new();
        for number in 0..replicas {
            let server = format!("server-{number}");
            pool.insert(Clock::ZERO, &server, &deployment);
            servers.push(server);
        }
        Self {
            policy,
            pool,
            deployment,
            servers,
            alive: vec![true; replicas],
            in_flight: vec![0; replicas],
            reported_running: vec![0; replicas],
            cursor: first,
        }
    }

    /// Chooses a replica; returns `None` if the request is refused.
    pub fn choose(&mut self, now: Clock, prefix: u64, rng: &mut StdRng) -> Option<usize> {
        let chosen = match self.policy {
            Policy::RoundRobin => self.next_alive(),
            Policy::LeastInFlight => self.least_loaded(&self.in_flight.clone()),
            Policy::LeastReported => self.least_loaded(&self.reported_running.clone()),
            Policy::Pool => self.choose_from_pool(now, prefix, rng),
        }?;
        self.in_flight[chosen] += 1;
        self.pool.sent(now, &self.servers[chosen], Some(prefix));
        Some(chosen)
    }

    fn next_alive(&mut self) -> Option<usize> {
        for _ in 0..self.alive.len() {
            self.cursor = (self.cursor + 1) % self.alive.len();
            if self.alive[self.cursor] {
                return Some(self.cursor);
            }
        }
        None
    }

    /// Returns the live replica with the lowest load; ties are broken in rotation.
    fn least_loaded(&mut self, loads: &[u32]) -> Option<usize> {
        self.cursor += 1;
        let replicas = loads.len();
        let mut best: Option<usize> = None;
        for step in 0..replicas {
            let number = (self.cursor + step) % replicas;
            if self.alive[number] && best.is_none_or(|best| loads[number] < loads[best]) {
                best = Some(number);
            }
        }
        best
    }

    fn choose_from_pool(&self, now: Clock, prefix: u64, rng: &mut StdRng) -> Option<usize> {
        let request = Request {
            service: &self.deployment.service,
            version: &self.deployment.version,
            data_centre: &self.deployment.data_centre,
            prefix: Some(prefix),
            avoid: &[],
            resume: false,
        };
        match self.pool.choose(now, &request, rng) {
            Choice::Server(server) => self.servers.iter().position(|known| *known == server),
            Choice::Remote(_) | Choice::None { .. } => None,
        }
    }

    pub fn done(&mut self, now: Clock, replica: usize, time: Duration, failed: bool) {
        self.in_flight[replica] = self.in_flight[replica].saturating_sub(1);
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Served { time }
        };
        self.pool.done(now, &self.servers[replica], outcome);
    }

    pub fn record_report(
        &mut self,
        now: Clock,
        replica: usize,
        running: u32,
        capacity: u32,
        age: Clock,
    ) {
        self.reported_running[replica] = running;
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

    pub fn record_cache_event(&mut self, now: Clock, replica: usize, event: Event) {
        self.pool
            .record_cache_event(now, &self.servers[replica], event);
    }

    pub fn remove(&mut self, replica: usize) {
        self.alive[replica] = false;
        self.pool.remove(&self.servers[replica]);
    }
}
