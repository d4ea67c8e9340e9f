//! The document in force at this entry, and its spread between processes.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use environment::Document;
use events::documents;
use names::{
    Host,
    Revision, //
};
use spread::{
    Edition,
    Event,
    Fact,
    Key,
    message::Inventory,
    replica::PAUSE_THRESHOLD, //
};
use tokio::{
    sync::{
        broadcast,
        mpsc,
        watch, //
    },
    time::Instant, //
};

pub(crate) mod driver;
pub(crate) mod edit;

/// Events queued for the board, and facts for subscribers. When the queue of the board is full,
/// messages are dropped; heartbeats make up for them.
const QUEUE: usize = 4096;

/// The document in force, if any, and the event queue of the board that decides on it.
pub(crate) struct Documents {
    snapshot: ArcSwapOption<Snapshot>,
    revision: watch::Sender<Revision>,
    ready: watch::Sender<bool>,
    origin: Instant,
    /// Milliseconds from the origin to the board's last tick.
    last_tick_ms: AtomicU64,
    events: mpsc::Sender<Event>,
    /// Receiving end of `events`; the driver takes it when it starts.
    queued: Mutex<Option<mpsc::Receiver<Event>>>,
    /// Facts received from other processes.
    facts: broadcast::Sender<(Key, Fact)>,
    /// Whether this entry watches the store and aggregates the evidence of its data centre.
    reader: watch::Sender<bool>,
    /// Recipients of the accounts of the surveys in progress.
    surveys: Mutex<HashMap<u64, mpsc::UnboundedSender<Inventory>>>,
    next_survey: AtomicU64,
}

/// A document in force, with its revision.
pub(crate) struct Snapshot {
    pub(crate) revision: Revision,
    pub(crate) digest: u64,
    pub(crate) document: Document,
}

impl Default for Documents {
    fn default() -> Self {
        let (events, queued) = mpsc::channel(QUEUE);
        Self {
            snapshot: ArcSwapOption::empty(),
            revision: watch::Sender::new(0),
            ready: watch::Sender::new(false),
            origin: Instant::now(),
            last_tick_ms: AtomicU64::new(0),
            events,
            queued: Mutex::new(Some(queued)),
            facts: broadcast::Sender::new(QUEUE),
            reader: watch::Sender::new(false),
            surveys: Mutex::default(),
            next_survey: AtomicU64::new(0),
        }
    }
}

/// Returns the key of an environment's document in the platform's store.
pub(crate) fn key(environment: &str) -> String {
    format!("env/{environment}")
}

impl Documents {
    /// Returns the document to serve by; none while this entry may have missed a newer one.
    pub(crate) fn current(&self) -> Option<Arc<Snapshot>> {
        match self.may_serve() {
            true => self.latest(),
            false => None,
        }
    }

    /// Returns whether this entry may serve by its document.
    ///
    /// When a paused process resumes, requests that arrived in the meantime may be handled before
    /// the board has noticed the pause. So the board's last tick must also be recent.
    pub(crate) fn may_serve(&self) -> bool {
        let last_tick = Duration::from_millis(self.last_tick_ms.load(Ordering::Acquire));
        *self.ready.borrow() && self.origin.elapsed().saturating_sub(last_tick) < PAUSE_THRESHOLD
    }

    /// Records that the board has handled the current time and its actions are done.
    fn tick(&self) {
        let now = self.origin.elapsed().as_millis() as u64;
        self.last_tick_ms.store(now, Ordering::Release);
    }

    /// Returns the document in force, even if it may be outdated.
    pub(crate) fn latest(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.load_full()
    }

    /// Subscribes to whether the board allows this entry to serve.
    pub(crate) fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Subscribes to the revision in force; 0 before the first document.
    pub(crate) fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Queues an event for the board.
    pub(crate) fn queue_event(&self, event: Event) {
        // Dropped when the queue is full: documents and facts are sent again while digests differ.
        let _ = self.events.try_send(event);
    }

    /// Spreads a fact that originates at this entry.
    pub(crate) fn publish(&self, key: Key, fact: Fact) {
        self.queue_event(Event::AddFact { key, fact });
    }

    /// Subscribes to facts from other processes. A subscriber that lags by more than [`QUEUE`] of
    /// them misses some.
    pub(crate) fn facts(&self) -> broadcast::Receiver<(Key, Fact)> {
        self.facts.subscribe()
    }

    /// Subscribes to whether this entry is a reader of its data centre, which aggregates evidence.
    #[expect(dead_code, reason = "Needed to spread the evidence of moves.")]
    pub(crate) fn reader(&self) -> watch::Receiver<bool> {
        self.reader.subscribe()
    }

    /// Decodes a message from another process and queues it for the board.
    pub(crate) fn receive(&self, from: &Host, bytes: &[u8]) {
        match postcard::from_bytes(bytes) {
            Ok(message) => self.queue_event(Event::Message {
                from: from.clone(),
                message,
            }),
            Err(error) => {
                events::emit!(
                    documents::MESSAGE_UNREADABLE,
                    "host={from} reason=\"{error}\""
                );
            }
        }
    }

    /// Starts a survey of what is in force in all data centres. Returns its number, for
    /// [`Self::end_survey`], and the receiver of the accounts.
    pub(crate) fn survey(&self) -> (u64, mpsc::UnboundedReceiver<Inventory>) {
        let number = self.next_survey.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut surveys = self.surveys.lock().expect("no panic while held");
        surveys.insert(number, sender);
        drop(surveys);
        self.queue_event(Event::Survey { survey: number });
        (number, receiver)
    }

    /// Ends a survey; later accounts are dropped.
    pub(crate) fn end_survey(&self, number: u64) {
        let mut surveys = self.surveys.lock().expect("no panic while held");
        surveys.remove(&number);
    }

    /// Passes an account to its survey.
    fn forward_account(&self, number: u64, account: Inventory) {
        let surveys = self.surveys.lock().expect("no panic while held");
        if let Some(survey) = surveys.get(&number) {
            let _ = survey.send(account);
        }
    }

    /// Applies a document that has come into force.
    fn apply(&self, edition: &Edition) {
        let revision = edition.revision;
        match environment::parse(&edition.text) {
            Ok(document) => {
                self.snapshot.store(Some(Arc::new(Snapshot {
                    revision,
                    digest: edition.digest,
                    document,
                })));
                events::emit!(documents::IN_FORCE, "revision={revision}");
                self.revision.send_replace(revision);
            }
            Err(error) => {
                events::emit!(
                    documents::UNREADABLE,
                    "revision={revision} reason=\"{error}\""
                );
            }
        }
    }
}
