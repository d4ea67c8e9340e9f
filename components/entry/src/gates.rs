//! Admission at this entry: gates for new work, and the budget of retries.

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
    Gates as Lines,
    Rejection, //
};
pub(crate) use gates::{
    Permit, //
    Request,
};
use tokio::time::Instant;

use crate::problem::{
    Code,
    Problem, //
};

pub(crate) mod driver;

/// Gates by service, and the budget of retries.
pub(crate) struct Gates {
    lines: Arc<Lines>,
    budget: Mutex<Budget>,
}

/// Time to the first token above which a request counts as late.
pub(crate) fn objective() -> Duration {
    Settings::default().first_token_target
}

/// Part of the concurrency that late first tokens may lower it to: what replicas report is old, and
/// late tokens show queues that no report does.
pub(crate) fn lowest() -> f64 {
    Settings::default().min_factor
}

impl Gates {
    pub(crate) fn new(origin: Instant) -> Gates {
        Gates {
            lines: Lines::new(origin),
            budget: Mutex::default(),
        }
    }

    /// Lets a request in, at once or after a wait; or says at once why not and when to come back.
    pub(crate) async fn admit(&self, request: Request<'_>) -> Result<Permit, Problem> {
        let pass = self.lines.admit(request).await.map_err(refusal)?;
        self.budget.lock().expect("no panic while held").request();
        Ok(pass)
    }

    /// Draws a retry from the budget.
    pub(crate) fn retry(&self) -> bool {
        self.budget.lock().expect("no panic while held").retry()
    }

    /// Draws the continuation of an answer from the budget.
    pub(crate) fn resume(&self) {
        self.budget.lock().expect("no panic while held").resume();
    }

    /// Gives the gates what is known of each service's replicas.
    fn report(&self, of: impl Fn(&str) -> Option<Report>) {
        self.lines.report(|service, _| of(service));
    }

    /// Looks at the requests that wait.
    fn tick(&self) {
        self.lines.tick();
    }
}

fn refusal(refused: Rejection) -> Problem {
    let message = match refused.reason {
        Reason::InFlight => "the team has as many requests in progress as it may",
        Reason::Rate => "the team sends more requests a second than it may",
        Reason::Full => "there are more requests than can be served in time",
        Reason::Late => "the request could not be begun in time",
    };
    Problem::new(Code::Busy, message).retry(refused.retry_after)
}
