//! Drives the board: its messages go over the links, its calls to the platform's store.

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
    Board,
    Edition,
    Event,
    Message,
    Place, //
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
    edit::open,
    key, //
};
use crate::{
    hosts::connector::reach,
    state::State, //
};

/// Pace of the board's ticks.
const TICK: Duration = Duration::from_millis(100);

struct Driver {
    state: Arc<State>,
    board: Board,
    /// Calls to the store that haven't answered.
    calls: HashMap<u64, AbortHandle>,
    /// The last call failed, and that was said.
    out: bool,
}

/// Keeps the documents until the entry ends.
pub(crate) async fn follow(state: Arc<State>) {
    let waiting = state
        .documents
        .waiting
        .lock()
        .expect("no panic while held")
        .take();
    let Some(mut waiting) = waiting else {
        return;
    };
    let place = Place {
        host: state.settings.name.clone(),
        data_centre: state.settings.data_centre.clone(),
        incarnation: state.hello.incarnation.max(1),
    };
    let rng = StdRng::seed_from_u64(rand::random());
    let mut driver = Driver {
        board: Board::new(place, state.now(), rng),
        state: state.clone(),
        calls: HashMap::new(),
        out: false,
    };
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leaving = false;
    loop {
        let event = tokio::select! {
            () = state.ended.cancelled() => return,
            () = state.leaving.cancelled(), if !leaving => {
                leaving = true;
                Event::Leave
            }
            _ = ticks.tick() => tick(),
            event = waiting.recv() => match event {
                Some(event) => event,
                None => return,
            },
        };
        driver.handle(event);
    }
}

fn tick() -> Event {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Event::Tick {
        wall: wall.unwrap_or_default(),
    }
}

impl Driver {
    fn handle(&mut self, event: Event) {
        self.note(&event);
        let ticks = matches!(event, Event::Tick { .. });
        for action in self.board.handle(event, self.state.now()) {
            self.act(action);
        }
        if ticks {
            let reads = self.board.reads(self.state.now());
            let changed = |last: &mut bool| std::mem::replace(last, reads) != reads;
            self.state.documents.reads.send_if_modified(changed);
        }
        // Every event makes the board look at the time, as a tick does.
        self.state.documents.tick();
    }

    /// Says in the log when the store stops answering.
    fn note(&mut self, event: &Event) {
        match event {
            Event::Failed { call } => {
                self.calls.remove(call);
                if !self.out {
                    events::emit!(documents::STORE_OUT, "call={call}");
                }
                self.out = true;
            }
            Event::Read { call, .. } | Event::Changed { call, .. } | Event::Forgotten { call } => {
                self.calls.remove(call);
                self.out = false;
            }
            _ => {}
        }
    }

    fn act(&mut self, action: Action) {
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
                // Dropping the call closes its connection, which may be the silent one.
                if let Some(task) = self.calls.remove(&call) {
                    task.abort();
                }
            }
            Action::InForce { environment, .. } => {
                if environment != self.state.settings.environment {
                    return;
                }
                if let Some(edition) = self.board.document(&environment) {
                    self.state.documents.take(edition);
                }
            }
            Action::Ready => {
                self.state.documents.ready.send_replace(true);
            }
            Action::Unready => {
                events::emit!(documents::PAUSED, "host={}", self.state.settings.name);
                self.state.documents.ready.send_replace(false);
            }
            Action::Known { key } => {
                if let Some(fact) = self.board.facts().get(&key) {
                    // Nobody listens while no move is under way.
                    let _ = self.state.documents.known.send((key, fact.clone()));
                }
            }
            Action::Account { survey, account } => {
                self.state.documents.account(survey, account);
            }
        }
    }

    fn send(&self, to: Host, message: &Message) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return;
        };
        let frame = Frame::Spread(bytes);
        if let Some(joined) = self.state.fleet.peer(&to).joined() {
            let _ = joined.frames.try_send(frame);
            return;
        }
        // An entry keeps links to a part of a large fleet; others are dialled on demand. A message
        // that can't be sent is as good as lost, and the board lives with that.
        let state = self.state.clone();
        tokio::spawn(async move {
            if let Some(joined) = reach(&state, &to).await {
                let _ = joined.frames.try_send(frame);
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

async fn read(state: Arc<State>, call: u64) {
    let environment = &state.settings.environment;
    let event = match state.platform.list(&key(environment)).await {
        Ok(listing) => Event::Read {
            call,
            documents: listing
                .entries
                .iter()
                .filter_map(|e| edition(&state, e))
                .collect(),
            revision: listing.revision,
        },
        Err(_) => Event::Failed { call },
    };
    answer(&state, event).await;
}

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
        Err(store::Error::Compacted) => Event::Forgotten { call },
        Err(_) => Event::Failed { call },
    };
    answer(&state, event).await;
}

/// The board must get the answers to its calls, however many messages wait.
async fn answer(state: &State, event: Event) {
    let _ = state.documents.events.send(event).await;
}

/// What a key of the store holds, if it is this entry's environment: keys under the same prefix
/// may belong to others.
fn edition(state: &State, entry: &Entry) -> Option<(Environment, Edition)> {
    let environment = &state.settings.environment;
    if entry.key != key(environment) {
        return None;
    }
    Some((environment.clone(), open(entry).edition()))
}
