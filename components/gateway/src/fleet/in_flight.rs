//! Counts work in flight at backend servers.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use names::Server;
use routing::{
    Outcome,
    placement::{
        Work,
        speed::Pace, //
    }, //
};

use crate::{
    clock,
    fleet::Fleet, //
};

/// Counts work at a server until it is dropped, and reports its outcome then.
pub struct InFlight {
    fleet: Rc<RefCell<Fleet>>,
    server: Server,
    work: Work,
    /// Prompt tokens that the server had to process when the work was sent, including those of this
    /// request.
    unread_tokens: u64,
    /// Tokens beyond the prompt, if the server had to process a prompt.
    output_tokens: Option<u64>,
    pace: Pace,
    outcome: Outcome,
}

impl InFlight {
    /// Counts work that is about to be sent.
    pub fn new(fleet: &Rc<RefCell<Fleet>>, server: &Server, work: Work) -> InFlight {
        let mut inner = fleet.borrow_mut();
        inner.placement.sent(clock::now(), server, work);
        inner.mark_changed(server);
        let unread_tokens = inner.placement.queued_prefill_tokens(server);
        drop(inner);
        InFlight {
            fleet: fleet.clone(),
            server: server.clone(),
            work,
            unread_tokens,
            output_tokens: (work.prefill_tokens > 0)
                .then(|| work.tokens.saturating_sub(work.prefill_tokens)),
            pace: Pace::default(),
            outcome: Outcome::Cancelled,
        }
    }

    /// Records that the prompt was processed within `time`.
    pub fn prompt_processed(&mut self, time: Duration) {
        let prefill_tokens = std::mem::take(&mut self.work.prefill_tokens);
        let mut fleet = self.fleet.borrow_mut();
        fleet.mark_changed(&self.server);
        fleet.placement.record_prefill(
            clock::now(),
            &self.server,
            prefill_tokens,
            self.unread_tokens,
            time,
        );
    }

    /// Records events of the answer that arrived together.
    pub fn events_received(&mut self, events: u32) {
        let now = clock::now();
        let placement = &mut self.fleet.borrow_mut().placement;
        let alone = placement.queued_prefill_tokens(&self.server) == 0;
        if let Some(time) = self.pace.record(now, events, alone) {
            placement.record_step(now, &self.server, time);
        }
    }

    /// Records that the answer is whole and had this number of events.
    pub fn events_complete(&self, events: u64) {
        if let Some(tokens) = self.output_tokens {
            let placement = &mut self.fleet.borrow_mut().placement;
            placement.record_events(&self.server, events, tokens);
        }
    }

    /// Sets the outcome; it defaults to cancelled.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.mark_changed(&self.server);
        let placement = &mut fleet.placement;
        placement.done(clock::now(), &self.server, self.work, self.outcome);
    }
}
