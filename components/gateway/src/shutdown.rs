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

/// State of the shutdown, and request durations by route.
#[derive(Debug, Default)]
pub struct Shutdown {
    began: Cell<Option<Instant>>,
    /// Cancelled when requests in progress get their final responses.
    cutoff: CancellationToken,
    /// Number of other gateways of the data centre that accept new work.
    local_peers: Cell<usize>,
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

    /// Sets the number of other gateways of the data centre that accept new work.
    pub fn set_local_peers(&self, local_peers: usize) {
        self.local_peers.set(local_peers);
    }

    /// Returns the time after which a rejected caller can reach another gateway. The balancer keeps
    /// to the caller's data centre while it believes that a gateway runs there, and this one may be
    /// the last.
    pub fn retry_after(&self) -> Duration {
        let (Some(close_at), 0) = (self.idle_close_at(), self.local_peers.get()) else {
            return DEFAULT_RETRY_AFTER;
        };
        let remaining = close_at.saturating_duration_since(Instant::now());
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

    /// Returns whether a request that hasn't been sent to a server is admitted. `limit` is the time
    /// after which it ends in any case, and `objective` its latency objective, which replaces the
    /// estimate of its duration on a route without samples.
    ///
    /// While the balancer still sends connections, a request must be expected to end before the
    /// process exits; the last gateway of a data centre allows fewer deviations, as its callers
    /// can't reach another one at once. After that they can, and a request must end by its limit.
    pub fn admits(
        &self,
        now: Instant,
        route: &Route,
        objective: Duration,
        limit: Duration,
        grace: Duration,
    ) -> bool {
        let Some(cutoff_at) = self.cutoff_at(grace) else {
            return true;
        };
        let remaining = cutoff_at.saturating_duration_since(now);
        if limit < remaining {
            return true;
        }
        if self.idle_close_at().is_some_and(|at| at <= now) {
            return false;
        }
        let deviations = match self.local_peers.get() {
            0 => MAX_DEVIATIONS_LAST_GATEWAY,
            _ => MAX_DEVIATIONS,
        };
        let averages = self.averages.borrow();
        let time = match averages.get(route) {
            Some(average) => average.mean + deviations * average.deviation,
            None => objective.as_secs_f64() * UNSAMPLED_FACTOR,
        };
        time < remaining.as_secs_f64()
    }
}
