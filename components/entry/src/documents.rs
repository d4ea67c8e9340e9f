//! Document in force at this entry, and its spread between processes.
//!
//! A [`spread::Replica`] per process, run by [`driver`], decides which document is in force. It is
//! called the document replica here, to tell it from the replicas of services.

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
    Clock,
    Host,
    Revision, //
};
use spread::{
    Edition,
    Event,
    Fact,
    Key,
    message::Inventory, //
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

/// Maximum number of events queued for the document replica, and of facts for each subscriber. When
/// the queue of the document replica is full, messages are dropped; later heartbeats detect the
/// difference.
const QUEUE_CAPACITY: usize = 4096;

/// Document in force, if any, and the event queue of the document replica.
pub(crate) struct Documents {
    snapshot: ArcSwapOption<Snapshot>,
    revision: watch::Sender<Revision>,
    /// Whether the document replica allows this entry to serve.
    ready: watch::Sender<bool>,
    origin: Instant,
    /// Time until which the document replica allows this entry to serve unless it decides anew, in
    /// milliseconds from the origin; 0 while it doesn't.
    serves_until_ms: AtomicU64,
    events: mpsc::Sender<Event>,
    /// Receiver of `events`; the driver takes it when it starts.
    event_receiver: Mutex<Option<mpsc::Receiver<Event>>>,
    /// Facts received from other processes.
    facts: broadcast::Sender<(Key, Fact)>,
    /// Whether this entry watches the store and aggregates the evidence of its data centre.
    reader: watch::Sender<bool>,
    /// Recipients of the inventories, by the id of the survey in progress.
    surveys: Mutex<HashMap<u64, mpsc::UnboundedSender<Inventory>>>,
    next_survey_id: AtomicU64,
}

/// Document in force, with its revision and the digest of its text.
pub(crate) struct Snapshot {
    pub(crate) revision: Revision,
    pub(crate) digest: u64,
    pub(crate) document: Document,
}

/// Returns the key of an environment's document in the platform's store.
pub(crate) fn key(environment: &str) -> String {
    format!("env/{environment}")
}

impl Documents {
    /// Creates an entry's documents before the first one is known. `origin` is that of the clock
    /// readings which the document replica gets.
    pub(crate) fn new(origin: Instant) -> Self {
        let (events, event_receiver) = mpsc::channel(QUEUE_CAPACITY);
        Self {
            snapshot: ArcSwapOption::empty(),
            revision: watch::Sender::new(0),
            ready: watch::Sender::new(false),
            origin,
            serves_until_ms: AtomicU64::new(0),
            events,
            event_receiver: Mutex::new(Some(event_receiver)),
            facts: broadcast::Sender::new(QUEUE_CAPACITY),
            reader: watch::Sender::new(false),
            surveys: Mutex::default(),
            next_survey_id: AtomicU64::new(0),
        }
    }

    /// Returns the document to serve by; `None` while this entry may have missed a newer one.
    pub(crate) fn current(&self) -> Option<Arc<Snapshot>> {
        match self.may_serve() {
            true => self.latest(),
            false => None,
        }
    }

    /// Returns whether this entry may serve by its document.
    pub(crate) fn may_serve(&self) -> bool {
        let until = Duration::from_millis(self.serves_until_ms.load(Ordering::Acquire));
        self.origin.elapsed() < until
    }

    /// Sets the time until which this entry may serve, after the actions of the document replica
    /// are executed.
    fn allow_until(&self, until: Option<Clock>) {
        let until = until.map_or(0, |until| until.as_millis() as u64);
        self.serves_until_ms.store(until, Ordering::Release);
    }

    /// Returns the document in force, even if it may be outdated.
    pub(crate) fn latest(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.load_full()
    }

    /// Subscribes to whether the document replica allows this entry to serve.
    pub(crate) fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Subscribes to the revision in force; 0 before the first document.
    pub(crate) fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Queues an event for the document replica.
    pub(crate) fn queue_event(&self, event: Event) {
        // Dropped when the queue is full: documents and facts are sent again while digests differ.
        let _ = self.events.try_send(event);
    }

    /// Spreads a fact that originates at this entry.
    pub(crate) fn publish(&self, key: Key, fact: Fact) {
        self.queue_event(Event::AddFact { key, fact });
    }

    /// Subscribes to facts from other processes. A subscriber that lags by more than
    /// [`QUEUE_CAPACITY`] of them misses some.
    pub(crate) fn facts(&self) -> broadcast::Receiver<(Key, Fact)> {
        self.facts.subscribe()
    }

    /// Subscribes to whether this entry is a reader of its data centre, which aggregates evidence.
    #[expect(dead_code, reason = "Needed to spread the evidence of moves.")]
    pub(crate) fn reader(&self) -> watch::Receiver<bool> {
        self.reader.subscribe()
    }

    /// Decodes a message from another process, and queues it for the document replica.
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

    /// Starts a survey of the revisions in force in all data centres. Returns its id, for
    /// [`Self::end_survey`], and the receiver of the inventories, one per data centre.
    pub(crate) fn survey(&self) -> (u64, mpsc::UnboundedReceiver<Inventory>) {
        let id = self.next_survey_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut surveys = self.surveys.lock().expect("no panic while held");
        surveys.insert(id, sender);
        drop(surveys);
        self.queue_event(Event::Survey { survey: id });
        (id, receiver)
    }

    /// Ends a survey; later inventories are dropped.
    pub(crate) fn end_survey(&self, id: u64) {
        let mut surveys = self.surveys.lock().expect("no panic while held");
        surveys.remove(&id);
    }

    /// Passes an inventory to its survey.
    fn forward_inventory(&self, survey: u64, inventory: Inventory) {
        let surveys = self.surveys.lock().expect("no panic while held");
        if let Some(recipient) = surveys.get(&survey) {
            // Fails when the survey has just ended.
            let _ = recipient.send(inventory);
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
