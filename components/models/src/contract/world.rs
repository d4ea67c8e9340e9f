//! The state of the model and its steps.

use contract::{
    attempt,
    forwarder::{
        self,
        Forwarder,
        Reply, //
    },
    record::{
        Response,
        State, //
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
    Step,
    Twin,
    actors::{
        Frame,
        Hand,
        Op,
        Request,
        Service,
        Told,
        goes_to, //
    },
    store::LIMIT, //
};

/// Entries, sidecars, and requests with the same key, one at each entry.
pub(super) const NODES: usize = 2;

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub(super) twin: Twin,
    pub(super) faults: u32,
    pub(super) revision: Revision,
    pub(super) stored: Option<Stored>,
    pub(super) late: Vec<Op>,
    pub(super) requests: Vec<Request>,
    pub(super) hands: Vec<Hand>,
    /// Sends that each sidecar has begun.
    pub(super) seen: Vec<Seen>,
    /// Entries whose call was handed over, one a time.
    pub(super) handed: Vec<usize>,
}

impl World {
    /// The state before anything happened.
    pub fn new(twin: Twin, faults: u32) -> Self {
        let requests = (0..NODES).map(|entry| Request::new(entry as Nonce));
        Self {
            twin,
            faults,
            revision: 0,
            stored: None,
            late: Vec::new(),
            requests: requests.collect(),
            hands: Vec::new(),
            seen: vec![Seen::new(8); NODES],
            handed: Vec::new(),
        }
    }

