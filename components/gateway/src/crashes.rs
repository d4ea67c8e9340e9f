//! Runs whose servers may have crashed.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc, //
};

use contract::poison::evidence::Stage;
use names::{
    Clock,
    Server, //
};
use tokio::sync::Notify;

use crate::{
    call::Call,
    clock,
    fleet::Target,
    trials::Ticket, //
};

/// Maximum number of abandoned runs that aren't watched yet, and of those that are.
const MAX_ABANDONED: usize = 128;
const MAX_WATCHED_ABANDONED: usize = 1024;

/// Why a server counts as crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// Its port refuses connections.
    Refused,
    /// Its registration states another start, or another server has its address.
    Restarted,
    /// Its registration is gone, and it doesn't answer.
    Unregistered,
}

impl Sign {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Sign::Refused => "refused",
            Sign::Restarted => "restarted",
            Sign::Unregistered => "unregistered",
        }
    }
}

/// Run that was lost, or isn't answered, before it survived.
pub struct Loss {
    /// Whether only the silence of the server tells of it.
    pub is_silent: bool,
    pub call: Call,
    pub stage: Stage,
    pub sent_at: Clock,
    pub at: Clock,
    /// Ticket of a request that runs beside no other, until it is known whether the server answers.
    pub ticket: Option<Rc<Ticket>>,
}

impl Loss {
    /// Creates the loss of a run whose server was last `heard` at a time. The server ended later than
    /// that and than the send; only if it was heard after the send, or just before, does its end say
    /// anything about the request.
    pub fn silent(run: OpenRun, heard: Option<Clock>) -> Loss {
        let heard = heard.unwrap_or_default();
        Loss {
            is_silent: true,
            call: run.call.without_body(),
            stage: run.stage,
            sent_at: run.sent_at.min(heard),
            at: run.sent_at.max(heard),
            ticket: run.ticket,
        }
    }

    /// Returns the milliseconds from the send of the request to its loss.
    pub fn run_ms(&self) -> u32 {
        let time = self.at.saturating_sub(self.sent_at);
        u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
    }
}

/// Run that its server hasn't answered, or not completely.
#[derive(Clone)]
pub struct OpenRun {
    pub call: Call,
    pub target: Target,
    pub stage: Stage,
    pub sent_at: Clock,
    pub ticket: Option<Rc<Ticket>>,
}

/// Losses that may turn out to be crashes, by server.
#[derive(Default)]
pub struct Crashes {
    pub watched: RefCell<HashMap<Server, Vec<Watched>>>,
    /// Unanswered runs of requests that were given up.
    pub abandoned: RefCell<Vec<OpenRun>>,
    pub notify: Notify,
    /// Number of abandoned runs that are watched.
    watched_abandoned: Cell<usize>,
}

/// Place among the abandoned runs that are watched, until it is dropped.
pub struct Place(Rc<Crashes>);

impl Drop for Place {
    fn drop(&mut self) {
        let watched = &self.0.watched_abandoned;
        watched.set(watched.get() - 1);
    }
}

/// A run that its server hasn't answered. Dropped while it is open, it is watched on.
pub struct Unanswered {
    crashes: Rc<Crashes>,
    pub run: OpenRun,
    is_open: bool,
    /// When the server was last checked for its silence, or the run was sent, and how often it was.
    checked: Cell<(Clock, u32)>,
}

impl Unanswered {
    /// Creates the record of a run that is sent now.
    pub fn new(crashes: &Rc<Crashes>, run: OpenRun) -> Unanswered {
        Unanswered {
            crashes: crashes.clone(),
            checked: Cell::new((run.sent_at, 0)),
            run,
            is_open: true,
        }
    }

    /// Returns whether the run is neither answered nor watched.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Returns when the server was last checked for its silence, and how often.
    pub fn checked(&self) -> (Clock, u32) {
        self.checked.get()
    }

    /// Records that the server is checked for its silence.
    pub fn record_check(&self) {
        let (_, checks) = self.checked.get();
        self.checked.set((clock::now(), checks.saturating_add(1)));
    }

    /// Records that the run is answered, or not sent, or that its loss is watched.
    pub fn close(&mut self) {
        self.is_open = false;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.is_open {
            self.crashes.abandon(OpenRun {
                call: self.run.call.without_body(),
                ..self.run.clone()
            });
        }
    }
}

/// A loss whose server is watched.
pub struct Watched {
    pub loss: Loss,
    /// Whether peers were told that the server is silent.
    pub is_reported: bool,
}

impl Crashes {
    /// Returns whether there are losses at a server that aren't decided.
    pub fn has_losses(&self, target: &Target) -> bool {
        let watched = self.watched.borrow();
        let losses = watched.get(&target.server);
        losses.is_some_and(|losses| !losses.is_empty())
    }

    /// Takes a place among the abandoned runs that are watched; `None` if there is none.
    pub fn watch_abandoned(self: &Rc<Self>) -> Option<Place> {
        let watched = self.watched_abandoned.get();
        if watched >= MAX_WATCHED_ABANDONED {
            return None;
        }
        self.watched_abandoned.set(watched + 1);
        Some(Place(self.clone()))
    }

    /// Takes over the watch of an unanswered run whose request is given up.
    fn abandon(&self, run: OpenRun) {
        let mut abandoned = self.abandoned.borrow_mut();
        if abandoned.len() < MAX_ABANDONED {
            abandoned.push(run);
            self.notify.notify_one();
        }
    }
}
