//! Admission of requests at this entry, and the retry budget.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use admission::{
    Budget,
    Reason,
    Report,
    Settings, //
};
use gates::{
    Gates as Queues,
    Rejection, //
};
pub(crate) use gates::{
    Permit,
    Request, //
};
use tokio::time::Instant;

use crate::problem::{
    Code,
    Problem, //
};

pub(crate) mod driver;

/// The gate of each service, and the retry budget.
pub(crate) struct Gates {
    queues: Arc<Queues>,
    budget: Mutex<Budget>,
}

/// Returns the time to the first token above which a request counts as late.
pub(crate) fn first_token_objective() -> Duration {
    Settings::default().first_token_target
}

/// Returns the minimum share of the concurrency that late first tokens may reduce it to. The reports
/// of replicas are old, and late tokens reveal queues that no report shows.
pub(crate) fn min_concurrency_share() -> f64 {
    Settings::default().min_factor
}

impl Gates {
    /// Creates the gates; `origin` is the origin of their clock readings.
    pub(crate) fn new(origin: Instant) -> Gates {
        Gates {
            queues: Queues::new(origin),
            budget: Mutex::default(),
        }
    }

    /// Admits a request, immediately or after it has queued.
    ///
    /// # Errors
    ///
    /// Returns a [`Code::Busy`] problem with the time after which to retry.
    pub(crate) async fn admit(&self, request: Request<'_>) -> Result<Permit, Problem> {
        let permit = self.queues.admit(request).await.map_err(refusal)?;
        self.budget.lock().expect("no panic while held").request();
        Ok(permit)
    }

    /// Draws a retry from the budget, and returns whether there was one left.
    pub(crate) fn retry(&self) -> bool {
        self.budget.lock().expect("no panic while held").retry()
    }

    /// Draws the resume of an answer from the budget; it is never denied.
    pub(crate) fn resume(&self) {
        self.budget.lock().expect("no panic while held").resume();
    }

    /// Updates the gates with the load of each service's replicas.
    fn report(&self, load: impl Fn(&str) -> Option<Report>) {
        self.queues.report(|service, _| load(service));
    }

    /// Admits queued requests, and refuses those that have waited too long.
    fn tick(&self) {
        self.queues.tick();
    }
}

/// Returns the problem for a refused request.
fn refusal(refused: Rejection) -> Problem {
    let message = match refused.reason {
        Reason::InFlight => "the team has reached its limit of requests in progress",
        Reason::Rate => "the team exceeds its limit of requests per second",
        Reason::Full => "too many requests are queued to be served in time",
        Reason::Late => "the request could not be started in time",
    };
    Problem::new(Code::Busy, message).retry(refused.retry_after)
}
