//! The requests at their entries and the forwarding of their calls at the sidecars.

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

use super::state::NODE_COUNT;

/// Outcome that a caller received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Report {
    /// The request did not run.
    NotRun,
    /// The request ran.
    Ran,
    /// The outcome is unknown.
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
    pub(super) started: bool,
    pub(super) alive: bool,
    pub(super) sends: u32,
    pub(super) waiting: bool,
    pub(super) frames: Vec<Frame>,
    pub(super) replies: Vec<(u32, Reply)>,
    pub(super) op: Option<Op>,
    pub(super) reported: Option<Report>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Service {
    Idle,
    Requested,
    Running,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Forwarding {
    pub(super) machine: Forwarder,
    pub(super) entry: usize,
    pub(super) send: u32,
    pub(super) op: Option<Op>,
    pub(super) service: Service,
    pub(super) waiting: bool,
    pub(super) entry_gone: bool,
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
            started: false,
            alive: true,
            sends: 0,
            waiting: false,
            frames: Vec::new(),
            replies: Vec::new(),
            op: None,
            reported: None,
        }
    }

    pub(super) fn perform(&mut self, action: attempt::Action) {
        self.waiting = false;
        self.replies.clear();
        match action {
            attempt::Action::Send { base_revision } => {
                self.waiting = true;
                self.sends += 1;
                self.frames.push(Frame::new(self.sends, base_revision));
            }
            attempt::Action::Void { expect, record } => {
                self.op = Some(Op::Write { expect, record })
            }
            attempt::Action::ReadBack => self.op = Some(Op::Read),
            attempt::Action::Reply(outcome) => {
                self.reported = Some(match outcome {
                    Outcome::NotRun { .. } => Report::NotRun,
                    Outcome::Ran { .. } => Report::Ran,
                    Outcome::Unknown { .. } => Report::Unknown,
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

impl Forwarding {
    pub(super) fn sidecar(&self) -> usize {
        target_sidecar(self.entry, self.send)
    }
}

/// Returns the sidecar of a send. Consecutive sends of a request alternate between the sidecars.
pub(super) fn target_sidecar(entry: usize, send: u32) -> usize {
    (entry + send as usize) % NODE_COUNT
}