    /// The invariant that the state breaks.
    pub fn broken(&self) -> Option<&'static str> {
        if self.handed.len() > 1 {
            return Some("at most one hand-over per key");
        }
        for (entry, request) in self.requests.iter().enumerate() {
            if request.told == Some(Told::NotRun) && self.handed.contains(&entry) {
                return Some("not_run implies no hand-over ever");
            }
            if request.told == Some(Told::Ran) && self.handed.is_empty() {
                return Some("ran implies a hand-over");
            }
        }
        None
    }

    pub(super) fn after(&self, step: Step) -> Self {
        let mut world = self.clone();
        world.take(step);
        world.forget();
        world
    }

    /// Drops what can't matter any more, which keeps the space small: hand-overs that are over, and
    /// delayed writes whose revision has passed.
    fn forget(&mut self) {
        self.hands
            .retain(|hand| !hand.machine.done() || hand.op.is_some());
        let revision = self.stored.as_ref().map_or(0, |stored| stored.revision);
        let compares = self.twin != Twin::NoCompare;
        self.late
            .retain(|op| !compares || op.expect() == Some(revision));
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Request(entry) => {
                self.requests[entry].begun = true;
                self.entry(
                    entry,
                    attempt::Event::Start {
                        store_available: true,
                    },
                );
            }
            Step::Frame(entry) => self.frame(entry),
            Step::FrameTwice(entry) => {
                self.faults -= 1;
                self.requests[entry].frames[0].copies += 1;
                self.frame(entry);
            }
            Step::Unsent(entry) => {
                self.faults -= 1;
                self.requests[entry].frames.pop();
                self.entry(entry, attempt::Event::Unsent);
            }
            Step::Reply(entry) => {
                let (_, reply) = self.requests[entry].replies.remove(0);
                self.entry(entry, attempt::Event::Replied(reply));
            }
            Step::Silent(entry) => self.silent(entry),
            Step::EntryStore(entry, fate) => self.entry_store(entry, fate),
            Step::SidecarStore(hand, fate) => self.sidecar_store(hand, fate),
            Step::LateWrite(late) => {
                let op = self.late.remove(late);
                self.effect(&op);
            }
            Step::ServiceRefuses(hand) => {
                self.faults -= 1;
                self.hands[hand].service = Service::Untouched;
                self.hand(hand, forwarder::Event::Unreachable, Clock::ZERO);
            }
            Step::ServiceTakes(hand) => {
                self.hands[hand].service = Service::Running;
                let entry = self.hands[hand].entry;
                self.handed.push(entry);
            }
            Step::ServiceAnswers(hand) => {
                self.hands[hand].service = Service::Untouched;
                self.hand(hand, forwarder::Event::Answered(response()), Clock::ZERO);
            }
            Step::ServiceBreaks(hand) => {
                self.faults -= 1;
                self.hands[hand].service = Service::Untouched;
                let event = match self.twin {
                    Twin::BrokenIsRefused => forwarder::Event::Unreachable,
                    _ => forwarder::Event::ConnectionLost,
                };
                self.hand(hand, event, Clock::ZERO);
            }
            Step::Waited(hand) => {
                self.hands[hand].waits = false;
                self.hand(hand, forwarder::Event::TimerFired, Clock::ZERO);
            }
            Step::Gone(hand) => {
                self.hands[hand].gone = true;
                self.hand(hand, forwarder::Event::EntryGone, Clock::ZERO);
            }
            Step::EntryDies(entry) => self.entry_dies(entry),
            Step::SidecarDies(sidecar) => self.sidecar_dies(sidecar),
        }
    }

    fn silent(&mut self, entry: usize) {
        let request = &mut self.requests[entry];
        match self.twin {
            Twin::NoProof => {
                request.waits = false;
                request.told = Some(Told::NotRun);
            }
            Twin::SendsAgain if request.sends < 2 => {
                request.sends += 1;
                let base = self.stored.as_ref().map_or(0, |stored| stored.revision);
                request.frames.push(Frame::new(request.sends, base));
            }
            _ => self.entry(
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
        request.waits = false;
        request.replies.clear();
        if let Some(op) = request.op.take() {
            self.delay(op);
        }
    }

    /// A frame to a dead process is lost: connections end with the process.
    fn sidecar_dies(&mut self, sidecar: usize) {
        self.faults -= 1;
        self.seen[sidecar] = Seen::new(8);
        for (entry, request) in self.requests.iter_mut().enumerate() {
            request
                .frames
                .retain(|frame| goes_to(entry, frame.send) != sidecar);
        }
        for hand in std::mem::take(&mut self.hands) {
            if hand.sidecar() != sidecar {
                self.hands.push(hand);
                continue;
            }
            if let Some(op) = hand.op {
                self.delay(op);
            }
        }
    }

    /// Delivers a frame: the sidecar begins a hand-over with a number of its own.
    fn frame(&mut self, entry: usize) {
        let frames = &mut self.requests[entry].frames;
        let frame = frames[0].clone();
        if frame.copies > 1 {
            frames[0].copies -= 1;
            frames[0].arrived = true;
        } else {
            frames.remove(0);
        }
        let copy = match self.twin {
            Twin::NonceFromFrame => 0,
            _ => Nonce::from(frame.copies),
        };
        let number = 100 + 10 * entry as Nonce + 3 * Nonce::from(frame.send);
        let new = self.seen[goes_to(entry, frame.send)].insert(number);
        let begins_copies = matches!(self.twin, Twin::CopyBegins | Twin::NonceFromFrame);
        if !new && !begins_copies {
            return;
        }
        let nonce = number + copy;
        self.begin(entry, frame.send, frame.base, nonce);
    }

    fn begin(&mut self, entry: usize, send: u32, base: Revision, nonce: Nonce) {
        let call = forwarder::Call {
            base_revision: base,
            digest: String::new(),
            server: String::new(),
            nonce,
            status_path: String::new(),
        };
        let settings = forwarder::Settings {
            start_timeout: LIMIT,
            max_write_attempts: 2,
            ..forwarder::Settings::default()
        };
        self.hands.push(Hand {
            machine: Forwarder::new(call, settings),
            entry,
            send,
            op: None,
            service: Service::Untouched,
            waits: false,
            gone: false,
        });
        self.hand(
            self.hands.len() - 1,
            forwarder::Event::Requested,
            Clock::ZERO,
        );
    }

    pub(super) fn entry(&mut self, entry: usize, event: attempt::Event) {
        let request = &mut self.requests[entry];
        for action in request.machine.handle(event) {
            request.act(action);
        }
    }

    pub(super) fn hand(&mut self, index: usize, event: forwarder::Event, now: Clock) {
        let actions = self.hands[index].machine.handle(event, now);
        for action in actions {
            let hand = &mut self.hands[index];
            match action {
                forwarder::Action::Create { expect, record } => {
                    hand.op = Some(Op::Create { expect, record });
                }
                forwarder::Action::Write { expect, record } => {
                    hand.op = Some(Op::Write { expect, record });
                }
                forwarder::Action::ReadBack => hand.op = Some(Op::Read),
                forwarder::Action::Forward => hand.service = Service::Asked,
                forwarder::Action::Wait(_) => hand.waits = true,
                forwarder::Action::Reply(reply) => self.reply(index, reply),
            }
        }
    }

    fn reply(&mut self, index: usize, reply: Reply) {
        let (entry, send) = (self.hands[index].entry, self.hands[index].send);
        if self.twin == Twin::SidecarGoesOn
            && send < 2
            && let Reply::Conflict(Some(standing)) = &reply
            && matches!(standing.record.state, State::Void { .. })
        {
            let nonce = 200 + entry as Nonce;
            self.begin(entry, 2, standing.revision, nonce);
            return;
        }
        let request = &mut self.requests[entry];
        if request.waits && request.sends == send {
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
