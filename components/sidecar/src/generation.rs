//! One generation: its token log, and the task that fills it from the engine.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::Duration, //
};

use answer::{
    Finish,
    finish::Breakage,
    log::{
        Fault,
        Log, //
    },
};
use contract::poison::Facts;
use names::{
    Epoch,
    Index,
    Nonce,
    Request, //
};
use tokio::{
    sync::watch,
    time::{
        Instant,
        MissedTickBehavior,
        interval, //
    },
};
use tokio_util::sync::CancellationToken;
use wire::frame::Usage;

use crate::{
    engine::{
        Lines,
        Next, //
    },
    flights::Flying,
    line::Line,
};

/// What names a generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// The request that it answers.
    pub request: Request,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its nonce.
    pub nonce: Nonce,
}

/// One generation that this sidecar holds.
pub struct Generation {
    log: watch::Sender<Log>,
    usage: Mutex<Usage>,
    /// Facts about the death that ended the generation.
    suspects: Mutex<Option<Facts>>,
    cancel: CancellationToken,
    /// How far each stream that listens has been sent.
    sent: Mutex<HashMap<u64, Index>>,
}

/// Pace at which a generation looks whether somebody still listens.
const LISTENERS_PACE: Duration = Duration::from_millis(250);

impl Generation {
    /// A generation that begins after the tokens that its caller has already.
    pub fn new(delivered: &[String], bound: usize) -> Result<Self, Fault> {
        Ok(Self {
            log: watch::Sender::new(Log::with_prefix(delivered, bound)?),
            usage: Mutex::new(Usage::default()),
            suspects: Mutex::default(),
            cancel: CancellationToken::new(),
            sent: Mutex::default(),
        })
    }

    /// The log, to listen to.
    pub fn listen(&self) -> watch::Receiver<Log> {
        self.log.subscribe()
    }

    /// What the generation cost so far as the engine said it.
    pub fn usage(&self) -> Usage {
        *self.usage.lock().expect("no panic while held")
    }

    /// Facts to be told ahead of the end.
    pub fn suspects(&self) -> Option<Facts> {
        self.suspects.lock().expect("no panic while held").clone()
    }

    /// Bytes of the log.
    pub fn bytes(&self) -> usize {
        self.log.borrow().bytes()
    }

    /// Notes how far a stream has been sent.
    pub fn note_sent(&self, stream: u64, next: Index) {
        let mut sent = self.sent.lock().expect("no panic while held");
        sent.insert(stream, next);
    }

    /// Drops a stream that ended.
    pub fn leave(&self, stream: u64) {
        let mut sent = self.sent.lock().expect("no panic while held");
        sent.remove(&stream);
    }

    /// An entry doesn't want the generation any more: its answer goes on elsewhere. Another entry
    /// may be listening, for the same caller's retry; so only the last one ends the generation.
    pub fn cancel(&self, stream: u64) {
        let mut sent = self.sent.lock().expect("no panic while held");
        sent.remove(&stream);
        if sent.is_empty() {
            self.cancel.cancel();
        }
    }

    /// Whether it was ended before its text was.
    pub fn is_cancelled(&self) -> bool {
        self.cancel.is_cancelled()
    }

    /// The lowest index that some stream still waits for; none when nobody listens.
    fn lowest_sent(&self) -> Option<Index> {
        let sent = self.sent.lock().expect("no panic while held");
        sent.values().min().copied()
    }

    /// Fills the log until the generation ends; gives up after `grace` without a listener.
    pub(crate) async fn fill(&self, mut lines: Lines, grace: Duration, flying: &Flying) -> Finish {
        let mut alone = Alone::new(grace);
        loop {
            let next = tokio::select! {
                () = self.cancel.cancelled() => return self.end(Finish::Broken(Breakage::Cancelled)),
                () = alone.wait(&self.log) => return self.end(Finish::Broken(Breakage::Cancelled)),
                next = lines.next() => next,
            };
            let finish = match next {
                Next::Line(Line::Token { index, token }) => self.append(index, token),
                Next::Line(Line::End { end, usage }) => {
                    *self.usage.lock().expect("no panic while held") = usage;
                    Some(if end == "length" {
                        Finish::Length
                    } else {
                        Finish::Stop
                    })
                }
                Next::Broken => {
                    let facts = flying.broke().await;
                    *self.suspects.lock().expect("no panic while held") = facts;
                    Some(Finish::Broken(Breakage::EngineDied))
                }
                Next::Stalled => Some(Finish::Broken(Breakage::EngineStalled)),
            };
            if let Some(finish) = finish {
                return self.end(finish);
            }
        }
    }

    /// Waits until nobody has listened for `grace`.
    pub async fn forgotten(&self, grace: Duration) {
        Alone::new(grace).wait(&self.log).await;
    }

    /// Appends a token; gives the end when the engine broke the order or the log is full.
    fn append(&self, index: Index, token: String) -> Option<Finish> {
        let mut result = Ok(());
        let lowest = self.lowest_sent();
        self.log.send_modify(|log| {
            result = log.append(index, token.clone());
            // A log at its bound lets go of what everybody who listens has: a long answer goes on,
            // and only an entry that comes later has to begin it again.
            if let (Err(Fault::Full), Some(lowest)) = (result, lowest) {
                log.trim(lowest);
                result = log.append(index, token);
            }
        });
        let breakage = match result {
            Ok(()) => return None,
            Err(Fault::Repeat) => Breakage::Repeat,
            Err(Fault::Hole { .. }) => Breakage::Hole,
            Err(Fault::Full) => Breakage::LogFull,
            Err(Fault::Ended) => Breakage::EngineDied,
        };
        Some(Finish::Broken(breakage))
    }

    fn end(&self, finish: Finish) -> Finish {
        // A log that has ended already keeps its first end.
        self.log.send_modify(|log| {
            let _ = log.end(finish);
        });
        finish
    }
}

/// Tells when a log has had no listener for a while.
struct Alone {
    grace: Duration,
    since: Option<Instant>,
}

impl Alone {
    fn new(grace: Duration) -> Self {
        Self { grace, since: None }
    }

    async fn wait(&mut self, log: &watch::Sender<Log>) {
        let mut ticks = interval(LISTENERS_PACE);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            if log.receiver_count() > 0 {
                self.since = None;
            } else {
                let since = *self.since.get_or_insert_with(Instant::now);
                if since.elapsed() >= self.grace {
                    return;
                }
            }
            ticks.tick().await;
        }
    }
}
