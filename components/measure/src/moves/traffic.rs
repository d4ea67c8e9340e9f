//! Requests and faults for the measurement of moves: what each version does to each request.

use std::time::Duration;

use rand::{
    RngExt,
    rngs::StdRng, //
};

/// Routes of the measured service and their shares of the traffic.
pub const ROUTES: [(&str, f64); 3] = [("chat", 0.6), ("letters", 0.3), ("statements", 0.1)];

/// Share of requests that fail on either version without any fault.
const FAILING: f64 = 0.001;

/// Share of requests whose generation runs for minutes.
const LONG: f64 = 0.12;

/// What is wrong, with the version or beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The new version fails requests.
    Failing,
    /// The new version's first tokens are late.
    SlowFirst,
    /// The new version's tokens come slowly.
    SlowBetween,
    /// The new version fails requests of the smallest route.
    OneRoute,
    /// The new version fails requests once its replicas are as loaded as the old one's.
    UnderLoad,
    /// One request brings down each server that runs it; its caller sends it again.
    Poison,
    /// One request fails on any server; its caller sends it again and again.
    Repeated,
    /// A host of the new version is lost with all that ran on it.
    LostHost,
    /// More comes than both versions together can do, for five minutes.
    Overload,
    /// The old version fails 3% and slows down at times.
    NoisyOld,
}

/// When the fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Onset {
    /// From the first request on.
    AtOnce,
    /// Ten minutes into the move.
    Later,
    /// Two minutes after all traffic has moved.
    AfterFull,
}

/// What happens to one request.
#[derive(Clone, Copy, Debug)]
pub struct Fate {
    /// Time to the first token.
    pub first: Duration,
    /// Mean time between tokens.
    pub between: Duration,
    /// Time from the arrival to the end.
    pub lasts: Duration,
    /// It fails at its end.
    pub fails: bool,
}

/// One case of the table.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// What is wrong.
    pub fault: Fault,
    /// Since when.
    pub onset: Onset,
    /// How strong: 0 weak, 1 middle, 2 strong.
    pub strength: usize,
    /// Requests a second.
    pub rate: f64,
    /// Replicas of each version.
    pub replicas: u32,
}

/// Shares of failing requests by strength.
const FAILS: [f64; 3] = [0.01, 0.05, 0.5];

/// Factors of slowness by strength.
const SLOWER: [f64; 3] = [1.3, 2.0, 5.0];

impl Fault {
    /// Tells whether the version itself is bad.
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
    /// Draws what happens to a request. `load` is the load of the new version's replicas against
    /// that of the old one's with all traffic; `active` says whether the fault has begun.
    pub fn draw(
        &self,
        new: bool,
        route: usize,
        active: bool,
        load: f64,
        now: f64,
        rng: &mut StdRng,
    ) -> Fate {
        let mut fails = FAILING;
        let mut slower_first = 1.0;
        let mut slower_between = 1.0;
        let strength = self.strength;
        match self.fault {
            Fault::Failing if new && active => fails += FAILS[strength],
            Fault::OneRoute if new && active && route == 2 => fails += FAILS[strength],
            Fault::UnderLoad if new && active && load >= 0.8 => fails += FAILS[strength],
            Fault::SlowFirst if new && active => slower_first = SLOWER[strength],
            Fault::SlowBetween if new && active => slower_between = SLOWER[strength],
            Fault::Overload if (1200.0..1500.0).contains(&now) => {
                fails = 0.05;
                slower_first = 4.0;
                slower_between = 1.5;
            }
            Fault::NoisyOld if !new && ((now / 180.0) as u64).is_multiple_of(3) => {
                fails = 0.03;
                slower_first = 1.5;
            }
            _ => {}
        }
        let first = 0.8 * spread(rng, 0.5) * slower_first;
        let between = 0.04 * spread(rng, 0.2) * slower_between;
        let mean = if rng.random::<f64>() < LONG {
            120.0
        } else {
            8.0
        };
        let lasts = first + mean * -(1.0 - rng.random::<f64>()).ln() * slower_between;
        let fails = rng.random::<f64>() < fails;
        let lasts = if fails {
            lasts * rng.random::<f64>()
        } else {
            lasts
        };
        Fate {
            first: Duration::from_secs_f64(first),
            between: Duration::from_secs_f64(between),
            lasts: Duration::from_secs_f64(lasts),
            fails,
        }
    }
}

/// Draws a route by the routes' shares.
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

/// A factor around 1 with a log-normal distribution.
fn spread(rng: &mut StdRng, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    (sigma * radius * angle.cos()).exp()
}
