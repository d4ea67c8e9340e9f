//! Settings, events and actions of the resume decisions.

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

/// Settings of one answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Whether the engine supports continuation (`continue_from`).
    pub continues: bool,
    /// Whether tokens are streamed to the caller; otherwise the whole answer is sent at its end.
    pub streamed: bool,
    /// Whether the caller can reconnect to the answer, which requires a request key.
    pub resumable: bool,
    /// Settings of the silence between tokens after which an engine is suspected.
    pub suspicion: threshold::Settings,
    /// Gaps between tokens observed by the entry in this pool.
    pub pool: threshold::Gaps,
    /// Silence before a first token, from placement on, after which an engine is suspected.
    pub first_token_timeout: Duration,
    /// Time at which the answer is abandoned.
    pub deadline: Clock,
    /// Maximum number of epochs of one answer, not counting those of wrong suspicions.
    pub max_epochs: u32,
    /// Number of consecutive refusals after which the answer is abandoned or pauses.
    pub max_refusals: u32,
    /// Time for which an answer that has run keeps asking replicas that refuse.
    pub refusal_timeout: Duration,
    /// Number of redials without a token in between after which the epoch counts as lost.
    pub max_attaches: u32,
    /// Delay before the second consecutive dial; doubles with each further one.
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

/// Input of the resume decisions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A new request; no pointer names a generation of it.
    Begin {
        /// The index after the caller's `Last-Event-ID`, or 0. Above 0 the answer restarts, as the
        /// caller's text can't be verified without a digest: see [`Event::Return`].
        from: Index,
    },
    /// The caller reconnected; no pointer names a generation of its request.
    Return {
        /// Position of the caller.
        position: Position,
    },
    /// A request arrived, and a pointer names a running generation of it.
    Found {
        /// The running epoch, to be attached to.
        epoch: Epoch,
        /// The server that runs it.
        server: Server,
        /// Position of the caller; the default is the start.
        position: Position,
    },
    /// The epoch's generation was sent to a replica.
    Placed {
        /// The epoch.
        epoch: Epoch,
        /// The replica.
        server: Server,
    },
    /// No replica of the version is available.
    NoPlace {
        /// The epoch.
        epoch: Epoch,
        /// Time until a replica may be available.
        retry_after: Duration,
    },
    /// The replica refused the generation without running it.
    Refused {
        /// The epoch.
        epoch: Epoch,
        /// Time until the replica may have capacity.
        retry_after: Duration,
    },
    /// The retry budget is exhausted for a [`Cause::Suspicion`].
    Denied {
        /// The epoch that was not started.
        epoch: Epoch,
    },
    /// Tokens arrived.
    Tokens {
        /// The epoch.
        epoch: Epoch,
        /// Index of the first token.
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
        /// How the generation ended.
        finish: Finish,
    },
    /// The link closed, its heartbeats stopped, or a dial failed.
    LinkLost {
        /// The epoch.
        epoch: Epoch,
    },
    /// A new link reads from the requested index.
    Attached {
        /// The epoch.
        epoch: Epoch,
    },
    /// The sidecar doesn't know the generation, or no longer holds the requested index.
    AttachMissed {
        /// The epoch.
        epoch: Epoch,
    },
    /// The platform's host list or a sidecar reports that the server's host is gone.
    HostGone {
        /// The server.
        server: Server,
    },
    /// The caller closed its connection.
    CallerGone,
    /// The time of [`super::Resume::next_wake`] has been reached.
    Tick,
    /// As [`Event::Tick`], and the entry was paused since the last event. What the engines sent
    /// meanwhile may be unread.
    Paused {
        /// Length of the pause.
        duration: Duration,
    },
}

/// Reason for starting an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// The answer starts.
    First,
    /// The previous epoch is known to be lost.
    Loss,
    /// The previous epoch is silent but may continue. Draws from the retry budget; if that is
    /// empty, the driver responds with [`Event::Denied`].
    Suspicion,
}

/// Output for the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Start a new generation on a replica of the pinned version.
    Start {
        /// The epoch.
        epoch: Epoch,
        /// Number of tokens to continue from: all delivered or kept ones.
        continue_from: Index,
        /// Servers to use only as a last resort.
        avoid: Vec<Server>,
        /// The reason.
        cause: Cause,
    },
    /// Dial a new link to the epoch's sidecar and read from an index.
    Attach {
        /// The epoch.
        epoch: Epoch,
        /// The first index to read.
        from: Index,
    },
    /// Cancel the generation wherever it runs; tokens that still arrive from it are dropped.
    Cancel {
        /// The epoch.
        epoch: Epoch,
    },
    /// Store tokens for `continue_from`; the caller already has them.
    Keep {
        /// Index of the first token.
        index: Index,
        /// The tokens.
        tokens: Vec<String>,
    },
    /// Store tokens for `continue_from` and send them to the caller.
    Deliver {
        /// Index of the first token.
        index: Index,
        /// The tokens.
        tokens: Vec<String>,
    },
    /// Restart the answer at index 0. A streaming caller must discard the text that it has, and
    /// receives the first `kept` of the stored tokens; the remaining ones are dropped.
    Restart {
        /// Number of stored tokens that remain valid.
        kept: Index,
    },
    /// The answer is complete.
    Finish(Finish),
    /// Interrupt the answer at once.
    Interrupt {
        /// The reason.
        reason: Interruption,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Reason for an incomplete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Interruption {
    /// No replica of the version is available.
    NoReplica,
    /// All replicas that were asked refused.
    Refused,
    /// Tokens were delivered, the epoch is lost, and the engine doesn't support continuation.
    NotContinuable,
    /// The answer reached its maximum number of epochs.
    TooManyEpochs,
    /// The deadline passed.
    Deadline,
}
