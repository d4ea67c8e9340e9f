//! Connections as the account sees them, and the bounds on what they hold.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{
    requests::Closer,
    settings::Limits, //
};

/// Memory that a connection takes beside the body of its request, in bytes: its task, its buffers, and
/// what the kernel has received for it.
pub const CONNECTION_BYTES: usize = 48 * 1024;

/// Memory that a request takes beside its body until it ends, in bytes: its task, and its connection to a
/// server.
pub const REQUEST_BYTES: usize = 40 * 1024;

/// Share of the account that long bodies may take, so that they don't keep out all other requests.
const LONG_SHARE: f64 = 0.85;

/// Maximum size of a short body, in bytes.
pub const MAX_SHORT_BYTES: usize = 64 * 1024;

/// Time over which the progress of a connection is measured, and the bytes in it below which it is slow.
const PROGRESS_TIME: Duration = Duration::from_millis(500);
const MIN_PROGRESS_BYTES: usize = 8 * 1024;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It has no request, or the head of one is incomplete.
    Idle,
    /// The body of its request is incomplete.
    Body,
    /// Its next request is held back, as its caller hadn't read a refusal.
    HeldBack,
    /// Its request is complete.
    Active,
    /// Its request has its response; the rest of the body is read.
    Discarding,
}

impl Stage {
    /// Returns the name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Idle => "idle",
            Stage::Body => "body",
            Stage::HeldBack => "held_back",
            Stage::Active => "response",
            Stage::Discarding => "discarded",
        }
    }
}

/// State of a connection, by which it is chosen to yield.
#[derive(Debug)]
pub struct Holder {
    pub id: u64,
    pub stage: Cell<Stage>,
    /// Bytes that it holds.
    pub bytes: Cell<usize>,
    /// Whether its caller doesn't take what is written.
    pub is_blocked: Cell<bool>,
    /// When its request began.
    pub began: Cell<Instant>,
    /// When it last made progress that isn't slow.
    pub progressed: Cell<Instant>,
    /// Beginning of the current span of measurement, and bytes in it and in the one before.
    span: Cell<(Instant, usize, usize)>,
    /// Bytes that it releases, once it was told to yield.
    pub releases: Cell<usize>,
    /// Cancelled when the body of its request is given up.
    pub refused: RefCell<CancellationToken>,
    /// Cancelled when it is closed.
    pub closed: CancellationToken,
    /// Who closes it.
    pub closer: Rc<Cell<Closer>>,
    /// Until when the caller waits for the answer to its request.
    pub until: Cell<Option<Instant>>,
}

impl Holder {
    /// Creates the state of a connection that was opened now.
    pub fn new(id: u64) -> Holder {
        let now = Instant::now();
        Holder {
            id,
            stage: Cell::new(Stage::Idle),
            bytes: Cell::default(),
            is_blocked: Cell::default(),
            began: Cell::new(now),
            progressed: Cell::new(now),
            span: Cell::new((now, 0, 0)),
            releases: Cell::default(),
            refused: RefCell::default(),
            closed: CancellationToken::new(),
            closer: Rc::default(),
            until: Cell::default(),
        }
    }

    /// Returns whether it can yield.
    pub fn yields(&self) -> bool {
        let can_yield = match self.stage.get() {
            Stage::Active => self.is_blocked.get(),
            Stage::Idle | Stage::Body | Stage::HeldBack | Stage::Discarding => true,
        };
        can_yield && !self.closed.is_cancelled() && !self.is_refused()
    }

    fn is_refused(&self) -> bool {
        self.stage.get() == Stage::Body && self.refused.borrow().is_cancelled()
    }

    /// Returns whether its body is long.
    pub fn is_long(&self) -> bool {
        self.bytes.get() > CONNECTION_BYTES + REQUEST_BYTES + MAX_SHORT_BYTES
    }

    /// Returns whether it has made no progress lately, or doesn't read what it is sent.
    pub fn is_slow(&self, now: Instant) -> bool {
        self.stage.get() == Stage::HeldBack
            || now.saturating_duration_since(self.progressed.get()) >= PROGRESS_TIME
    }

    /// Records that bytes were received, or taken by the caller.
    pub fn record_progress(&self, bytes: usize) {
        let now = Instant::now();
        let (since, current, previous) = self.span.get();
        let elapsed = now.saturating_duration_since(since);
        let (since, current, previous) = match elapsed {
            elapsed if elapsed < PROGRESS_TIME => (since, current + bytes, previous),
            elapsed if elapsed < 2 * PROGRESS_TIME => (since + PROGRESS_TIME, bytes, current),
            _ => (now, bytes, 0),
        };
        self.span.set((since, current, previous));
        if current + previous >= MIN_PROGRESS_BYTES {
            self.progressed.set(now);
        }
    }

    /// Sets what it does.
    pub fn set_stage(&self, stage: Stage) {
        let now = Instant::now();
        match stage {
            Stage::Body => {
                self.began.set(now);
                self.progressed.set(now);
                self.refused.replace(CancellationToken::new());
            }
            Stage::Idle | Stage::Active => self.progressed.set(now),
            Stage::HeldBack | Stage::Discarding => {}
        }
        self.stage.set(stage);
    }
}

/// Bound on what is held, in bytes.
#[derive(Clone, Copy, Debug)]
pub enum Bound {
    /// Of all connections together.
    All(usize),
    /// Of the long bodies among it.
    Long(usize),
}

impl Bound {
    /// Returns the bound on a body of a length, beside that on everything.
    pub fn of_body(limits: &Limits, length: usize) -> Bound {
        match length <= MAX_SHORT_BYTES {
            true => Bound::All(limits.memory),
            false => Bound::Long((limits.memory as f64 * LONG_SHARE) as usize),
        }
    }

    /// Returns the bound in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Bound::All(bytes) | Bound::Long(bytes) => *bytes,
        }
    }

    /// Returns whether what a connection holds counts for it.
    pub fn concerns(&self, holder: &Holder) -> bool {
        match self {
            Bound::All(_) => true,
            Bound::Long(_) => holder.is_long(),
        }
    }
}
