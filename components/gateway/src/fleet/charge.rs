//! Work at backend servers, counted while it lasts.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use names::Server;
use routing::{
    Outcome,
    placement::Work, //
};

use crate::{
    clock,
    fleet::Fleet, //
};

/// Work at a server, counted until it is dropped.
pub struct Charge {
    fleet: Rc<RefCell<Fleet>>,
    server: Server,
    work: Work,
    /// Tokens of prompts that were to be read at the server when the work was sent, its own too.
    ahead: u64,
    outcome: Outcome,
}

impl Charge {
    /// Counts work that is about to be sent.
    pub fn new(fleet: &Rc<RefCell<Fleet>>, server: &Server, work: Work) -> Charge {
        let mut inner = fleet.borrow_mut();
        inner.placement.sent(clock::now(), server, work);
        inner.mark_changed(server);
        let ahead = inner.placement.unread_tokens(server);
        drop(inner);
        Charge {
            fleet: fleet.clone(),
            server: server.clone(),
            work,
            ahead,
            outcome: Outcome::Cancelled,
        }
    }

    /// Notes that the prompt was read, a time after it was sent.
    pub fn read(&mut self, time: Duration) {
        let unread = std::mem::take(&mut self.work.unread);
        let mut fleet = self.fleet.borrow_mut();
        fleet.mark_changed(&self.server);
        fleet
            .placement
            .record_read(clock::now(), &self.server, unread, self.ahead, time);
    }

    /// Notes how it ended; without this it counts as cancelled.
    pub fn end(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.mark_changed(&self.server);
        let placement = &mut fleet.placement;
        placement.done(clock::now(), &self.server, self.work, self.outcome);
    }
}
