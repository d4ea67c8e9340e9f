//! State of the model, and the effects of its steps.

use contract::{
    attempt,
    forwarder::{
        self,
        Forwarder,
        Reply, //
    },
    record::{
        Response,
        State as RecordState, //
    },
    seen::Seen,
    store::Stored, //
};
use names::{
    Clock,
    Nonce,
    Revision, //
};

use super::{
    Mutation,
    Step,
    actors::{
        Forwarding,
        Frame,
        Op,
        Report,
        Request,
        Service,
        target_sidecar, //
    },
    store::START_TIMEOUT, //
};

/// Number of entries, of sidecars, and of requests with the same key, one at each entry.
pub(super) const NODE_COUNT: usize = 2;

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) mutation: Mutation,
    pub(super) faults: u32,
    pub(super) revision: Revision,
    pub(super) stored: Option<Stored>,
    pub(super) delayed_writes: Vec<Op>,
    pub(super) requests: Vec<Request>,
    pub(super) forwardings: Vec<Forwarding>,
    /// Sends that each sidecar has started to forward.
    pub(super) seen: Vec<Seen>,
    /// The entry of each call that a service received, in order.
    pub(super) forwarded: Vec<usize>,
}

impl State {
    /// Returns the initial state.
    pub fn new(mutation: Mutation, faults: u32) -> Self {
        let requests = (0..NODE_COUNT).map(|entry| Request::new(entry as Nonce));
        Self {
            mutation,
            faults,
            revision: 0,
            stored: None,
            delayed_writes: Vec::new(),
            requests: requests.collect(),
            forwardings: Vec::new(),
            seen: vec![Seen::new(8); NODE_COUNT],
            forwarded: Vec::new(),
        }
    }

