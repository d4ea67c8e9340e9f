//! Requests in progress, and how far each of them is.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use names::{
    Route,
    Server,
    Version, //
};
use tokio::time::Instant;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its body may be incomplete.
    Receiving,
    /// It waits to be sent to a server.
    Waiting,
    /// It was sent to a server, and may have run.
    Sent,
    /// The head of its response was returned.
    Answering,
    /// Its whole response was returned, and isn't written yet.
    Writing,
}

impl Stage {
    /// All stages.
    pub const ALL: [Stage; 5] = [
        Stage::Receiving,
        Stage::Waiting,
        Stage::Sent,
        Stage::Answering,
        Stage::Writing,
    ];

    /// Returns the name of the stage, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Receiving => "receiving",
            Stage::Waiting => "waiting",
            Stage::Sent => "sent",
            Stage::Answering => "answering",
            Stage::Writing => "writing",
        }
    }
}

/// What backend servers do with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Work {
    /// No server has it.
    #[default]
    None,
    /// It was sent to a server, which hasn't answered it completely.
    Sent,
    /// Its response is complete here.
    Complete,
}

impl Work {
    /// Returns the name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Work::None => "none",
            Work::Sent => "sent",
            Work::Complete => "complete",
        }
    }
}

/// Who closes the connection of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Closer {
    /// The caller, or the network.
    #[default]
    Caller,
    /// This process, as the connection is idle.
    Idle,
    /// This process, as others need the room.
    Room,
    /// This process, as the response can't be completed.
    Response,
    /// The exit of this process.
    Exit,
}

impl Closer {
    /// Returns the name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Closer::Caller => "caller",
            Closer::Idle => "idle",
            Closer::Room => "room",
            Closer::Response => "response",
            Closer::Exit => "exit",
        }
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct Running {
    /// Time at which the head of the request arrived.
    pub arrived: Instant,
    id: RefCell<String>,
    route: RefCell<Option<Route>>,
    stage: Cell<Stage>,
    server: RefCell<Option<Server>>,
    work: Cell<Work>,
    /// When its server was last heard, or the request was sent to it.
    heard: Cell<Option<Instant>>,
    /// Who closes the connection that it came on.
    closer: Rc<Cell<Closer>>,
    is_cut_off: Cell<bool>,
    bad_versions: RefCell<Vec<Version>>,
}

impl Running {
    /// Sets the id of the request, once its head is parsed.
    pub fn set_id(&self, id: &str) {
        *self.id.borrow_mut() = id.to_string();
    }

    /// Records that the request is complete and matched a route.
    pub fn received(&self, route: &Route) {
        *self.route.borrow_mut() = Some(route.clone());
        self.stage.set(Stage::Waiting);
    }

    /// Records that the request is being sent to a server.
    pub fn sent(&self, server: &Server) {
        *self.server.borrow_mut() = Some(server.clone());
        self.work.set(Work::Sent);
        self.heard();
        // A stream that goes on at another server has an answer that began.
        if self.stage.get() != Stage::Answering {
            self.stage.set(Stage::Sent);
        }
    }

    /// Records that the head of the response was returned.
    pub fn answering(&self) {
        self.stage.set(Stage::Answering);
    }

    /// Records that the whole response was returned, and isn't written yet.
    pub fn writing(&self) {
        self.stage.set(Stage::Writing);
    }

    /// Records that its server sent something.
    pub fn heard(&self) {
        self.heard.set(Some(Instant::now()));
    }

    /// Records that no server has the request any more.
    pub fn left(&self) {
        self.work.set(Work::None);
    }

    /// Records that the response is complete here.
    pub fn complete(&self) {
        self.work.set(Work::Complete);
    }

    /// Returns what servers do with the request.
    pub fn work(&self) -> Work {
        self.work.get()
    }

    /// Returns the time since its server was last heard.
    pub fn silence(&self) -> Option<Duration> {
        Some(self.heard.get()?.elapsed())
    }

    /// Returns who closes the connection of the request.
    pub fn closer(&self) -> Closer {
        self.closer.get()
    }

    /// Records that the request gets its final response because the process exits.
    pub fn cut_off(&self) {
        self.is_cut_off.set(true);
    }

    /// Records that a version failed the request or answered it late, and returns whether that is
    /// the first such result of the version.
    pub fn is_first_bad_result(&self, version: &Version) -> bool {
        let mut versions = self.bad_versions.borrow_mut();
        if versions.contains(version) {
            return false;
        }
        versions.push(version.clone());
        true
    }

    /// Returns whether the request gets its final response because the process exits.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off.get()
    }

    /// Returns how far the request is.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Returns the id of the request; empty while it isn't known.
    pub fn id(&self) -> String {
        self.id.borrow().clone()
    }

    /// Returns the route, if the request is complete.
    pub fn route(&self) -> Option<Route> {
        self.route.borrow().clone()
    }

    /// Returns the server to which the request was last sent.
    pub fn server(&self) -> Option<Server> {
        self.server.borrow().clone()
    }
}

/// The requests in progress, in the order in which they arrived.
#[derive(Debug, Default)]
pub struct Requests {
    by_number: RefCell<BTreeMap<u64, Rc<Running>>>,
    last_number: Cell<u64>,
}

impl Requests {
    /// Adds a request, which is in progress until the guard is dropped. `closer` tells who closes its
    /// connection.
    pub fn begin(self: &Rc<Self>, closer: Rc<Cell<Closer>>) -> Guard {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let progress = Rc::new(Running {
            arrived: Instant::now(),
            id: RefCell::default(),
            route: RefCell::default(),
            stage: Cell::new(Stage::Receiving),
            server: RefCell::default(),
            work: Cell::default(),
            heard: Cell::default(),
            closer,
            is_cut_off: Cell::new(false),
            bad_versions: RefCell::default(),
        });
        self.by_number.borrow_mut().insert(number, progress.clone());
        Guard {
            requests: self.clone(),
            number,
            progress,
        }
    }

    /// Returns the requests in progress.
    pub fn all(&self) -> Vec<Rc<Running>> {
        self.by_number.borrow().values().cloned().collect()
    }

    /// Returns the number of requests in progress.
    pub fn count(&self) -> usize {
        self.by_number.borrow().len()
    }

    /// Returns the number of requests in progress that are at a stage.
    pub fn count_at(&self, stage: Stage) -> usize {
        let requests = self.by_number.borrow();
        requests
            .values()
            .filter(|request| request.stage() == stage)
            .count()
    }
}

/// Keeps a request in progress until it is dropped.
pub struct Guard {
    requests: Rc<Requests>,
    number: u64,
    /// The request.
    pub progress: Rc<Running>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.requests.by_number.borrow_mut().remove(&self.number);
    }
}
