//! Answers: the driver of the decisions in [`answer::resume`].

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        atomic::AtomicU32, //
    },
    time::Duration,
};

use answer::{
    Finish,
    mark::Mark,
    pointer::Pointer,
    resume::{
        Action,
        Event,
        Interruption,
        Resume,
        Settings, //
    },
};
use contract::poison::{
    self,
    Fingerprint, //
};
use environment::{
    Target,
    document::Release, //
};
use events::answers;
use moves::step::Ending;
use names::{
    Epoch,
    Index,
    Request,
    Team, //
};
use report::burn;
use routing::Prefix;
use tokio::{
    sync::mpsc,
    time::{
        Instant,
        sleep_until, //
    },
};
use tokio_util::sync::CancellationToken;
use wire::frame::{
    Point,
    Usage, //
};

use crate::{
    attempt::Attempt,
    burn::Meter,
    gates::Permit,
    moves::{
        Witness, //
        movers::Picked,
    },
    pointers,
    state::State,
};

mod epochs;

/// Events of an answer's epochs that wait for its driver.
const WAITING: usize = 64;

/// Pieces that wait for the caller's connection.
const AHEAD: usize = 256;

/// Wait for the pointer of a request that may be new.
const FIND: Duration = Duration::from_millis(100);

/// Wait for the pointer of a request whose caller came back.
const FIND_AGAIN: Duration = Duration::from_millis(500);

/// A request for an answer.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) request: Request,
    pub(crate) team: Team,
    pub(crate) target: Target,
    pub(crate) release: Release,
    /// The move that picked the version, if any.
    pub(crate) picked: Option<Picked>,
    pub(crate) continues: bool,
    pub(crate) model: String,
    pub(crate) prompt: String,
    /// Hash of the prompt's first bytes, as engines name what they have cached.
    pub(crate) prefix: Prefix,
    pub(crate) max_tokens: u64,
    pub(crate) seed: u64,
    pub(crate) temperature: u32,
    pub(crate) priority: u8,
    /// Tokens go to the caller as they come.
    pub(crate) streamed: bool,
    /// The caller named the request, so that it can come back for it.
    pub(crate) resumable: bool,
    /// What the caller has already.
    pub(crate) mark: Option<Mark>,
}

impl Ask {
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        poison::generation_fingerprint(&self.team, &self.target.service, &self.model, &self.prompt)
    }
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Piece {
    /// Further tokens, each with the mark after it.
    Tokens(Vec<(Mark, String)>),
    /// What was sent so far is void; these are the first tokens of the answer that counts.
    Restart(Vec<(Mark, String)>),
    /// The answer is whole.
    Finish(Finish, Usage),
    /// The answer ends here.
    Interrupt(Interruption, Duration),
}

/// Answers a request; the pieces come through the channel.
pub(crate) fn answer(state: Arc<State>, ask: Ask, pass: Arc<Permit>) -> mpsc::Receiver<Piece> {
    let (pieces, receiver) = mpsc::channel(AHEAD);
    tokio::spawn(drive(state, ask, pass, pieces));
    receiver
}

struct Driver {
    state: Arc<State>,
    ask: Ask,
    pass: Arc<Permit>,
    resume: Resume,
    attempts: HashMap<Epoch, Arc<Attempt>>,
    /// Every token of the answer so far, with the mark after it.
    kept: Vec<(Mark, String)>,
    events: mpsc::Sender<Event>,
    begun: Instant,
    /// The epoch that the holders were told of.
    pointed: Option<Epoch>,
    /// When the last tokens came, and from which epoch.
    last: Option<(Instant, Epoch)>,
    witness: Witness,
    meter: Meter,
    /// The answer went on with another epoch at least once.
    resumed: bool,
}

async fn drive(state: Arc<State>, ask: Ask, pass: Arc<Permit>, pieces: mpsc::Sender<Piece>) {
    let (events, mut incoming) = mpsc::channel(WAITING);
    let now = state.now();
    let settings = settings(&state, &ask, now);
    let mut driver = Driver {
        resume: Resume::new(settings, now),
        state,
        attempts: HashMap::new(),
        kept: Vec::new(),
        events,
        begun: Instant::now(),
        pointed: None,
        last: None,
        witness: Witness::new(ask.picked.clone()),
        meter: Meter::default(),
        resumed: false,
        ask,
        pass,
    };
    let first = driver.first().await;
    let mut given = driver.handle(first);
    let mut gone = false;
    loop {
        for piece in given {
            if pieces.send(piece).await.is_err() {
                break;
            }
        }
        if driver.resume.done() {
            return;
        }
        let wake = driver.resume.next_wake().map(|at| driver.state.origin + at);
        given = tokio::select! {
            // What came while this task didn't run goes before the clock. Else an entry that was
            // paused, or waited for a slow caller, would suspect an engine that has long answered.
            biased;
            Some(event) = incoming.recv() => driver.handle(event),
            () = pieces.closed(), if !gone => {
                gone = true;
                driver.handle(Event::CallerGone)
            }
            () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {
                driver.handle(Event::Tick)
            }
        };
    }
}

