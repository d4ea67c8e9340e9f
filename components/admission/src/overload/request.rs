//! Requests and the decisions on them.

use std::time::Duration;

use names::{
    Clock,
    Route,
    Team, //
};

use super::Ticket;

/// End of a request that was sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was answered after this time.
    Answered(Duration),
    /// The server rejected it, as its queue was full.
    Rejected,
    /// Anything that says nothing about the server's load.
    Other,
}

/// Request that may be sent now, or later.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// The caller's team.
    pub team: &'a Team,
    /// Time that its caller states to have left.
    pub deadline: Option<Duration>,
    /// Priority rank; 0 is served first.
    pub rank: u8,
    /// Target time from the arrival to the answer.
    pub objective: Duration,
    /// Time of the arrival.
    pub at: Clock,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent now.
    Send,
    /// It waits for its turn; see [`super::Overload::poll`].
    Wait(Ticket),
    /// It can't be sent in time; the caller may return after this time.
    Refuse(Duration),
}
