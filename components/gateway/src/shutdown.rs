//! Graceful shutdown: which requests are still admitted, and when the process exits.
//!
//! The balancer keeps sending connections for some seconds after the process receives SIGTERM, and
//! callers keep using their open ones. A request that would outlast the grace time is rejected at
//! once, so that its caller gets a complete answer from another gateway. If it were admitted, it
//! would be cut off. An estimate decides only while callers can't reach another gateway.

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
use tokio_util::sync::CancellationToken;

use crate::refuse::DEFAULT_RETRY_AFTER;

/// Time for which the balancer may still send new connections: it removes a process after two
/// failed health checks, one a second, and the response to the first may already be on its way.
const BALANCER_DELAY: Duration = Duration::from_millis(2600);

/// Part of the grace time that is reserved for the exit after the last request.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time before the exit by which each request gets its final response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Time from the exit of a process until its next run accepts connections.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// Longest time over which callers that wait for the return of a gateway are spread.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Weight of a new sample in the average duration of a route's requests.
const EWMA_WEIGHT: f64 = 0.1;

/// Mean deviations above the average duration that a request is expected to stay within.
const MAX_DEVIATIONS: f64 = 3.0;

/// Replaces [`MAX_DEVIATIONS`] at the last gateway of a data centre, whose callers can't reach
/// another one at once.
const MAX_DEVIATIONS_LAST_GATEWAY: f64 = 1.0;

/// Multiple of the latency objective that a request is expected to take on a route without samples.
const UNSAMPLED_FACTOR: f64 = 2.0;

/// Durations of a route's requests, in seconds.
#[derive(Clone, Copy, Debug)]
struct Average {
    mean: f64,
    /// Mean deviation.
    deviation: f64,
}

/// Which other gateways accept work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    /// Number of those that accept new work.
    pub accepting: usize,
    /// Number of those that accept new work in the data centre.
    pub local: usize,
    /// When the first one of those that are leaving must be back.
    pub next_return: Option<Instant>,
}

impl Availability {
    /// Returns how long after the start of its shutdown a gateway is back.
    pub fn return_time(grace: Duration) -> Duration {
        grace.saturating_sub(EXIT_MARGIN) + RESTART_TIME
    }
}

/// A request that hasn't been sent to a server.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Route that it matched.
    pub route: &'a Route,
    /// Latency objective, from which its duration is estimated on a route without samples.
    pub objective: Duration,
    /// Time after which it ends in any case.
    pub limit: Duration,
    /// Whether its response is a stream, which nothing can complete once it has begun.
    pub stream: bool,
}

/// State of the shutdown, and request durations by route.
#[derive(Debug, Default)]
pub struct Shutdown {
    began: Cell<Option<Instant>>,
    /// Cancelled when requests in progress get their final responses.
    cutoff: CancellationToken,
    availability: Cell<Availability>,
    averages: RefCell<HashMap<Route, Average>>,
}

impl Shutdown {
    /// Begins the shutdown.
    pub fn begin(&self, now: Instant) {
        self.began.set(Some(now));
    }

