//! State of an epoch that the entry follows.

use names::{
    Clock,
    Epoch,
    Index,
    Server, //
};

/// Connection state of an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum State {
    /// The driver is choosing a replica.
    Placing,
    /// The epoch runs and a link reads it.
    Running,
    /// The link is lost; the next dial is due at this time.
    Waiting(Clock),
    /// A new link is being dialled.
    Dialling,
}

/// Epoch that the entry follows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) epoch: Epoch,
    pub(super) server: Option<Server>,
    pub(super) state: State,
    /// Number of tokens that the epoch continues from.
    pub(super) base: Index,
    /// Time of placement or of the last new token.
    pub(super) last_token_at: Clock,
    /// Whether the epoch has produced a token.
    pub(super) has_token: bool,
    /// Dials since the last new token.
    pub(super) dials: u32,
    /// Whether the epoch was redialled because of its silence.
    pub(super) probed: bool,
    /// Whether the server was reported as gone.
    pub(super) suspected: bool,
}

impl Attempt {
    pub(super) fn new(epoch: Epoch, base: Index, now: Clock) -> Attempt {
        Attempt {
            epoch,
            server: None,
            state: State::Placing,
            base,
            last_token_at: now,
            has_token: false,
            dials: 0,
            probed: false,
            suspected: false,
        }
    }

    /// Records a new token or the end.
    pub(super) fn record_token(&mut self, now: Clock) {
        self.last_token_at = now;
        self.has_token = true;
        self.dials = 0;
        self.probed = false;
        self.suspected = false;
        self.state = State::Running;
    }
}
