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
    Gates as ServiceGates,
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
    service_gates: Arc<ServiceGates>,
    budget: Mutex<Budget>,
}

/// Returns the time to the first token above which a request counts as late.
pub(crate) fn first_token_objective() -> Duration {
    Settings::default().first_output_target
}

/// Returns the lowest factor by which late first tokens may reduce the concurrency below the
/// reported capacity. The reports of replicas are old, and late tokens reveal queues that no
/// report shows.
pub(crate) fn min_concurrency_factor() -> f64 {
    Settings::default().min_concurrency_factor
}

impl Gates {
    /// Creates the gates; `origin` is the origin of their clock readings.
    pub(crate) fn new(origin: Instant) -> Gates {
        Gates {
            service_gates: ServiceGates::new(origin),
            budget: Mutex::default(),
        }
    }

    /// Admits a request, immediately or after it has queued.
    ///
    /// # Errors
    ///
    /// Returns a [`Code::Busy`] problem with the time after which to retry.
    pub(crate) async fn admit(&self, request: Request<'_>) -> Result<Permit, Problem> {
        let permit = self.service_gates.admit(request).await.map_err(refusal)?;
        self.budget.lock().expect("no panic while held").request();
        Ok(permit)
    }

    /// Takes a retry from the budget; returns `false` if it is used up.
    pub(crate) fn take_retry(&self) -> bool {
        self.budget.lock().expect("no panic while held").retry()
    }

    /// Takes the resume of an answer from the budget. A resume is never denied.
    pub(crate) fn take_resume(&self) {
        self.budget.lock().expect("no panic while held").resume();
    }

    /// Updates the gates with the load of each service's replicas.
    fn report(&self, load: impl Fn(&str) -> Option<Report>) {
        self.service_gates
            .report(|service, _| Some((load(service)?, gates::Order::default())));
    }

    /// Admits queued requests, and rejects those that have waited too long.
    fn tick(&self) {
        self.service_gates.tick();
    }
}

/// Returns the problem for a rejected request.
fn refusal(rejection: Rejection) -> Problem {
    let message = match rejection.reason {
        Reason::InFlight => "the team has as many requests in progress as it may",
        Reason::Rate => "the team sends more requests a second than it may",
        Reason::Full => "there are more requests than can be served in time",
        Reason::Late => "the request could not be begun in time",
    };
    Problem::new(Code::Busy, message).retry(rejection.retry_after)
}