fn settings(state: &State, ask: &Ask, now: Duration) -> Settings {
    Settings {
        continues: ask.continues,
        streamed: ask.streamed,
        resumable: ask.resumable,
        pool: state.gaps.get(&ask.target.service, &ask.target.version),
        first: state.settings.times.first,
        deadline: now + state.settings.times.answer,
        most_epochs: state.settings.limits.epochs,
        ..Settings::default()
    }
}

impl Driver {
    /// The event that the answer begins with: a generation may run for this request already.
    async fn first(&mut self) -> Event {
        let mark = self.ask.mark;
        let begin = match mark {
            Some(mark) => Event::Return { mark },
            None => Event::Begin { from: 0 },
        };
        if !self.ask.resumable {
            return begin;
        }
        let limit = if mark.is_some() { FIND_AGAIN } else { FIND };
        let found = pointers::find(&self.state, &self.ask.request, limit).await;
        // Another version's text can't be continued on the pinned one.
        let version = &self.ask.target.version;
        let Some(found) = found.filter(|found| found.version == *version) else {
            return begin;
        };
        let peer = self.state.fleet.peer(&found.host);
        let sent = self.state.pool.send(&found.server, None, peer.counter());
        let attempt = Attempt {
            epoch: found.epoch,
            nonce: found.nonce,
            server: found.server.clone(),
            sent,
            peer,
            suspects: self.state.suspects.clone(),
            cancel: CancellationToken::new(),
            turn: AtomicU32::new(0),
            usage: Mutex::default(),
            refused: Mutex::default(),
        };
        self.attempts.insert(found.epoch, Arc::new(attempt));
        Event::Found {
            epoch: found.epoch,
            server: found.server,
            mark: mark.unwrap_or_default(),
        }
    }

    /// Tells the holders where the answer's generation runs.
    fn point(&mut self, epoch: Epoch) {
        if !self.ask.resumable || self.pointed == Some(epoch) {
            return;
        }
        let Some(attempt) = self.attempts.get(&epoch) else {
            return;
        };
        self.pointed = Some(epoch);
        let pointer = Pointer {
            host: attempt.peer.host.clone(),
            server: attempt.server.clone(),
            version: self.ask.target.version.clone(),
            epoch,
            nonce: attempt.nonce,
        };
        let request = self.ask.request.clone();
        pointers::tell(&self.state, Point { request, pointer });
    }

    /// Lets the decisions take an event, and carries out what they ask for.
    fn handle(&mut self, event: Event) -> Vec<Piece> {
        let mut pieces = Vec::new();
        let mut waiting = vec![event];
        while let Some(event) = waiting.pop() {
            let came = match &event {
                Event::Tokens { epoch, tokens, .. } => Some((*epoch, tokens.len() as Index)),
                _ => None,
            };
            if let Event::End {
                epoch,
                finish: Finish::Broken(why),
                ..
            } = &event
                && let Some(attempt) = self.attempts.get(epoch)
            {
                self.witness.broken(&self.state, &attempt.server, *why);
            }
            if let Event::Refused { epoch, .. } = &event
                && let Some(attempt) = self.attempts.get(epoch)
                && let Some(why) = *attempt.refused.lock().expect("no panic while held")
            {
                self.witness.refused(&self.state, why);
            }
            let before = self.resume.next();
            let mut actions = Vec::new();
            let now = self.state.now();
            self.resume.handle(now, event, &mut actions);
            if let Some((epoch, count)) = came {
                let fresh = self.resume.next() - before.min(self.resume.next());
                self.drop_tokens(epoch, count.saturating_sub(fresh));
                self.time(epoch, fresh);
                self.weigh(epoch, fresh);
            }
            for action in actions {
                if let Some(event) = self.act(action, &mut pieces) {
                    waiting.push(event);
                }
            }
        }
        let owner = self.resume.owner();
        if let Some(owner) = owner {
            self.point(owner);
        }
        // Lost epochs count as work at their peers no longer.
        let resume = &self.resume;
        self.attempts
            .retain(|epoch, _| resume.listens_to(*epoch) || owner == Some(*epoch));
        pieces
    }

    /// Counts tokens that the answer has already from another epoch: both decoded them. Tokens that
    /// one epoch's log gives twice were decoded once.
    fn drop_tokens(&self, epoch: Epoch, stale: Index) {
        if self.last.is_some_and(|(_, of)| of != epoch) {
            let now = self.state.now();
            let target = &self.ask.target;
            self.state.resumes.dropped(target, stale, now);
        }
    }

