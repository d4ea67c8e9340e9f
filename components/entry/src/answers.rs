//! Answers completion requests: drives the decisions in [`answer::resume`].

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
    pointer::Pointer,
    position::Position,
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
    Clock,
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
    attempt::EpochHandle,
    burn::Timer,
    gates::Permit,
    moves::{
        Observer,
        movers::Assignment, //
    },
    pointers,
    state::State,
};

mod epochs;

/// Maximum number of events of its epochs that are queued for the driver of an answer.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Maximum number of chunks that are queued for the caller's connection.
const CHUNK_QUEUE_CAPACITY: usize = 256;

/// Timeout of the pointer lookup for a request that may be new.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of the pointer lookup for a request whose caller has received a part of the answer.
const RECONNECT_LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// A completion request.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    /// Identifier of the request.
    pub(crate) request: Request,
    pub(crate) team: Team,
    pub(crate) target: Target,
    pub(crate) release: Release,
    /// Assignment to a version by a move, if one applies.
    pub(crate) assignment: Option<Assignment>,
    /// Whether the engine can continue a given text.
    pub(crate) continues: bool,
    pub(crate) model: String,
    pub(crate) prompt: String,
    /// Hash of the prompt's first bytes, by which engines identify cached prompts.
    pub(crate) prefix: Prefix,
    pub(crate) max_tokens: u64,
    pub(crate) seed: u64,
    /// Sampling temperature in thousandths.
    pub(crate) temperature: u32,
    pub(crate) priority: u8,
    /// Whether the answer is streamed to the caller.
    pub(crate) streamed: bool,
    /// Whether the caller gave the request a key, by which it can resume the answer.
    pub(crate) resumable: bool,
    /// Position up to which the caller has received the answer.
    pub(crate) position: Option<Position>,
}

impl Query {
    /// Returns the fingerprint by which requests that crash servers are recognized.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        poison::generation_fingerprint(&self.team, &self.target.service, &self.model, &self.prompt)
    }
}

/// A chunk of an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Chunk {
    /// Further tokens, each with the position after it.
    Tokens(Vec<(Position, String)>),
    /// Discard everything sent so far: the answer starts over with these tokens.
    Restart(Vec<(Position, String)>),
    /// The answer is complete.
    Finish(Finish, Usage),
    /// The answer ends incomplete; a retry makes sense after the given time.
    Interrupt(Interruption, Duration),
}

/// Answers a request; the chunks are sent over the returned channel.
pub(crate) fn answer(
    state: Arc<State>,
    query: Query,
    permit: Arc<Permit>,
) -> mpsc::Receiver<Chunk> {
    let (chunks, receiver) = mpsc::channel(CHUNK_QUEUE_CAPACITY);
    tokio::spawn(drive(state, query, permit, chunks));
    receiver
}

/// Drives one answer: passes events to [`Resume`] and executes the resulting actions.
struct Driver {
    state: Arc<State>,
    query: Query,
    permit: Arc<Permit>,
    resume: Resume,
    attempts: HashMap<Epoch, Arc<EpochHandle>>,
    /// Tokens of the answer so far, each with the position after it.
    tokens: Vec<(Position, String)>,
    events: mpsc::Sender<Event>,
    started: Instant,
    /// Time up to which pauses of this process have been taken into account.
    last_wake: Clock,
    /// Epoch that the last published pointer names.
    published: Option<Epoch>,
    /// Time and epoch of the last tokens.
    last_tokens: Option<(Instant, Epoch)>,
    observer: Observer,
    timer: Timer,
    /// Whether the answer has resumed with another epoch at least once.
    resumed: bool,
}

/// Runs an answer to its end.
async fn drive(state: Arc<State>, query: Query, permit: Arc<Permit>, chunks: mpsc::Sender<Chunk>) {
    let (events, mut incoming) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let now = state.now();
    let settings = settings(&state, &query, now);
    let mut driver = Driver {
        resume: Resume::new(settings, now),
        state,
        attempts: HashMap::new(),
        tokens: Vec::new(),
        events,
        started: Instant::now(),
        last_wake: now,
        published: None,
        last_tokens: None,
        observer: Observer::new(query.assignment.clone()),
        timer: Timer::default(),
        resumed: false,
        query,
        permit,
    };
    let first = driver.first_event().await;
    let mut ready_chunks = driver.handle(first);
    let mut caller_gone = false;
    loop {
        for chunk in ready_chunks {
            if chunks.send(chunk).await.is_err() {
                break;
            }
        }
        if driver.resume.done() {
            return;
        }
        let wake = driver.resume.next_wake().map(|at| driver.state.origin + at);
        ready_chunks = tokio::select! {
            // Events that are queued come before the timer: otherwise an entry that was paused, or
            // waited for a slow caller, would suspect an engine that has already answered.
            biased;
            Some(event) = incoming.recv() => driver.handle(event),
            () = chunks.closed(), if !caller_gone => {
                caller_gone = true;
                driver.handle(Event::CallerGone)
            }
            () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {
                driver.handle_wake()
            }
        };
    }
}

