//! Sends of one request to backend servers that the entry reaches without a sidecar.
//!
//! Such a server states explicitly that it did not run a request that it declines. An entry
//! therefore needs no record to run a call at most once: it sends the call to one server, and to
//! another one only if the first declined it or no byte of the call left. The outcome that the
//! caller receives follows from the same information.

use crate::attempt::Class;

/// Maximum number of sends of one request that did not reach their server: unsent or misdirected.
/// Each costs a round trip or a timeout.
const MAX_NOT_REACHED: u32 = 8;

/// Result of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// The server responded; the caller receives this response.
    Answered,
    /// The server ran the request and responded with an error of its own.
    Failed,
    /// The server declined the request and stated that it did not run it.
    Declined,
    /// The intended server no longer exists; another one at its address declined the request.
    Misdirected,
    /// No byte of the request left the entry.
    Unsent,
    /// The request may have run, but no usable response arrived.
    Lost,
}

/// Next step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Return the server's response to the caller; the last one if there were several.
    Answer,
    /// Send the request to another server.
    Send,
    /// Report to the caller that the request did not run and will not.
    NotRun,
    /// Report to the caller that the request may have run.
    Unknown,
}

/// Tracks the sends of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sends {
    class: Class,
    /// Maximum number of servers that the request may reach.
    max_servers: u32,
    reached: u32,
    not_reached: u32,
    may_have_run: bool,
    failed: bool,
}

impl Sends {
    /// Creates the tracker of a request that may reach up to `max_servers` servers; at least one.
    pub fn new(class: Class, max_servers: u32) -> Sends {
        Sends {
            class,
            max_servers: max_servers.max(1),
            reached: 0,
            not_reached: 0,
            may_have_run: false,
            failed: false,
        }
    }

    /// Returns whether the request may have run on any server.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns how many more servers the request may reach.
    pub fn remaining(&self) -> u32 {
        self.max_servers.saturating_sub(self.reached)
    }

    /// Records the result of a send and returns the next step.
    pub fn record(&mut self, ending: Ending) -> Step {
        match ending {
            Ending::Answered => return Step::Answer,
            Ending::Failed => {
                self.reached += 1;
                self.may_have_run = true;
                self.failed = true;
            }
            Ending::Lost => {
                self.reached += 1;
                self.may_have_run = true;
            }
            Ending::Declined => self.reached += 1,
            Ending::Misdirected | Ending::Unsent => self.not_reached += 1,
        }
        let repeatable = !self.may_have_run || self.class == Class::Repeatable;
        if repeatable && self.reached < self.max_servers && self.not_reached < MAX_NOT_REACHED {
            return Step::Send;
        }
        self.final_step()
    }

    /// Returns the final step when no further send is possible or the deadline has passed.
    pub fn final_step(&self) -> Step {
        match (self.failed, self.may_have_run) {
            (true, _) => Step::Answer,
            (false, true) => Step::Unknown,
            (false, false) => Step::NotRun,
        }
    }
}