    /// Fresh tokens of an epoch speak for its server, and against those that it overtook.
    fn weigh(&self, epoch: Epoch, fresh: Index) {
        if fresh == 0 {
            return;
        }
        let now = self.state.now();
        for attempt in self.attempts.values() {
            if attempt.epoch == epoch {
                self.state.silent.spoke(&attempt.server);
            } else if attempt.epoch < epoch {
                self.state.silent.overtaken(now, &attempt.server);
            }
        }
    }

    /// Whether other answers show that every server that this one waits for is silent.
    fn evidence(&self) -> bool {
        let now = self.state.now();
        let mut servers = self.attempts.values().map(|attempt| &attempt.server);
        servers.all(|server| self.state.silent.is_silent(now, server))
    }

    /// Carries out one action; gives the event that follows at once, if any.
    fn act(&mut self, action: Action, pieces: &mut Vec<Piece>) -> Option<Event> {
        match action {
            Action::Start {
                epoch,
                avoid,
                cause,
                ..
            } => return self.start(epoch, &avoid, cause),
            Action::Attach { epoch, from } => self.attach(epoch, from),
            Action::Cancel { epoch } => {
                if let Some(attempt) = self.attempts.remove(&epoch) {
                    attempt.cancel.cancel();
                }
            }
            Action::Keep { tokens, .. } => {
                self.keep(tokens);
            }
            Action::Deliver { tokens, .. } => {
                let tokens = self.keep(tokens);
                pieces.push(Piece::Tokens(tokens));
            }
            Action::Restart { kept } => {
                self.kept.truncate(kept as usize);
                pieces.push(Piece::Restart(self.kept.clone()));
            }
            Action::Finish(finish) => {
                let usage = self.usage();
                let count = self.kept.len();
                self.witness.ended(&self.state, Ending::Whole, count);
                self.book(true, count);
                pieces.push(Piece::Finish(finish, usage));
            }
            Action::Interrupt {
                reason,
                retry_after,
            } => {
                events::emit!(
                    answers::INTERRUPTED,
                    "request={} reason={reason:?} tokens={}",
                    self.ask.request,
                    self.kept.len()
                );
                let ending = match reason {
                    Interruption::TooManyEpochs | Interruption::Deadline => Ending::Failed,
                    _ => Ending::Excused,
                };
                let count = self.kept.len();
                self.witness.ended(&self.state, ending, count);
                self.book(false, count);
                pieces.push(Piece::Interrupt(reason, retry_after));
            }
        }
        None
    }

    fn keep(&mut self, tokens: Vec<String>) -> Vec<(Mark, String)> {
        let mut mark = self.kept.last().map(|(mark, _)| *mark).unwrap_or_default();
        let from = self.kept.len();
        for token in tokens {
            mark.push(&token);
            self.kept.push((mark, token));
        }
        self.kept[from..].to_vec()
    }

    /// Learns from the time between tokens, and records it.
    fn time(&mut self, epoch: Epoch, fresh: Index) {
        if fresh == 0 {
            return;
        }
        self.pass.first();
        self.pass.used(fresh);
        let target = &self.ask.target;
        let now = Instant::now();
        match self.last {
            None => {
                let first = now - self.begun;
                metrics::histogram!(
                    "medlarhatch_first_token_seconds",
                    "service" => target.service.clone(),
                    "version" => target.version.clone()
                )
                .record(first);
            }
            Some((last, of)) => {
                let gap = now - last;
                if of != epoch {
                    metrics::histogram!("medlarhatch_resume_seconds").record(gap);
                    let at = self.state.now();
                    self.state.resumes.continued(target, gap, at);
                } else if fresh == 1 {
                    self.state.gaps.learn(&target.service, &target.version, gap);
                }
                metrics::histogram!(
                    "medlarhatch_token_gap_seconds",
                    "service" => target.service.clone(),
                    "version" => target.version.clone()
                )
                .record(gap / u32::try_from(fresh).unwrap_or(u32::MAX));
            }
        }
        self.last = Some((now, epoch));
        let count = self.kept.len() + fresh as usize;
        self.meter.tokens(self.begun);
        self.witness.tokens(&self.state, self.begun, count);
    }

    /// Counts the answer's end for the report on service-level burn.
    fn book(&self, whole: bool, count: usize) {
        let (first, between) = self.meter.times(count);
        let target = &self.ask.target;
        let request = burn::Request {
            service: &target.service,
            route: &target.route,
            team: &self.ask.team,
            version: &target.version,
            first,
            between,
            whole,
        };
        self.state.book.count(&request, self.state.now());
    }

    fn usage(&self) -> Usage {
        let owner = self
            .resume
            .owner()
            .and_then(|epoch| self.attempts.get(&epoch));
        let mut usage = owner
            .map(|attempt| *attempt.usage.lock().expect("no panic while held"))
            .unwrap_or_default();
        usage.completion = self.kept.len() as u64;
        usage
    }
}
