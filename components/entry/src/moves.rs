//! Moves at this entry: the movers, their clock, and the store's records.
//!
//! Vetoes go to every entry at once, and so does the store's record when an entry has written or
//! read it. The entries take turns to write it, so that usually one does. Evidence isn't spread
//! between entries yet: each judges by its own requests.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use environment::{
    Document,
    document::Plan, //
};
use moves::{
    Mover,
    Side,
    evidence::Source,
    mover::Owner,
    outcome::Veto,
    rank::rank,
    step::{
        Action,
        Answer,
        Event,
        Fact, //
    }, //
};
use names::{
    Move,
    Route,
    Version, //
};
use spread::Key;
use tokio::time::{
    MissedTickBehavior,
    interval, //
};

use crate::{
    moves::movers::running,
    state::State, //
};

mod log;
pub(crate) mod movers;
mod observer;
mod store;

pub(crate) use observer::Witness;

/// Time between two ticks of the movers.
const PACE: Duration = Duration::from_secs(1);

/// Time after the process's start by which it has heard the vetoes that its peers know: their
/// digests come with each heartbeat.
const SYNC: Duration = Duration::from_secs(5);

/// Time for which a veto or a record is spread. By then the store's record has long told the same.
const KEPT: Duration = Duration::from_secs(30 * 24 * 3600);

/// Lets the movers' time pass and follows the document, until the entry ends.
pub(crate) async fn follow(state: Arc<State>) {
    let mut ticks = interval(PACE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut known = state.documents.known();
    let mut vetoes = BTreeMap::new();
    let mut seen = 0;
    loop {
        tokio::select! {
            () = state.ended.cancelled() => return,
            Ok((key, fact)) = known.recv() => {
                hear(&state, &key, &fact, &mut vetoes);
                continue;
            }
            _ = ticks.tick() => {}
        }
        let Some(held) = state.documents.current() else {
            continue;
        };
        if held.revision != seen {
            seen = held.revision;
            take(&state, &held.document);
            // A veto may come before the document that holds its move.
            for (name, veto) in &vetoes {
                on(&state, name, Event::Heard(Fact::Veto(Veto::clone(veto))));
            }
            state.book.set_levels(&held.document);
        }
        ready(&state, &held.document);
        let names = names(&state);
        let others = state.hosts.other_entries();
        for name in names {
            let rank = rank(&state.settings.name, &others, &name);
            on(&state, &name, Event::Rank(rank));
            if state.now() >= SYNC {
                on(&state, &name, Event::Synced);
            }
            on(&state, &name, Event::Tick);
        }
    }
}

/// Takes in a veto or a record that another entry told.
fn hear(state: &Arc<State>, key: &Key, fact: &spread::Fact, vetoes: &mut BTreeMap<Move, Veto>) {
    let (Key::Veto(environment, name) | Key::Record(environment, name)) = key else {
        return;
    };
    if *environment != state.settings.environment {
        return;
    }
    if matches!(key, Key::Record(..)) {
        if let Ok(record) = serde_json::from_slice(&fact.body) {
            let answer = Answer::Standing {
                revision: fact.weight,
                record: Some(record),
            };
            on(state, name, Event::Stored(answer));
        }
        return;
    }
    let Ok(veto) = postcard::from_bytes::<Veto>(&fact.body) else {
        return;
    };
    vetoes.insert(name.clone(), veto.clone());
    on(state, name, Event::Heard(Fact::Veto(veto)));
}

/// Tells every entry that a move's new version is bad.
fn tell(state: &State, name: &Move, veto: &Veto) {
    let key = Key::Veto(state.settings.environment.clone(), name.clone());
    let since = veto.at.duration_since(UNIX_EPOCH).unwrap_or_default();
    let fact = spread::Fact {
        weight: 1,
        until: Some(since + KEPT),
        body: postcard::to_stdvec(veto).expect("a veto can be encoded"),
    };
    state.documents.learn(key, fact);
}

fn names(state: &State) -> Vec<Move> {
    let movers = state.movers.lock();
    movers.keys().cloned().collect()
}

/// Starts movers of new moves, and tells the others what became of theirs.
fn take(state: &Arc<State>, document: &Document) {
    for plan in &document.moves {
        let routes = routes(document, plan);
        if names(state).contains(&plan.name) {
            let plan = plan.clone();
            on(state, &plan.name.clone(), Event::Planned { plan, routes });
            continue;
        }
        let owner = Owner {
            source: Source::Entry {
                host: state.settings.name.clone(),
                incarnation: state.hello.incarnation,
            },
            home: state.settings.data_centre.clone(),
        };
        let wall = SystemTime::now();
        let (mover, actions) = Mover::new(owner, plan.clone(), routes, state.now(), wall);
        let mut movers = state.movers.lock();
        movers.insert(plan.name.clone(), mover);
        drop(movers);
        for action in actions {
            act(state, &plan.name, action);
        }
    }
    for name in names(state) {
        if document.moves.iter().any(|plan| plan.name == name) {
            continue;
        }
        if let Some(side) = dropped(state, document, &name) {
            on(state, &name, Event::Dropped(side));
        }
    }
}

fn routes(document: &Document, plan: &Plan) -> Vec<Route> {
    let moved = |name: &Route| plan.routes.is_empty() || plan.routes.contains(name);
    let rules = document.routes.iter();
    let of_service = rules.filter(|rule| rule.service == plan.service);
    let names = of_service.map(|rule| rule.name.clone());
    names.filter(|name| moved(name)).collect()
}

/// The version that the routes name now that the document no longer holds a move. Forgets the
/// mover once its outcome is known.
fn dropped(state: &State, document: &Document, name: &Move) -> Option<Side> {
    let mut movers = state.movers.lock();
    let mover = movers.get(name)?;
    if mover.outcome().is_some() {
        movers.remove(name);
        return None;
    }
    let plan = mover.plan();
    let mut rules = document.routes.iter();
    let rule = rules.find(|rule| rule.service == plan.service && rule.version == plan.to);
    Some(rule.map_or(Side::Old, |_| Side::New))
}

/// Tells each mover how many replicas of its versions can take work.
fn ready(state: &Arc<State>, document: &Document) {
    let servers = state.fleet.servers();
    for plan in &document.moves {
        let Some(provision) = document.service(&plan.service) else {
            continue;
        };
        let count = |version: &Version| {
            let release = provision.versions.iter().find(|r| r.name == *version);
            release.map_or(0, |release| running(&servers, release).len() as u32)
        };
        let event = Event::Ready {
            old: count(&plan.from),
            new: count(&plan.to),
        };
        on(state, &plan.name, event);
    }
}

/// Hands an event to a mover and carries out what it asks for.
fn on(state: &Arc<State>, name: &Move, event: Event) {
    let actions = {
        let mut movers = state.movers.lock();
        let Some(mover) = movers.get_mut(name) else {
            return;
        };
        mover.on(event, state.now(), SystemTime::now())
    };
    for action in actions {
        act(state, name, action);
    }
}

fn act(state: &Arc<State>, name: &Move, action: Action) {
    match action {
        Action::Read => {
            tokio::spawn(store::read(state.clone(), name.clone()));
        }
        Action::Write { record, expect } => {
            tokio::spawn(store::write(state.clone(), name.clone(), record, expect));
        }
        Action::Notice(notice) => log::log(name, &notice),
        Action::Publish(Fact::Veto(veto)) => tell(state, name, &veto),
        // The pick reads share and concentration from the mover; the old version's servers stay
        // in the document.
        Action::Share(_) | Action::Concentrate(_) | Action::Warm(_) | Action::Publish(_) => {}
    }
}