/// Returns the settings of the decisions about an answer.
fn settings(state: &State, query: &Query, now: Duration) -> Settings {
    Settings {
        continues: query.continues,
        streamed: query.streamed,
        resumable: query.resumable,
        pool: state.gaps.get(&query.target.service, &query.target.version),
        first_token_timeout: state.settings.times.first,
        deadline: now + state.settings.times.answer,
        max_epochs: state.settings.limits.epochs,
        ..Settings::default()
    }
}

impl Driver {
    /// Returns the first event of the answer; looks up whether a generation of the request is
    /// already running.
    async fn first_event(&mut self) -> Event {
        let position = self.query.position;
        let begin = match position {
            Some(position) => Event::Return { position },
            None => Event::Begin { from: 0 },
        };
        if !self.query.resumable {
            return begin;
        }
        let limit = if position.is_some() {
            RECONNECT_LOOKUP_TIMEOUT
        } else {
            LOOKUP_TIMEOUT
        };
        let found = pointers::find(&self.state, &self.query.request, limit).await;
        // The text of another version can't be continued on the version of this request.
        let version = &self.query.target.version;
        let Some(found) = found.filter(|found| found.version == *version) else {
            return begin;
        };
        let peer = self.state.fleet.peer(&found.host);
        let in_flight = self
            .state
            .pool
            .start(&found.server, None, peer.work_counter());
        let attempt = EpochHandle {
            epoch: found.epoch,
            nonce: found.nonce,
            server: found.server.clone(),
            in_flight,
            peer,
            suspects: self.state.suspects.clone(),
            cancel: CancellationToken::new(),
            stream_number: AtomicU32::new(0),
            usage: Mutex::default(),
            refused: Mutex::default(),
        };
        self.attempts.insert(found.epoch, Arc::new(attempt));
        Event::Found {
            epoch: found.epoch,
            server: found.server,
            position: position.unwrap_or_default(),
        }
    }

    /// Publishes a pointer to an epoch, unless it has been published already.
    fn publish_pointer(&mut self, epoch: Epoch) {
        if !self.query.resumable || self.published == Some(epoch) {
            return;
        }
        let Some(attempt) = self.attempts.get(&epoch) else {
            return;
        };
        self.published = Some(epoch);
        let pointer = Pointer {
            host: attempt.peer.host.clone(),
            server: attempt.server.clone(),
            version: self.query.target.version.clone(),
            epoch,
            nonce: attempt.nonce,
        };
        let request = self.query.request.clone();
        pointers::publish(&self.state, Point { request, pointer });
    }

    /// Handles the time of the next wake.
    fn handle_wake(&mut self) -> Vec<Chunk> {
        let now = self.state.now();
        let since = std::mem::replace(&mut self.last_wake, now);
        let duration = self.state.lateness.paused(since, now);
        self.handle(match duration.is_zero() {
            true => Event::Tick,
            false => Event::Paused { duration },
        })
    }

    /// Handles an event, executes the resulting actions, and returns the chunks for the caller.
    fn handle(&mut self, event: Event) -> Vec<Chunk> {
        let mut chunks = Vec::new();
        let mut pending = vec![event];
        while let Some(event) = pending.pop() {
            let received = match &event {
                Event::Tokens { epoch, tokens, .. } => Some((*epoch, tokens.len() as Index)),
                _ => None,
            };
            if let Event::End {
                epoch,
                finish: Finish::Broken(reason),
                ..
            } = &event
                && let Some(attempt) = self.attempts.get(epoch)
            {
                self.observer
                    .record_breakage(&self.state, &attempt.server, *reason);
            }
            if let Event::Refused { epoch, .. } = &event
                && let Some(attempt) = self.attempts.get(epoch)
                && let Some(reason) = *attempt.refused.lock().expect("no panic while held")
            {
                self.observer.record_refusal(&self.state, reason);
            }
            let before = self.resume.next();
            let mut actions = Vec::new();
            let now = self.state.now();
            self.resume.handle(now, event, &mut actions);
            if let Some((epoch, count)) = received {
                let fresh = self.resume.next() - before.min(self.resume.next());
                self.count_duplicates(epoch, count.saturating_sub(fresh));
                self.record_tokens(epoch, fresh);
                self.update_unresponsive(epoch, fresh);
            }
            for action in actions {
                if let Some(event) = self.execute(action, &mut chunks) {
                    pending.push(event);
                }
            }
        }
        let owner = self.resume.owner();
        if let Some(owner) = owner {
            self.publish_pointer(owner);
        }
        // Lost epochs no longer count as work at their peers.
        let resume = &self.resume;
        self.attempts
            .retain(|epoch, _| resume.follows(*epoch) || owner == Some(*epoch));
        chunks
    }

    /// Counts tokens that another epoch has decoded before. Tokens that the log of the same epoch
    /// sends again were decoded only once, and are not counted.
    fn count_duplicates(&self, epoch: Epoch, duplicates: Index) {
        if self
            .last_tokens
            .is_some_and(|(_, last_epoch)| last_epoch != epoch)
        {
            let now = self.state.now();
            let target = &self.query.target;
            self.state
                .resumes
                .record_duplicates(target, duplicates, now);
        }
    }

