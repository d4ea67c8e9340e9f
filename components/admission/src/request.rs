//! Requests to a gate and its decisions.

use std::time::Duration;

use names::Team;

use crate::Limit;

/// Identifier of a queued request.
pub type Ticket = u64;

/// A request that arrives at a gate.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Team of the request.
    pub team: &'a Team,
    /// Limits of the team in this process.
    pub limit: Limit,
    /// Expected work, in tokens or any other unit that all requests share; 0 counts as 1. For a
    /// continuation, the remaining work.
    pub cost: u64,
    /// Maximum wait with which the target for the first output can still be met.
    pub max_wait: Duration,
    /// Time since the caller's first attempt.
    pub waited: Duration,
    /// Whether the request continues an answer that has begun.
    pub resume: bool,
}

/// Decision on an arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may run; [`crate::Gate::finish`] must follow.
    Admit,
    /// The request waits until [`crate::Gate::tick`] releases the ticket, or
    /// [`crate::Gate::cancel`] is called.
    Queue(Ticket),
    /// The request is refused and was not run.
    Refuse {
        /// Reason of the refusal.
        reason: Reason,
        /// Delay after which to retry.
        retry_after: Duration,
    },
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The team is at its limit of requests in flight.
    InFlight,
    /// The team is over its rate limit.
    Rate,
    /// The request could not be served in time.
    Full,
    /// The request reached its maximum wait.
    Late,
}

/// Decision on a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Released {
    /// The request may run; [`crate::Gate::finish`] must follow.
    Admit(Ticket),
    /// The request is refused and was not run.
    Refuse {
        /// Ticket of the request.
        ticket: Ticket,
        /// Reason of the refusal.
        reason: Reason,
        /// Delay after which to retry.
        retry_after: Duration,
    },
}

/// Sum of the reports of the replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Runs that the usable replicas can execute at full speed.
    pub capacity: u32,
    /// Runs in progress or queued, of all processes, with the current number of this process's own
    /// runs.
    pub load: u32,
    /// Number of processes that share the capacity.
    pub processes: u32,
}

/// A finished request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    /// Priority with which it was admitted.
    pub priority: u8,
    /// Cost with which it was admitted.
    pub cost: u64,
    /// Actual work; the share of the team is corrected by the difference.
    pub used: u64,
    /// Time from admission to the end.
    pub time: Duration,
    /// Time from arrival to the first token or byte; `None` if there was none.
    pub first_output: Option<Duration>,
}
