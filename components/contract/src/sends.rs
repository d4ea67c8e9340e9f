//! Sends of one request to backend servers that the entry reaches itself.
//!
//! Such a server says of each request that it declines that it didn't run it. So an entry needs no
//! record to keep a call at most once: it sends the call to one server, and to another one only
//! when the first has said so or no byte of the call has left. What a caller is told follows from
//! the same facts.

use crate::attempt::Class;

/// Sends of which no byte left, after which a request is refused: each takes a round trip, or a
/// time-out.
const UNSENT: u32 = 8;

/// What came of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// An answer of the server that the caller gets.
    Answered,
    /// The server ran it and answered with a failure of its own.
    Failed,
    /// The server declined and says that it didn't run it.
    Declined,
    /// The server that was meant is over; another one at its address declined.
    Misdirected,
    /// No byte left.
    Unsent,
    /// It may have run; no usable answer came.
    Lost,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The caller gets the server's answer, the last one when there were several.
    Answer,
    /// It is sent to another server.
    Send,
    /// The caller is told that it hasn't run and won't.
    NotRun,
    /// The caller is told that it may have run.
    Unknown,
}

/// Sends of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sends {
    class: Class,
    /// Servers that it may reach.
    most: u32,
    reached: u32,
    unsent: u32,
    ran: bool,
    failed: bool,
}

impl Sends {
    /// A request of a class that may reach `most` servers.
    pub fn new(class: Class, most: u32) -> Sends {
        Sends {
            class,
            most: most.max(1),
            reached: 0,
            unsent: 0,
            ran: false,
            failed: false,
        }
    }

    /// Whether it may have run somewhere.
    pub fn may_have_run(&self) -> bool {
        self.ran
    }

    /// Servers that it may still reach.
    pub fn remaining(&self) -> u32 {
        self.most.saturating_sub(self.reached)
    }

    /// Takes the ending of a send.
    pub fn record(&mut self, ending: Ending) -> Verdict {
        match ending {
            Ending::Answered => return Verdict::Answer,
            Ending::Failed => {
                self.reached += 1;
                self.ran = true;
                self.failed = true;
            }
            Ending::Lost => {
                self.reached += 1;
                self.ran = true;
            }
            Ending::Declined => self.reached += 1,
            Ending::Misdirected | Ending::Unsent => self.unsent += 1,
        }
        let repeatable = !self.ran || self.class == Class::Repeatable;
        if repeatable && self.reached < self.most && self.unsent < UNSENT {
            return Verdict::Send;
        }
        self.give_up()
    }

    /// What the caller is told when nothing more can be tried, or its time is over.
    pub fn give_up(&self) -> Verdict {
        match (self.failed, self.ran) {
            (true, _) => Verdict::Answer,
            (false, true) => Verdict::Unknown,
            (false, false) => Verdict::NotRun,
        }
    }
}