    /// Clears the server of an epoch that produced fresh tokens, and records evidence against the
    /// servers of the epochs that it has overtaken.
    fn update_unresponsive(&self, epoch: Epoch, fresh: Index) {
        if fresh == 0 {
            return;
        }
        let now = self.state.now();
        for attempt in self.attempts.values() {
            if attempt.epoch == epoch {
                self.state.unresponsive.clear(&attempt.server);
            } else if attempt.epoch < epoch {
                self.state
                    .unresponsive
                    .record_overtaken(now, &attempt.server);
            }
        }
    }

    /// Returns whether there is evidence that all servers of this answer are unresponsive.
    fn all_unresponsive(&self) -> bool {
        let now = self.state.now();
        let mut servers = self.attempts.values().map(|attempt| &attempt.server);
        servers.all(|server| self.state.unresponsive.contains(now, server))
    }

    /// Executes an action; returns the event that follows immediately, if any.
    fn execute(&mut self, action: Action, chunks: &mut Vec<Chunk>) -> Option<Event> {
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
                self.append(tokens);
            }
            Action::Deliver { tokens, .. } => {
                let tokens = self.append(tokens);
                chunks.push(Chunk::Tokens(tokens));
            }
            Action::Restart { kept } => {
                self.tokens.truncate(kept as usize);
                chunks.push(Chunk::Restart(self.tokens.clone()));
            }
            Action::Finish(finish) => {
                let usage = self.usage();
                let count = self.tokens.len();
                self.observer
                    .record_end(&self.state, Ending::Completed, count);
                self.count_answer(true, count);
                chunks.push(Chunk::Finish(finish, usage));
            }
            Action::Interrupt {
                reason,
                retry_after,
            } => {
                events::emit!(
                    answers::INTERRUPTED,
                    "request={} reason={reason:?} tokens={}",
                    self.query.request,
                    self.tokens.len()
                );
                let ending = match reason {
                    Interruption::TooManyEpochs | Interruption::Deadline => Ending::Failed,
                    _ => Ending::Inconclusive,
                };
                let count = self.tokens.len();
                self.observer.record_end(&self.state, ending, count);
                self.count_answer(false, count);
                chunks.push(Chunk::Interrupt(reason, retry_after));
            }
        }
        None
    }

    /// Appends tokens to the answer, and returns each with the position after it.
    fn append(&mut self, tokens: Vec<String>) -> Vec<(Position, String)> {
        let mut position = self
            .tokens
            .last()
            .map(|(position, _)| *position)
            .unwrap_or_default();
        let from = self.tokens.len();
        for token in tokens {
            position.push(&token);
            self.tokens.push((position, token));
        }
        self.tokens[from..].to_vec()
    }

    /// Records the time since the last tokens, for the permit, metrics, reports and suspicion.
    fn record_tokens(&mut self, epoch: Epoch, fresh: Index) {
        if fresh == 0 {
            return;
        }
        self.permit.record_first_output();
        self.permit.record_tokens(fresh);
        let target = &self.query.target;
        let now = Instant::now();
        match self.last_tokens {
            None => {
                let first = now - self.started;
                metrics::histogram!(
                    "medlarhatch_first_token_seconds",
                    "service" => target.service.clone(),
                    "version" => target.version.clone()
                )
                .record(first);
            }
            Some((last, last_epoch)) => {
                let gap = now - last;
                if last_epoch != epoch {
                    metrics::histogram!("medlarhatch_resume_seconds").record(gap);
                    let at = self.state.now();
                    self.state.resumes.continued(target, gap, at);
                } else if fresh == 1 {
                    self.state
                        .gaps
                        .record(&target.service, &target.version, gap);
                }
                metrics::histogram!(
                    "medlarhatch_token_gap_seconds",
                    "service" => target.service.clone(),
                    "version" => target.version.clone()
                )
                .record(gap / u32::try_from(fresh).unwrap_or(u32::MAX));
            }
        }
        self.last_tokens = Some((now, epoch));
        let count = self.tokens.len() + fresh as usize;
        self.timer.record_tokens(self.started);
        self.observer
            .record_tokens(&self.state, self.started, count);
    }

    /// Counts the answer for the report on service-level burn.
    fn count_answer(&self, complete: bool, count: usize) {
        let (first, between) = self.timer.times(count);
        let target = &self.query.target;
        let request = burn::Request {
            service: &target.service,
            route: &target.route,
            team: &self.query.team,
            version: &target.version,
            first,
            between,
            complete,
        };
        self.state.burn.count(&request, self.state.now());
    }

    /// Returns the token usage of the answer.
    fn usage(&self) -> Usage {
        let owner = self
            .resume
            .owner()
            .and_then(|epoch| self.attempts.get(&epoch));
        let mut usage = owner
            .map(|attempt| *attempt.usage.lock().expect("no panic while held"))
            .unwrap_or_default();
        usage.completion = self.tokens.len() as u64;
        usage
    }
}
