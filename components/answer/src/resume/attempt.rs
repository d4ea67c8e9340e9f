//! One epoch that the entry listens to.

use names::{
    Clock,
    Epoch,
    Index,
    Server, //
};

/// Where an epoch stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum State {
    /// The driver is looking for a replica.
    Asked,
    /// It runs and a link reads it.
    Running,
    /// Its link is lost; the next dial is due at this time.
    Waiting(Clock),
    /// A new link is being dialled.
    Dialling,
}

/// One epoch that is listened to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) epoch: Epoch,
    pub(super) server: Option<Server>,
    pub(super) state: State,
    /// Number of tokens that it went on from.
    pub(super) base: Index,
    /// Time of its placing or of its last fresh token.
    pub(super) heard: Clock,
    /// Whether it has given a token.
    pub(super) spoke: bool,
    /// Dials since its last fresh token.
    pub(super) dials: u32,
    /// Whether it was dialled anew because of its silence.
    pub(super) probed: bool,
    /// Whether a hint says that its server is gone.
    pub(super) suspect: bool,
}

impl Attempt {
    pub(super) fn new(epoch: Epoch, base: Index, now: Clock) -> Attempt {
        Attempt {
            epoch,
            server: None,
            state: State::Asked,
            base,
            heard: now,
            spoke: false,
            dials: 0,
            probed: false,
            suspect: false,
        }
    }

    /// Notes a fresh token or an end.
    pub(super) fn hear(&mut self, now: Clock) {
        self.heard = now;
        self.spoke = true;
        self.dials = 0;
        self.probed = false;
        self.suspect = false;
        self.state = State::Running;
    }
}
