//! What goes into and comes out of the resume decisions.

use std::time::Duration;

use names::{
    Clock,
    Epoch,
    Index,
    Server, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Finish,
    position::Position,
    threshold, //
};

/// Limits of one answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Whether the engine's contract has continuation (`continue_from`).
    pub continues: bool,
    /// Whether tokens go to the caller as they come; a whole answer goes at its end.
    pub streamed: bool,
    /// Whether the caller can come back for the answer: it named its request.
    pub resumable: bool,
    /// Bounds of the silence between tokens after which an engine is suspected.
    pub suspicion: threshold::Settings,
    /// Gaps between tokens that the entry has seen in this pool.
    pub pool: threshold::Gaps,
    /// Silence before a first token, from the placing on, after which an engine is suspected.
    pub first_token_timeout: Duration,
    /// Time at which the answer is given up.
    pub deadline: Clock,
    /// Epochs that one answer may start, without those of wrong suspicions.
    pub max_epochs: u32,
    /// Replicas that may refuse in a row before the answer is given up or pauses.
    pub max_refusals: u32,
    /// Longest time that an answer which has run goes on asking replicas that refuse.
    pub refusal_timeout: Duration,
    /// Times that a link is dialled anew without a token in between, until its epoch counts as lost.
    pub max_attaches: u32,
    /// Pause before the second dial in a row; it doubles with each further one.
    pub dial_pause: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            continues: true,
            streamed: true,
            resumable: true,
            suspicion: threshold::Settings::default(),
            pool: threshold::Gaps::default(),
            first_token_timeout: Duration::from_millis(2500),
            deadline: Clock::from_secs(3600),
            max_epochs: 8,
            max_refusals: 4,
            refusal_timeout: Duration::from_secs(20),
            max_attaches: 4,
            dial_pause: Duration::from_millis(100),
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The caller asked, and no pointer names a generation of its request.
    Begin {
        /// The index after the caller's `Last-Event-ID`, or 0. Above 0 the answer restarts, as
        /// without a digest nobody can tell what the caller has: see [`Event::Return`].
        from: Index,
    },
    /// The caller came back, and no pointer names a generation of its request.
    Return {
        /// What the caller has.
        position: Position,
    },
    /// The caller asked, and a pointer names a running generation.
    Found {
        /// The epoch that runs, to attach to.
        epoch: Epoch,
        /// Where it runs.
        server: Server,
        /// What the caller has; the default is nothing.
        position: Position,
    },
    /// The epoch's generation was handed to a replica.
    Placed {
        /// The epoch.
        epoch: Epoch,
        /// The replica.
        server: Server,
    },
    /// No replica of the version is to be had.
    NoPlace {
        /// The epoch.
        epoch: Epoch,
        /// When a replica may be there.
        retry_after: Duration,
    },
    /// The replica refused the generation; nothing was run.
    Refused {
        /// The epoch.
        epoch: Epoch,
        /// When it may have room.
        retry_after: Duration,
    },
    /// The retry budget has nothing left for a [`Cause::Suspicion`].
    Denied {
        /// The epoch that was not started.
        epoch: Epoch,
    },
    /// Tokens came.
    Tokens {
        /// The epoch.
        epoch: Epoch,
        /// Index of the first of them.
        index: Index,
        /// The tokens.
        tokens: Vec<String>,
    },
    /// The generation ended.
    End {
        /// The epoch.
        epoch: Epoch,
        /// Number of tokens of the whole answer.
        total: Index,
        /// How it ended.
        finish: Finish,
    },
    /// The link closed, or its heartbeats stopped, or a dial failed.
    LinkLost {
        /// The epoch.
        epoch: Epoch,
    },
    /// A new link reads on from the asked index.
    Attached {
        /// The epoch.
        epoch: Epoch,
    },
    /// The sidecar doesn't know the generation, or lacks the asked index.
    AttachMissed {
        /// The epoch.
        epoch: Epoch,
    },
    /// The platform's list or a sidecar says that the server's host is gone.
    HostGone {
        /// The server.
        server: Server,
    },
    /// The caller closed its connection.
    CallerGone,
    /// The time of [`super::Resume::next_wake`] has come.
    Tick,
}

/// Why an epoch starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// The answer begins.
    First,
    /// The epoch before it is lost for certain.
    Loss,
    /// The epoch before it is silent and may yet go on. Draws from the retry budget: when that is
    /// empty, answer [`Event::Denied`].
    Suspicion,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Hand a new generation to a replica of the pinned version.
    Start {
        /// Its epoch.
        epoch: Epoch,
        /// Number of tokens of the answer that it goes on from: all that were delivered or kept.
        continue_from: Index,
        /// Servers to choose only when there is no other.
        avoid: Vec<Server>,
        /// Why.
        cause: Cause,
    },
    /// Dial a new link to the epoch's sidecar and read from an index on.
    Attach {
        /// The epoch.
        epoch: Epoch,
        /// The first index to read.
        from: Index,
    },
    /// End the generation wherever it runs; tokens of it that still come are dropped.
    Cancel {
        /// The epoch.
        epoch: Epoch,
    },
    /// Keep tokens for `continue_from`; the caller has them already.
    Keep {
        /// Index of the first of them.
        index: Index,
        /// The tokens.
        tokens: Vec<String>,
    },
    /// Keep tokens for `continue_from` and give them to the caller.
    Deliver {
        /// Index of the first of them.
        index: Index,
        /// The tokens.
        tokens: Vec<String>,
    },
    /// The answer begins again at index 0. A streamed caller is told to drop what it has, and gets
    /// the first `kept` tokens of those that were kept; the others are dropped.
    Restart {
        /// Tokens that stay.
        kept: Index,
    },
    /// The answer is whole.
    Finish(Finish),
    /// The answer ends here, at once.
    Interrupt {
        /// Why.
        reason: Interruption,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Why an answer ended before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Interruption {
    /// No replica of the version is to be had.
    NoReplica,
    /// Every replica that was asked refused.
    Refused,
    /// Tokens were delivered, the epoch is lost, and the engine can't continue a text.
    NotContinuable,
    /// The answer used up its epochs.
    TooManyEpochs,
    /// The deadline passed.
    Deadline,
}
