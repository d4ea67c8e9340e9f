//! What is asked of a gate and what it answers.

use std::time::Duration;

use names::Team;

use crate::Limit;

/// Number of a request that waits.
pub type Ticket = u64;

/// A request that wants to go on.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its team.
    pub team: &'a Team,
    /// The team's limits at this entry.
    pub limit: Limit,
    /// Expected work, in tokens or any other unit that all requests share; 0 counts as 1. For a
    /// continuation, what is left of it.
    pub cost: u64,
    /// Longest wait with which the first-token target can still be met.
    pub max_wait: Duration,
    /// Continues an answer that has begun.
    pub resume: bool,
}

/// What becomes of an arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on; [`crate::Gate::finish`] must follow.
    Admit,
    /// It waits until [`crate::Gate::tick`] releases the ticket, or [`crate::Gate::cancel`] is called.
    Queue(Ticket),
    /// It is refused, and was not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The team has as many requests in flight as it may.
    InFlight,
    /// The team is over its rate.
    Rate,
    /// It could not be served in time.
    Full,
    /// It waited as long as it could.
    Late,
}

/// What becomes of a request that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Released {
    /// It goes on; [`crate::Gate::finish`] must follow.
    Admit(Ticket),
    /// It is refused, and was not run.
    Refuse {
        /// Which.
        ticket: Ticket,
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// What replicas report, taken together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Runs at full speed, of the replicas that can be used.
    pub capacity: u32,
    /// Runs in progress or waiting, of all entries, with this entry's own as of now.
    pub load: u32,
    /// Entries that share the capacity.
    pub entries: u32,
}

/// A request that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    /// The priority that it was admitted with.
    pub priority: u8,
    /// The cost that it was admitted with.
    pub cost: u64,
    /// The work that it was; the team's share is corrected by the difference.
    pub used: u64,
    /// From admission to the end.
    pub time: Duration,
    /// From arrival to the first token; `None` when there was none.
    pub first_token: Option<Duration>,
}
