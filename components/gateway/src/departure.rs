//! The process's way out: what is still taken, and when it ends.
//!
//! The load that it answers: the balancer goes on to send connections for some seconds after the
//! process was told to stop, and callers go on to use those that are open. A stream that would
//! outlast the grace time is refused at once, so that its caller gets it whole from another entry;
//! one that was taken would be cut.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    time::Duration, //
};

use names::Route;
use tokio::time::Instant;

use crate::refuse::COME_BACK;

/// Time for which the balancer may still send new connections: it takes a process out after two
/// questions, one a second, and the answer to the first may be on its way.
const BALANCER_DELAY: Duration = Duration::from_millis(2600);

/// Time that is kept free before the end of the grace time.
const MARGIN: Duration = Duration::from_millis(400);

/// Weight of a new reading in the usual duration of a route's requests.
const EWMA_WEIGHT: f64 = 0.1;

/// Deviations above the usual duration that a request may take.
const DEVIATIONS: f64 = 3.0;

/// The same at the last entry of a data centre, whose callers can't go elsewhere at once.
const DEVIATIONS_LAST: f64 = 1.0;

/// Multiple of the objective that a request of a route without a usual duration is taken to need.
const UNKNOWN: f64 = 2.0;

/// Usual duration of a route's requests, in seconds, and its mean deviation.
#[derive(Clone, Copy, Debug)]
struct Usual {
    mean: f64,
    deviation: f64,
}

/// When the process was told to stop, and how long requests usually take.
#[derive(Debug, Default)]
pub struct Departure {
    began: Cell<Option<Instant>>,
    /// Other entries of the data centre that take new work.
    neighbours: Cell<usize>,
    usual: RefCell<HashMap<Route, Usual>>,
}

impl Departure {
    /// Notes that the process was told to stop.
    pub fn begin(&self) {
        self.began.set(Some(Instant::now()));
    }

    /// Whether the process was told to stop.
    pub fn begun(&self) -> bool {
        self.began.get().is_some()
    }

    /// Notes the number of other entries of the data centre that take new work.
    pub fn set_neighbours(&self, neighbours: usize) {
        self.neighbours.set(neighbours);
    }

    /// Time after which a caller that is refused now reaches another entry. The balancer keeps to the
    /// caller's data centre while it believes that there is an entry, and this one may be the last.
    pub fn retry_after(&self) -> Duration {
        let (Some(close), 0) = (self.close(), self.neighbours.get()) else {
            return COME_BACK;
        };
        let left = close.saturating_duration_since(Instant::now());
        left.max(COME_BACK)
    }

    /// When connections that rest are closed.
    pub fn close(&self) -> Option<Instant> {
        self.began.get().map(|began| began + BALANCER_DELAY)
    }

    /// When the process ends, whatever is in progress.
    pub fn end(&self, grace: Duration) -> Option<Instant> {
        self.began
            .get()
            .map(|began| began + grace.saturating_sub(MARGIN))
    }

    /// Time that a request of a route takes at most, as a rule.
    pub fn usual(&self, route: &Route) -> Option<Duration> {
        let routes = self.usual.borrow();
        let usual = routes.get(route)?;
        Duration::try_from_secs_f64(usual.mean + DEVIATIONS * usual.deviation).ok()
    }

    /// Learns how long a request took that was answered whole.
    pub fn learn(&self, route: &Route, time: Duration) {
        let time = time.as_secs_f64();
        let mut routes = self.usual.borrow_mut();
        let Some(usual) = routes.get_mut(route) else {
            let deviation = time / 4.0;
            let usual = Usual {
                mean: time,
                deviation,
            };
            routes.insert(route.clone(), usual);
            return;
        };
        let error = (time - usual.mean).abs();
        usual.mean += EWMA_WEIGHT * (time - usual.mean);
        usual.deviation += EWMA_WEIGHT * (error - usual.deviation);
    }

    /// Whether a request that comes now is taken: it can be expected to end before the process does.
    /// The last entry of a data centre takes the risk of what usually fits, as its callers can't go
    /// elsewhere at once. `objective` stands in for the usual time of a route that had no request here
    /// yet.
    pub fn admits(&self, route: &Route, objective: Duration, grace: Duration) -> bool {
        match self.neighbours.get() {
            0 => self.ends_within(route, objective, grace, DEVIATIONS_LAST),
            _ => self.fits(route, objective, grace),
        }
    }

    /// Whether a request that waits to be sent can be expected to end before the process does.
    pub fn fits(&self, route: &Route, objective: Duration, grace: Duration) -> bool {
        self.ends_within(route, objective, grace, DEVIATIONS)
    }

    fn ends_within(
        &self,
        route: &Route,
        objective: Duration,
        grace: Duration,
        deviations: f64,
    ) -> bool {
        let Some(end) = self.end(grace) else {
            return true;
        };
        let left = end.saturating_duration_since(Instant::now()).as_secs_f64();
        let routes = self.usual.borrow();
        let time = match routes.get(route) {
            Some(usual) => usual.mean + deviations * usual.deviation,
            None => objective.as_secs_f64() * UNKNOWN,
        };
        time < left
    }
}