    /// Returns the invariant that the state violates.
    pub fn violated_invariant(&self) -> Option<&'static str> {
        if self.forwarded.len() > 1 {
            return Some("at most one forwarded call per key");
        }
        for (entry, request) in self.requests.iter().enumerate() {
            if request.reported == Some(Report::NotRun) && self.forwarded.contains(&entry) {
                return Some("not_run implies that the call is never forwarded");
            }
            if request.reported == Some(Report::Ran) && self.forwarded.is_empty() {
                return Some("ran implies a forwarded call");
            }
        }
        None
    }

    pub(super) fn successor(&self, step: Step) -> Self {
        let mut state = self.clone();
        state.apply(step);
        state.prune();
        state
    }

    /// Removes what can have no further effect, which keeps the state space small: finished
    /// forwarders, and delayed writes whose expected revision has been replaced.
    fn prune(&mut self) {
        self.forwardings
            .retain(|forwarding| !forwarding.machine.done() || forwarding.op.is_some());
        let revision = self.stored.as_ref().map_or(0, |stored| stored.revision);
        let compares = self.mutation != Mutation::NoCompare;
        self.delayed_writes
            .retain(|op| !compares || op.expect() == Some(revision));
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Request(entry) => {
                self.requests[entry].started = true;
                self.handle_at_entry(
                    entry,
                    attempt::Event::Start {
                        store_available: true,
                    },
                );
            }
            Step::Frame(entry) => self.deliver_frame(entry),
            Step::FrameTwice(entry) => {
                self.faults -= 1;
                self.requests[entry].frames[0].copies += 1;
                self.deliver_frame(entry);
            }
            Step::Unsent(entry) => {
                self.faults -= 1;
                self.requests[entry].frames.pop();
                self.handle_at_entry(entry, attempt::Event::Unsent);
            }
            Step::Reply(entry) => {
                let (_, reply) = self.requests[entry].replies.remove(0);
                self.handle_at_entry(entry, attempt::Event::Replied(reply));
            }
            Step::Silent(entry) => self.time_out_sidecar(entry),
            Step::EntryStore(entry, completion) => self.finish_entry_call(entry, completion),
            Step::SidecarStore(forwarding, completion) => {
                self.finish_sidecar_call(forwarding, completion)
            }
            Step::LateWrite(write) => {
                let op = self.delayed_writes.remove(write);
                self.execute(&op);
            }
            Step::ServiceRefuses(forwarding) => {
                self.faults -= 1;
                self.forwardings[forwarding].service = Service::Idle;
                self.handle_at_sidecar(forwarding, forwarder::Event::Unreachable, Clock::ZERO);
            }
            Step::ServiceTakes(forwarding) => {
                self.forwardings[forwarding].service = Service::Running;
                let entry = self.forwardings[forwarding].entry;
                self.forwarded.push(entry);
            }
            Step::ServiceAnswers(forwarding) => {
                self.forwardings[forwarding].service = Service::Idle;
                self.handle_at_sidecar(
                    forwarding,
                    forwarder::Event::Answered(response()),
                    Clock::ZERO,
                );
            }
            Step::ServiceBreaks(forwarding) => {
                self.faults -= 1;
                self.forwardings[forwarding].service = Service::Idle;
                let event = match self.mutation {
                    Mutation::BrokenIsRefused => forwarder::Event::Unreachable,
                    _ => forwarder::Event::ConnectionLost,
                };
                self.handle_at_sidecar(forwarding, event, Clock::ZERO);
            }
            Step::Waited(forwarding) => {
                self.forwardings[forwarding].waiting = false;
                self.handle_at_sidecar(forwarding, forwarder::Event::TimerFired, Clock::ZERO);
            }
            Step::Gone(forwarding) => {
                self.forwardings[forwarding].entry_gone = true;
                self.handle_at_sidecar(forwarding, forwarder::Event::EntryGone, Clock::ZERO);
            }
            Step::EntryDies(entry) => self.entry_dies(entry),
            Step::SidecarDies(sidecar) => self.sidecar_dies(sidecar),
        }
    }

    fn time_out_sidecar(&mut self, entry: usize) {
        let request = &mut self.requests[entry];
        match self.mutation {
            Mutation::NoProof => {
                request.waiting = false;
                request.reported = Some(Report::NotRun);
            }
            Mutation::SendsAgain if request.sends < 2 => {
                request.sends += 1;
                let base = self.stored.as_ref().map_or(0, |stored| stored.revision);
                request.frames.push(Frame::new(request.sends, base));
            }
            _ => self.handle_at_entry(
                entry,
                attempt::Event::TimedOut {
                    retry_allowed: false,
                },
            ),
        }
    }

    fn entry_dies(&mut self, entry: usize) {
        self.faults -= 1;
        let request = &mut self.requests[entry];
        request.alive = false;
        request.waiting = false;
        request.replies.clear();
        if let Some(op) = request.op.take() {
            self.delay_write(op);
        }
    }

    /// Frames to a dead process are lost, since connections end with the process.
    fn sidecar_dies(&mut self, sidecar: usize) {
        self.faults -= 1;
        self.seen[sidecar] = Seen::new(8);
        for (entry, request) in self.requests.iter_mut().enumerate() {
            request
                .frames
                .retain(|frame| target_sidecar(entry, frame.send) != sidecar);
        }
        for forwarding in std::mem::take(&mut self.forwardings) {
            if forwarding.sidecar() != sidecar {
                self.forwardings.push(forwarding);
                continue;
            }
            if let Some(op) = forwarding.op {
                self.delay_write(op);
            }
        }
    }

    /// Delivers a frame. The sidecar starts to forward the call with its own nonce.
    fn deliver_frame(&mut self, entry: usize) {
        let frames = &mut self.requests[entry].frames;
        let frame = frames[0].clone();
        if frame.copies > 1 {
            frames[0].copies -= 1;
            frames[0].arrived = true;
        } else {
            frames.remove(0);
        }
        let copy = match self.mutation {
            Mutation::NonceFromFrame => 0,
            _ => Nonce::from(frame.copies),
        };
        let number = 100 + 10 * entry as Nonce + 3 * Nonce::from(frame.send);
        let new = self.seen[target_sidecar(entry, frame.send)].insert(number);
        let starts_twice = matches!(
            self.mutation,
            Mutation::CopyBegins | Mutation::NonceFromFrame
        );
        if !new && !starts_twice {
            return;
        }
        let nonce = number + copy;
        self.start_forwarding(entry, frame.send, frame.base, nonce);
    }

    fn start_forwarding(&mut self, entry: usize, send: u32, base: Revision, nonce: Nonce) {
        let call = forwarder::Call {
            base_revision: base,
            digest: String::new(),
            server: String::new(),
            nonce,
            status_path: String::new(),
        };
        let settings = forwarder::Settings {
            start_timeout: START_TIMEOUT,
            max_write_attempts: 2,
            ..forwarder::Settings::default()
        };
        self.forwardings.push(Forwarding {
            machine: Forwarder::new(call, settings),
            entry,
            send,
            op: None,
            service: Service::Idle,
            waiting: false,
            entry_gone: false,
        });
        self.handle_at_sidecar(
            self.forwardings.len() - 1,
            forwarder::Event::Requested,
            Clock::ZERO,
        );
    }

    pub(super) fn handle_at_entry(&mut self, entry: usize, event: attempt::Event) {
        let request = &mut self.requests[entry];
        for action in request.machine.handle(event) {
            request.perform(action);
        }
    }

    pub(super) fn handle_at_sidecar(&mut self, index: usize, event: forwarder::Event, now: Clock) {
        let actions = self.forwardings[index].machine.handle(event, now);
        for action in actions {
            let forwarding = &mut self.forwardings[index];
            match action {
                forwarder::Action::Create { expect, record } => {
                    forwarding.op = Some(Op::Create { expect, record });
                }
                forwarder::Action::Write { expect, record } => {
                    forwarding.op = Some(Op::Write { expect, record });
                }
                forwarder::Action::ReadBack => forwarding.op = Some(Op::Read),
                forwarder::Action::Forward => forwarding.service = Service::Requested,
                forwarder::Action::Wait(_) => forwarding.waiting = true,
                forwarder::Action::Reply(reply) => self.send_reply(index, reply),
            }
        }
    }

    fn send_reply(&mut self, index: usize, reply: Reply) {
        let (entry, send) = (self.forwardings[index].entry, self.forwardings[index].send);
        if self.mutation == Mutation::SidecarGoesOn
            && send < 2
            && let Reply::Conflict(Some(stored)) = &reply
            && matches!(stored.record.state, RecordState::Void { .. })
        {
            let nonce = 200 + entry as Nonce;
            self.start_forwarding(entry, 2, stored.revision, nonce);
            return;
        }
        let request = &mut self.requests[entry];
        if request.waiting && request.sends == send {
            request.replies.push((send, reply));
        }
    }
}

fn response() -> Response {
    Response {
        status: 201,
        content_type: String::new(),
        body: Vec::new(),
    }
}
