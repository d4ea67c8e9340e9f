//! One generation: its token log, and the loop that fills the log from the engine's answer.

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
        Read, //
    },
    inflight::Guard,
    line::Line,
};

/// Identifies a generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// Request that the generation answers.
    pub request: Request,
    /// Epoch within the request.
    pub epoch: Epoch,
    /// Random number that distinguishes generations of one epoch.
    pub nonce: Nonce,
}

/// A generation that this sidecar runs, or ran and still holds.
pub struct Generation {
    log: watch::Sender<Log>,
    usage: Mutex<Usage>,
    /// Facts about the server's death that ended the generation.
    suspects: Mutex<Option<Facts>>,
    cancel: CancellationToken,
    /// The next index to send to each listener, by the id of its stream.
    positions: Mutex<HashMap<u64, Index>>,
}

/// Interval between two checks whether a generation still has a listener.
const LISTENER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Generation {
    /// Creates a generation whose log starts with the tokens that the caller has already; the log
    /// holds at most `max_log_bytes`.
    ///
    /// # Errors
    ///
    /// [`Fault`] when the delivered tokens exceed the limit.
    pub fn new(delivered: &[String], max_log_bytes: usize) -> Result<Self, Fault> {
        Ok(Self {
            log: watch::Sender::new(Log::with_prefix(delivered, max_log_bytes)?),
            usage: Mutex::new(Usage::default()),
            suspects: Mutex::default(),
            cancel: CancellationToken::new(),
            positions: Mutex::default(),
        })
    }

    /// Subscribes a listener to the token log. A generation without listeners is cancelled after
    /// the grace time.
    pub fn subscribe(&self) -> watch::Receiver<Log> {
        self.log.subscribe()
    }

    /// Returns the token counts that the engine reported; zero until the generation ends.
    pub fn usage(&self) -> Usage {
        *self.usage.lock().expect("no panic while held")
    }

    /// Returns the facts about the server's death, to be sent before the end frame; `None` if the
    /// server has not died.
    pub fn suspects(&self) -> Option<Facts> {
        self.suspects.lock().expect("no panic while held").clone()
    }

    /// Returns the size of the token log in bytes.
    pub fn bytes(&self) -> usize {
        self.log.borrow().bytes()
    }

    /// Records the next index that a stream will be sent.
    pub fn record_position(&self, stream: u64, next: Index) {
        let mut positions = self.positions.lock().expect("no panic while held");
        positions.insert(stream, next);
    }

    /// Removes a stream that has ended.
    pub fn remove_stream(&self, stream: u64) {
        let mut positions = self.positions.lock().expect("no panic while held");
        positions.remove(&stream);
    }

    /// Cancels the generation for one stream, whose entry continues the answer elsewhere. Another
    /// entry may still listen to it for a retry of the same caller, so only the cancellation of the
    /// last listener stops the generation.
    pub fn cancel(&self, stream: u64) {
        let mut positions = self.positions.lock().expect("no panic while held");
        positions.remove(&stream);
        if positions.is_empty() {
            self.cancel.cancel();
        }
    }

    /// Returns whether the generation was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.cancel.is_cancelled()
    }

    /// Returns the lowest next index of all listeners; `None` if there is no listener.
    fn lowest_position(&self) -> Option<Index> {
        let positions = self.positions.lock().expect("no panic while held");
        positions.values().min().copied()
    }

    /// Fills the log until the generation ends; cancels it after `grace` without a listener.
    pub(crate) async fn fill(&self, mut lines: Lines, grace: Duration, guard: &Guard) -> Finish {
        let mut idle = IdleDetector::new(grace);
        loop {
            let next = tokio::select! {
                () = self.cancel.cancelled() => return self.end(Finish::Broken(Breakage::Cancelled)),
                () = idle.wait(&self.log) => return self.end(Finish::Broken(Breakage::Cancelled)),
                next = lines.next() => next,
            };
            let finish = match next {
                Read::Line(Line::Token { index, token }) => self.append(index, token),
                Read::Line(Line::End { end, usage }) => {
                    *self.usage.lock().expect("no panic while held") = usage;
                    Some(if end == "length" {
                        Finish::Length
                    } else {
                        Finish::Stop
                    })
                }
                Read::Broken => {
                    let facts = guard.record_failure().await;
                    *self.suspects.lock().expect("no panic while held") = facts;
                    Some(Finish::Broken(Breakage::EngineDied))
                }
                Read::Stalled => Some(Finish::Broken(Breakage::EngineStalled)),
            };
            if let Some(finish) = finish {
                return self.end(finish);
            }
        }
    }

    /// Waits until the log has had no listener for `grace`.
    pub async fn wait_unused(&self, grace: Duration) {
        IdleDetector::new(grace).wait(&self.log).await;
    }

    /// Appends a token; returns the finish when the token is out of order or the log is full.
    fn append(&self, index: Index, token: String) -> Option<Finish> {
        let mut result = Ok(());
        let lowest = self.lowest_position();
        self.log.send_modify(|log| {
            result = log.append(index, token.clone());
            // A full log drops the tokens that every listener has been sent, so that long answers
            // can continue. An entry that attaches later can't read the dropped part and has to
            // restart the generation.
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
        // A log that has ended already keeps its first finish.
        self.log.send_modify(|log| {
            let _ = log.end(finish);
        });
        finish
    }
}

/// Detects that a log has had no listener for the grace time.
struct IdleDetector {
    grace: Duration,
    since: Option<Instant>,
}

impl IdleDetector {
    fn new(grace: Duration) -> Self {
        Self { grace, since: None }
    }

    async fn wait(&mut self, log: &watch::Sender<Log>) {
        let mut ticks = interval(LISTENER_CHECK_INTERVAL);
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
