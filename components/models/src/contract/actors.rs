//! The requests at their entries and the hand-overs at their sidecars.

use contract::{
    Outcome,
    Record,
    attempt::{
        self,
        Attempt,
        Class, //
    },
    forwarder::{
        Forwarder,
        Reply, //
    }, //
};
use names::{
    Nonce,
    Revision, //
};

use super::world::NODES;

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    /// The request was not run.
    NotRun,
    /// It ran.
    Ran,
    /// Nobody can say.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Op {
    Create { expect: Revision, record: Record },
    Write { expect: Revision, record: Record },
    Read,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Frame {
    pub(super) send: u32,
    pub(super) base: Revision,
    pub(super) copies: u32,
    pub(super) arrived: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Request {
    pub(super) machine: Attempt,
    pub(super) begun: bool,
    pub(super) alive: bool,
    pub(super) sends: u32,
    pub(super) waits: bool,
    pub(super) frames: Vec<Frame>,
    pub(super) replies: Vec<(u32, Reply)>,
    pub(super) op: Option<Op>,
    pub(super) told: Option<Told>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Service {
    Untouched,
    Asked,
    Running,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Hand {
    pub(super) machine: Forwarder,
    pub(super) entry: usize,
    pub(super) send: u32,
    pub(super) op: Option<Op>,
    pub(super) service: Service,
    pub(super) waits: bool,
    pub(super) gone: bool,
}

impl Op {
    pub(super) fn expect(&self) -> Option<Revision> {
        match self {
            Self::Create { expect, .. } | Self::Write { expect, .. } => Some(*expect),
            Self::Read => None,
        }
    }
}

impl Request {
    pub(super) fn new(nonce: Nonce) -> Self {
        let call = attempt::Call {
            class: Class::Recorded,
            digest: String::new(),
            status_path: String::new(),
            nonce,
        };
        let settings = attempt::Settings {
            max_sends: 2,
            ..attempt::Settings::default()
        };
        Self {
            machine: Attempt::new(call, settings),
            begun: false,
            alive: true,
            sends: 0,
            waits: false,
            frames: Vec::new(),
            replies: Vec::new(),
            op: None,
            told: None,
        }
    }

    pub(super) fn act(&mut self, action: attempt::Action) {
        self.waits = false;
        self.replies.clear();
        match action {
            attempt::Action::Send { base_revision } => {
                self.waits = true;
                self.sends += 1;
                self.frames.push(Frame::new(self.sends, base_revision));
            }
            attempt::Action::Void { expect, record } => {
                self.op = Some(Op::Write { expect, record })
            }
            attempt::Action::ReadBack => self.op = Some(Op::Read),
            attempt::Action::Reply(outcome) => {
                self.told = Some(match outcome {
                    Outcome::NotRun { .. } => Told::NotRun,
                    Outcome::Ran { .. } => Told::Ran,
                    Outcome::Unknown { .. } => Told::Unknown,
                });
            }
        }
    }
}

impl Frame {
    pub(super) fn new(send: u32, base: Revision) -> Self {
        Self {
            send,
            base,
            copies: 1,
            arrived: false,
        }
    }
}

impl Hand {
    pub(super) fn sidecar(&self) -> usize {
        goes_to(self.entry, self.send)
    }
}

/// Each send of a request goes to the other sidecar.
pub(super) fn goes_to(entry: usize, send: u32) -> usize {
    (entry + send as usize) % NODES
}
