//! Faults for the measurement of moves, and the result of each request under them.

use std::time::Duration;

use rand::{
    RngExt,
    rngs::StdRng, //
};

/// Routes of the measured service, with their shares of the traffic.
pub const ROUTES: [(&str, f64); 3] = [("chat", 0.6), ("letters", 0.3), ("statements", 0.1)];

/// Share of requests that fail on either version without a fault.
const BASE_FAILURE_SHARE: f64 = 0.001;

/// Share of requests with a mean generation time of two minutes.
const LONG_REQUEST_SHARE: f64 = 0.12;

/// A fault of the new version, or one that has another cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault occurs.
    None,
    /// The new version fails requests.
    Failing,
    /// The new version's time to the first token is long.
    SlowFirst,
    /// The new version's time between tokens is long.
    SlowBetween,
    /// The new version fails requests of the smallest route.
    OneRoute,
    /// The new version fails requests once its replicas have at least 0.8 of the old one's load.
    UnderLoad,
    /// One request crashes each server that runs it, and its caller retries it.
    Poison,
    /// One request fails on every server, and its caller keeps retrying it.
    Repeated,
    /// A host of the new version is lost with all its running requests.
    LostHost,
    /// The load exceeds the capacity of both versions together for five minutes.
    Overload,
    /// The old version fails 3% of its requests and slows down at times.
    NoisyOld,
}

/// Start of the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Onset {
    /// At the first request.
    AtOnce,
    /// Ten minutes into the move.
    Later,
    /// Two minutes after all traffic has moved.
    AfterFull,
}

/// Times and success of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// Time to the first token.
    pub first: Duration,
    /// Mean time between tokens.
    pub between: Duration,
    /// Time from the arrival to the end.
    pub duration: Duration,
    /// Whether the request fails at its end.
    pub fails: bool,
}

/// A case of the tables.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Fault that occurs during the move.
    pub fault: Fault,
    /// The fault's start.
    pub onset: Onset,
    /// Strength of the fault: 0 weak, 1 medium, 2 strong.
    pub strength: usize,
    /// Requests per second.
    pub rate: f64,
    /// Replicas of each version.
    pub replicas: u32,
}

/// Additional share of requests that fail, by strength.
const FAILURE_SHARES: [f64; 3] = [0.01, 0.05, 0.5];

/// Factor by which times are longer, by strength.
const SLOWDOWN_FACTORS: [f64; 3] = [1.3, 2.0, 5.0];

impl Fault {
    /// Whether the fault is the new version's.
    pub fn is_bad(self) -> bool {
        use Fault::{
            Failing,
            OneRoute,
            SlowBetween,
            SlowFirst,
            UnderLoad, //
        };
        matches!(
            self,
            Failing | SlowFirst | SlowBetween | OneRoute | UnderLoad
        )
    }
}

impl Case {
    /// Draws the result of a request. `load` is the load of the new version's replicas, relative to
    /// that of the old version's with all traffic; `active` tells whether the fault has started.
    pub fn draw(
        &self,
        new: bool,
        route: usize,
        active: bool,
        load: f64,
        now: f64,
        rng: &mut StdRng,
    ) -> RequestResult {
        let mut failure_share = BASE_FAILURE_SHARE;
        let mut first_slowdown = 1.0;
        let mut between_slowdown = 1.0;
        let strength = self.strength;
        match self.fault {
            Fault::Failing if new && active => failure_share += FAILURE_SHARES[strength],
            Fault::OneRoute if new && active && route == 2 => {
                failure_share += FAILURE_SHARES[strength]
            }
            Fault::UnderLoad if new && active && load >= 0.8 => {
                failure_share += FAILURE_SHARES[strength]
            }
            Fault::SlowFirst if new && active => first_slowdown = SLOWDOWN_FACTORS[strength],
            Fault::SlowBetween if new && active => between_slowdown = SLOWDOWN_FACTORS[strength],
            Fault::Overload if (1200.0..1500.0).contains(&now) => {
                failure_share = 0.05;
                first_slowdown = 4.0;
                between_slowdown = 1.5;
            }
            Fault::NoisyOld if !new && ((now / 180.0) as u64).is_multiple_of(3) => {
                failure_share = 0.03;
                first_slowdown = 1.5;
            }
            _ => {}
        }
        let first = 0.8 * lognormal_factor(rng, 0.5) * first_slowdown;
        let between = 0.04 * lognormal_factor(rng, 0.2) * between_slowdown;
        let mean = if rng.random::<f64>() < LONG_REQUEST_SHARE {
            120.0
        } else {
            8.0
        };
        let duration = first + mean * -(1.0 - rng.random::<f64>()).ln() * between_slowdown;
        let fails = rng.random::<f64>() < failure_share;
        let duration = if fails {
            duration * rng.random::<f64>()
        } else {
            duration
        };
        RequestResult {
            first: Duration::from_secs_f64(first),
            between: Duration::from_secs_f64(between),
            duration: Duration::from_secs_f64(duration),
            fails,
        }
    }
}

/// Draws the index of a route, weighted by the routes' shares.
pub fn route(rng: &mut StdRng) -> usize {
    let mut point = rng.random::<f64>();
    for (index, (_, share)) in ROUTES.iter().enumerate() {
        point -= share;
        if point < 0.0 {
            return index;
        }
    }
    0
}

/// Draws a factor from a lognormal distribution with median 1.
fn lognormal_factor(rng: &mut StdRng, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    (sigma * radius * angle.cos()).exp()
}
