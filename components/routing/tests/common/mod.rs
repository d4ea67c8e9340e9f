//! Test harness: a pool with replicas, a clock and a seeded random generator.

use std::time::Duration;

use names::{
    Clock,
    DataCentre,
    Server,
    Service,
    Version, //
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use routing::{
    Choice,
    Deployment,
    Outcome,
    Pool,
    Prefix,
    Report,
    Request,
    Settings, //
};

pub const CAPACITY: u32 = 10;

pub struct Harness {
    pub pool: Pool,
    pub now: Clock,
    pub rng: StdRng,
    service: Service,
    version: Version,
    local: DataCentre,
}

pub fn server_name(number: usize) -> Server {
    format!("s{number:03}")
}

pub fn deployment(data_centre: &str) -> Deployment {
    Deployment {
        service: "letters".to_string(),
        version: "v1".to_string(),
        data_centre: data_centre.to_string(),
    }
}

pub fn report(running: u32) -> Report {
    Report {
        running,
        queued: 0,
        capacity: CAPACITY,
        healthy: true,
        leaving: false,
        age: Duration::ZERO,
    }
}

#[allow(dead_code, reason = "each test file uses its part of this module")]
impl Harness {
    /// Creates idle replicas in the data centre "near".
    pub fn new(replicas: usize, settings: Settings, seed: u64) -> Harness {
        let mut harness = Harness {
            pool: Pool::new(settings),
            now: Duration::from_secs(1),
            rng: StdRng::seed_from_u64(seed),
            service: "letters".to_string(),
            version: "v1".to_string(),
            local: "near".to_string(),
        };
        for number in 0..replicas {
            harness
                .pool
                .insert(harness.now, &server_name(number), &deployment("near"));
            harness.report(number, report(0));
        }
        harness
    }

    pub fn report(&mut self, number: usize, report: Report) {
        self.pool
            .record_report(self.now, &server_name(number), &report);
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    pub fn choose_with(
        &mut self,
        prefix: Option<Prefix>,
        avoid: &[Server],
        resume: bool,
    ) -> Choice {
        let request = Request {
            service: &self.service,
            version: &self.version,
            data_centre: &self.local,
            prefix,
            avoid,
            resume,
        };
        self.pool.choose(self.now, &request, &mut self.rng)
    }

    pub fn choose(&mut self, prefix: Option<Prefix>) -> Choice {
        self.choose_with(prefix, &[], false)
    }

    /// Chooses a server and sends a request to it.
    pub fn send(&mut self, prefix: Option<Prefix>) -> Server {
        match self.choose(prefix) {
            Choice::Server(server) => {
                self.pool.sent(self.now, &server, prefix);
                server
            }
            other => panic!("expected a server: {other:?}"),
        }
    }

    pub fn done(&mut self, server: &Server, outcome: Outcome) {
        self.pool.done(self.now, server, outcome);
    }

    pub fn serve(&mut self, server: &Server) {
        let time = Duration::from_secs(1);
        self.done(server, Outcome::Served { time });
    }
}