    /// Returns whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.began.get().is_some()
    }

    /// Returns the time since the shutdown began; zero before.
    pub fn elapsed(&self) -> Duration {
        self.elapsed_until(Instant::now()).unwrap_or_default()
    }

    /// Returns the time from the beginning of the shutdown to `at`; `None` if it began later.
    pub fn elapsed_until(&self, at: Instant) -> Option<Duration> {
        at.checked_duration_since(self.began.get()?)
    }

    /// Sets which other gateways accept work.
    pub fn set_availability(&self, availability: Availability) {
        self.availability.set(availability);
    }

    /// Returns the time after which a rejected caller can reach a gateway that accepts work. The
    /// balancer keeps to the caller's data centre while it believes that a gateway runs there, and
    /// this one may be the last. While all others are leaving too, it is the return of the first one.
    pub fn retry_after(&self, grace: Duration) -> Duration {
        let Some(began) = self.began.get() else {
            return DEFAULT_RETRY_AFTER;
        };
        let reachable_at = match self.availability.get() {
            Availability {
                accepting: 0,
                next_return: Some(next_return),
                ..
            } => {
                let spread = MAX_RETURN_SPREAD.mul_f64(rand::random());
                next_return.min(began + Availability::return_time(grace)) + spread
            }
            Availability { local: 0, .. } => began + BALANCER_DELAY,
            _ => return DEFAULT_RETRY_AFTER,
        };
        let remaining = reachable_at.saturating_duration_since(Instant::now());
        remaining.max(DEFAULT_RETRY_AFTER)
    }

    /// Returns the time at which idle connections are closed.
    pub fn idle_close_at(&self) -> Option<Instant> {
        self.began.get().map(|began| began + BALANCER_DELAY)
    }

    /// Returns the time at which the process exits, even with requests in progress.
    pub fn exit_at(&self, grace: Duration) -> Option<Instant> {
        self.began
            .get()
            .map(|began| began + grace.saturating_sub(EXIT_MARGIN))
    }

    /// Returns the time by which each request must have its final response.
    pub fn cutoff_at(&self, grace: Duration) -> Option<Instant> {
        self.exit_at(grace).map(|at| at - RESPONSE_MARGIN)
    }

    /// Returns the token that is cancelled when requests in progress get their final responses.
    pub fn cutoff(&self) -> &CancellationToken {
        &self.cutoff
    }

    /// Returns the time from `now` until the process exits; `None` before the shutdown.
    pub fn remaining(&self, now: Instant, grace: Duration) -> Option<Duration> {
        let exit_at = self.exit_at(grace)?;
        Some(exit_at.saturating_duration_since(now))
    }

    /// Returns an upper estimate of the duration of a route's requests.
    pub fn duration_estimate(&self, route: &Route) -> Option<Duration> {
        let routes = self.averages.borrow();
        let average = routes.get(route)?;
        Duration::try_from_secs_f64(average.mean + MAX_DEVIATIONS * average.deviation).ok()
    }

    /// Records the duration of a request that was answered in full.
    pub fn record_duration(&self, route: &Route, time: Duration) {
        let time = time.as_secs_f64();
        let mut routes = self.averages.borrow_mut();
        let Some(average) = routes.get_mut(route) else {
            let deviation = time / 4.0;
            let average = Average {
                mean: time,
                deviation,
            };
            routes.insert(route.clone(), average);
            return;
        };
        let error = (time - average.mean).abs();
        average.mean += EWMA_WEIGHT * (time - average.mean);
        average.deviation += EWMA_WEIGHT * (error - average.deviation);
    }

    /// Returns whether a request that hasn't been sent to a server is admitted.
    ///
    /// One that ends by its limit always is. While the balancer still sends connections, others must
    /// be expected to end in time; the last gateway of a data centre allows fewer deviations, as its
    /// callers can't reach another one at once. After that they can, so that an estimate isn't
    /// enough, unless no other gateway accepts work and a request that is cut off still gets a
    /// response.
    pub fn admits(&self, now: Instant, request: &Request<'_>, grace: Duration) -> bool {
        let Some(cutoff_at) = self.cutoff_at(grace) else {
            return true;
        };
        let remaining = cutoff_at.saturating_duration_since(now);
        if request.limit < remaining {
            return true;
        }
        let removed = self.idle_close_at().is_some_and(|at| at <= now);
        if removed && (request.stream || self.availability.get().accepting > 0) {
            return false;
        }
        let deviations = match self.availability.get().local {
            0 if !removed => MAX_DEVIATIONS_LAST_GATEWAY,
            _ => MAX_DEVIATIONS,
        };
        let averages = self.averages.borrow();
        let time = match averages.get(request.route) {
            Some(average) => average.mean + deviations * average.deviation,
            None => request.objective.as_secs_f64() * UNSAMPLED_FACTOR,
        };
        time < remaining.as_secs_f64()
    }
}
