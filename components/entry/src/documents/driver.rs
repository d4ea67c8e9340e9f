//! Drives the document replica: sends its messages over the links, and makes its calls to the
//! platform's store.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{
        Duration,
        SystemTime, //
    },
};

use events::documents;
use names::{
    Environment,
    Host,
    Revision, //
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use spread::{
    Action,
    Edition,
    Event,
    Identity,
    Message,
    Replica, //
};
use store::store::Entry;
use tokio::{
    task::AbortHandle,
    time::{
        MissedTickBehavior,
        interval, //
    },
};
use wire::Frame;

use super::{
    edit::decode,
    key, //
};
use crate::{
    hosts::connector::connect,
    state::State, //
};

/// Interval of the document replica's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Passes events to the document replica and executes the resulting actions.
struct Driver {
    state: Arc<State>,
    replica: Replica,
    /// Tasks of the calls to the store that are in progress.
    calls: HashMap<u64, AbortHandle>,
    /// Whether the last call to the store failed. Only the first of several failures is logged.
    store_unavailable: bool,
}

/// Runs the document replica until the entry has stopped.
pub(crate) async fn run(state: Arc<State>) {
    let event_receiver = state
        .documents
        .event_receiver
        .lock()
        .expect("no panic while held")
        .take();
    let Some(mut event_receiver) = event_receiver else {
        return;
    };
    let identity = Identity {
        host: state.settings.name.clone(),
        data_centre: state.settings.data_centre.clone(),
        incarnation: state.hello.incarnation.max(1),
    };
    let rng = StdRng::seed_from_u64(rand::random());
    let mut driver = Driver {
        replica: Replica::new(identity, state.now(), rng),
        state: state.clone(),
        calls: HashMap::new(),
        store_unavailable: false,
    };
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leaving = false;
    loop {
        let event = tokio::select! {
            () = state.stopped.cancelled() => return,
            () = state.stopping.cancelled(), if !leaving => {
                leaving = true;
                Event::Leave
            }
            _ = ticks.tick() => tick(),
            event = event_receiver.recv() => match event {
                Some(event) => event,
                None => return,
            },
        };
        driver.handle(event);
    }
}

/// Returns a tick with the current wall-clock time.
fn tick() -> Event {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Event::Tick {
        wall: wall.unwrap_or_default(),
    }
}

impl Driver {
    /// Passes an event to the document replica and executes the resulting actions.
    fn handle(&mut self, event: Event) {
        self.track_call(&event);
        let is_tick = matches!(event, Event::Tick { .. });
        for action in self.replica.handle(event, self.state.now()) {
            self.execute(action);
        }
        if is_tick {
            let is_reader = self.replica.is_reader(self.state.now());
            let changed = |last: &mut bool| std::mem::replace(last, is_reader) != is_reader;
            self.state.documents.reader.send_if_modified(changed);
        }
        self.state
            .documents
            .allow_until(self.replica.serves_until());
    }

    /// Keeps track of the calls to the store, and logs when the store becomes unavailable.
    fn track_call(&mut self, event: &Event) {
        match event {
            Event::Failed { call } => {
                self.calls.remove(call);
                if !self.store_unavailable {
                    events::emit!(documents::STORE_UNREADABLE, "call={call}");
                }
                self.store_unavailable = true;
            }
            Event::Read { call, .. } | Event::Changed { call, .. } | Event::Compacted { call } => {
                self.calls.remove(call);
                self.store_unavailable = false;
            }
            _ => {}
        }
    }

    /// Executes an action of the document replica.
    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, &message),
            Action::Read { call } => {
                let task = tokio::spawn(read(self.state.clone(), call));
                self.calls.insert(call, task.abort_handle());
            }
            Action::Watch { call, after, wait } => {
                let task = tokio::spawn(watch(self.state.clone(), call, after, wait));
                self.calls.insert(call, task.abort_handle());
            }
            Action::StopWatch { call } => {
                // Dropping the call closes its connection, which may be a dead one.
                if let Some(task) = self.calls.remove(&call) {
                    task.abort();
                }
            }
            Action::InForce { environment, .. } => {
                if environment != self.state.settings.environment {
                    return;
                }
                if let Some(edition) = self.replica.document(&environment) {
                    self.state.documents.apply(edition);
                }
            }
            Action::Ready => {
                self.state.documents.ready.send_replace(true);
            }
            Action::Unready => {
                events::emit!(documents::PAUSED, "host={}", self.state.settings.name);
                self.state.documents.ready.send_replace(false);
            }
            Action::FactReceived { key } => {
                if let Some(fact) = self.replica.facts().get(&key) {
                    // Fails when there is no subscriber.
                    let _ = self.state.documents.facts.send((key, fact.clone()));
                }
            }
            Action::Inventory { survey, inventory } => {
                self.state.documents.forward_inventory(survey, inventory);
            }
        }
    }

    /// Sends a message to a host, over an existing link if there is one.
    fn send(&self, to: Host, message: &Message) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return;
        };
        let frame = Frame::Spread(bytes);
        if let Some(connection) = self.state.fleet.peer(&to).connection() {
            let _ = connection.frames.try_send(frame);
            return;
        }
        // In a large fleet an entry has links to some hosts only; others are dialled on demand. The
        // document replica tolerates the loss of messages.
        let state = self.state.clone();
        tokio::spawn(async move {
            if let Some(connection) = connect(&state, &to).await {
                let _ = connection.frames.try_send(frame);
            }
        });
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        for task in self.calls.values() {
            task.abort();
        }
    }
}

/// Reads the document from the store.
async fn read(state: Arc<State>, call: u64) {
    let environment = &state.settings.environment;
    let event = match state.platform.list(&key(environment)).await {
        Ok(listing) => Event::Read {
            call,
            documents: listing
                .entries
                .iter()
                .filter_map(|entry| edition(&state, entry))
                .collect(),
            revision: listing.revision,
        },
        Err(_) => Event::Failed { call },
    };
    deliver(&state, event).await;
}

/// Waits up to `wait` for a change of the document after revision `after`.
async fn watch(state: Arc<State>, call: u64, after: Revision, wait: Duration) {
    let key = key(&state.settings.environment);
    let wait = state.settings.times.watch.min(wait);
    let event = match state.platform.watch(&key, after, wait).await {
        Ok(change) => {
            let entries = change.events.into_iter().filter_map(|event| {
                Some(Entry {
                    key: event.key,
                    value: event.value?,
                    revision: event.revision,
                    lease: None,
                })
            });
            let documents = entries.filter_map(|entry| edition(&state, &entry));
            Event::Changed {
                call,
                documents: documents.collect(),
                revision: change.revision,
            }
        }
        Err(store::Error::Compacted) => Event::Compacted { call },
        Err(_) => Event::Failed { call },
    };
    deliver(&state, event).await;
}

/// Delivers the result of a call to the document replica. Waits for space in the queue: unlike
/// messages, results must not be dropped.
async fn deliver(state: &State, event: Event) {
    let _ = state.documents.events.send(event).await;
}

/// Returns the document in an entry of the store; `None` if it belongs to another environment, as
/// keys with the same prefix may.
fn edition(state: &State, entry: &Entry) -> Option<(Environment, Edition)> {
    let environment = &state.settings.environment;
    if entry.key != key(environment) {
        return None;
    }
    Some((environment.clone(), decode(entry).edition()))
}
