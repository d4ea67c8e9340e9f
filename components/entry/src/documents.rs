//! The document in force in this entry, and its spread.

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
    board::PAUSED,
    message::Account, //
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

/// Events that wait for the board; beyond it messages are dropped, since heartbeats repair that.
const WAITING: usize = 4096;

/// The document in force, if any, and the way to the board that decides on it.
pub(crate) struct Documents {
    held: ArcSwapOption<Held>,
    revision: watch::Sender<Revision>,
    ready: watch::Sender<bool>,
    origin: Instant,
    /// Milliseconds from the origin to the board's last tick.
    ticked: AtomicU64,
    events: mpsc::Sender<Event>,
    /// Taken by the driver.
    waiting: Mutex<Option<mpsc::Receiver<Event>>>,
    /// Facts that came from other processes.
    known: broadcast::Sender<(Key, Fact)>,
    /// This entry watches the store, and sums up its data centre's evidence.
    reads: watch::Sender<bool>,
    surveys: Mutex<HashMap<u64, mpsc::UnboundedSender<Account>>>,
    survey: AtomicU64,
}

/// A document with its revision.
pub(crate) struct Held {
    pub(crate) revision: Revision,
    pub(crate) digest: u64,
    pub(crate) document: Document,
}

impl Default for Documents {
    fn default() -> Self {
        let (events, waiting) = mpsc::channel(WAITING);
        Self {
            held: ArcSwapOption::empty(),
            revision: watch::Sender::new(0),
            ready: watch::Sender::new(false),
            origin: Instant::now(),
            ticked: AtomicU64::new(0),
            events,
            waiting: Mutex::new(Some(waiting)),
            known: broadcast::Sender::new(WAITING),
            reads: watch::Sender::new(false),
            surveys: Mutex::default(),
            survey: AtomicU64::new(0),
        }
    }
}

/// Key of an environment's document in the platform's store.
pub(crate) fn key(environment: &str) -> String {
    format!("env/{environment}")
}

impl Documents {
    /// The document to serve by; none while this entry may have missed a newer one.
    pub(crate) fn current(&self) -> Option<Arc<Held>> {
        match self.serves() {
            true => self.held(),
            false => None,
        }
    }

    /// Tells whether this entry may serve by what it holds.
    ///
    /// When a process that stood still goes on, requests that came meanwhile may be looked at
    /// before the board is: so the board's last tick must not lie far back either.
    pub(crate) fn serves(&self) -> bool {
        let ticked = Duration::from_millis(self.ticked.load(Ordering::Acquire));
        *self.ready.borrow() && self.origin.elapsed().saturating_sub(ticked) < PAUSED
    }

    /// The board has seen that time passed, and its actions were done.
    fn tick(&self) {
        let now = self.origin.elapsed().as_millis() as u64;
        self.ticked.store(now, Ordering::Release);
    }

    /// The document in force, whether it may be served by or not.
    pub(crate) fn held(&self) -> Option<Arc<Held>> {
        self.held.load_full()
    }

    /// Changes of whether this entry may serve.
    pub(crate) fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Changes of the revision in force.
    pub(crate) fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Gives an event to the board.
    pub(crate) fn event(&self, event: Event) {
        // A full queue drops it: documents and facts are sent again where digests differ.
        let _ = self.events.try_send(event);
    }

    /// Spreads a fact that this entry found out.
    pub(crate) fn learn(&self, key: Key, fact: Fact) {
        self.event(Event::Learn { key, fact });
    }

    /// Facts that other processes found out, from now on. Whoever lags by [`WAITING`] of
    /// them misses some.
    pub(crate) fn known(&self) -> broadcast::Receiver<(Key, Fact)> {
        self.known.subscribe()
    }

    /// Changes of whether this entry is a reader of its data centre, and sums up its evidence.
    #[expect(dead_code, reason = "Moves go through it.")]
    pub(crate) fn reads(&self) -> watch::Receiver<bool> {
        self.reads.subscribe()
    }

    /// A process said something about documents.
    pub(crate) fn message(&self, from: &Host, bytes: &[u8]) {
        match postcard::from_bytes(bytes) {
            Ok(message) => self.event(Event::Message {
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

    /// Asks all data centres what is in force there; answers come as long as the number is kept.
    pub(crate) fn survey(&self) -> (u64, mpsc::UnboundedReceiver<Account>) {
        let number = self.survey.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut surveys = self.surveys.lock().expect("no panic while held");
        surveys.insert(number, sender);
        drop(surveys);
        self.event(Event::Survey { survey: number });
        (number, receiver)
    }

    /// Ends a survey.
    pub(crate) fn surveyed(&self, number: u64) {
        let mut surveys = self.surveys.lock().expect("no panic while held");
        surveys.remove(&number);
    }

    fn account(&self, number: u64, account: Account) {
        let surveys = self.surveys.lock().expect("no panic while held");
        if let Some(survey) = surveys.get(&number) {
            let _ = survey.send(account);
        }
    }

    /// Takes a document that came into force.
    fn take(&self, edition: &Edition) {
        let revision = edition.revision;
        match environment::parse(&edition.text) {
            Ok(document) => {
                self.held.store(Some(Arc::new(Held {
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
