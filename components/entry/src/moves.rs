//! Moves at this entry: runs the movers, and reads and writes the records of moves in the store.
//! A move shifts a service's traffic gradually from one version to another; its mover decides the
//! share.
//!
//! A veto is spread to all entries immediately, and so is the record of a move once an entry has
//! written or read it. The entries write the record in turns, by rank, so that usually only one
//! does. Evidence is not spread between entries yet: each entry decides by its own requests.

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
    moves::movers::ready_servers,
    state::State, //
};

mod log;
pub(crate) mod movers;
mod observer;
mod store;

pub(crate) use observer::Observer;

/// Interval of the ticks of the movers.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the start of the process by which it has received the vetoes that its peers have:
/// their digests come with each heartbeat.
const VETO_SYNC_TIME: Duration = Duration::from_secs(5);

/// Time for which a veto or a record is spread. Long before its end, all entries have read the same
/// from the record in the store.
const FACT_LIFETIME: Duration = Duration::from_secs(30 * 24 * 3600);

/// Runs the movers and applies documents to them until the entry has stopped.
pub(crate) async fn run(state: Arc<State>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut facts = state.documents.facts();
    let mut vetoes = BTreeMap::new();
    let mut applied_revision = 0;
    loop {
        tokio::select! {
            () = state.stopped.cancelled() => return,
            Ok((key, fact)) = facts.recv() => {
                receive(&state, &key, &fact, &mut vetoes);
                continue;
            }
            _ = ticks.tick() => {}
        }
        let Some(snapshot) = state.documents.current() else {
            continue;
        };
        if snapshot.revision != applied_revision {
            applied_revision = snapshot.revision;
            apply(&state, &snapshot.document);
            // A veto may arrive before the document that has its move.
            for (name, veto) in &vetoes {
                handle(&state, name, Event::Received(Fact::Veto(Veto::clone(veto))));
            }
            state.burn.set_levels(&snapshot.document);
        }
        report_ready(&state, &snapshot.document);
        let names = active_moves(&state);
        let other_entries = state.hosts.other_entries();
        for name in names {
            let rank = rank(&state.settings.name, &other_entries, &name);
            handle(&state, &name, Event::Rank(rank));
            if state.now() >= VETO_SYNC_TIME {
                handle(&state, &name, Event::Synced);
            }
            handle(&state, &name, Event::Tick);
        }
    }
}

/// Handles a veto or a record from another entry.
fn receive(state: &Arc<State>, key: &Key, fact: &spread::Fact, vetoes: &mut BTreeMap<Move, Veto>) {
    let (Key::Veto(environment, name) | Key::Record(environment, name)) = key else {
        return;
    };
    if *environment != state.settings.environment {
        return;
    }
    if matches!(key, Key::Record(..)) {
        if let Ok(record) = serde_json::from_slice(&fact.body) {
            let answer = Answer::Current {
                revision: fact.weight,
                record: Some(record),
            };
            handle(state, name, Event::Stored(answer));
        }
        return;
    }
    let Ok(veto) = postcard::from_bytes::<Veto>(&fact.body) else {
        return;
    };
    vetoes.insert(name.clone(), veto.clone());
    handle(state, name, Event::Received(Fact::Veto(veto)));
}

/// Spreads a veto against a move's new version to all entries.
fn publish_veto(state: &State, name: &Move, veto: &Veto) {
    let key = Key::Veto(state.settings.environment.clone(), name.clone());
    let since = veto.at.duration_since(UNIX_EPOCH).unwrap_or_default();
    let fact = spread::Fact {
        weight: 1,
        until: Some(since + FACT_LIFETIME),
        body: postcard::to_stdvec(veto).expect("a veto can be encoded"),
    };
    state.documents.publish(key, fact);
}

/// Returns the names of the moves that have a mover.
fn active_moves(state: &State) -> Vec<Move> {
    let movers = state.movers.lock();
    movers.keys().cloned().collect()
}

/// Starts movers for new moves, and updates the movers of known and removed ones.
fn apply(state: &Arc<State>, document: &Document) {
    for plan in &document.moves {
        let routes = routes(document, plan);
        if active_moves(state).contains(&plan.name) {
            let plan = plan.clone();
            handle(state, &plan.name.clone(), Event::Planned { plan, routes });
            continue;
        }
        let owner = Owner {
            source: Source::Entry {
                host: state.settings.name.clone(),
                incarnation: state.hello.incarnation,
            },
            data_centre: state.settings.data_centre.clone(),
        };
        let wall = SystemTime::now();
        let (mover, actions) = Mover::new(owner, plan.clone(), routes, state.now(), wall);
        let mut movers = state.movers.lock();
        movers.insert(plan.name.clone(), mover);
        drop(movers);
        for action in actions {
            execute(state, &plan.name, action);
        }
    }
    for name in active_moves(state) {
        if document.moves.iter().any(|plan| plan.name == name) {
            continue;
        }
        if let Some(side) = remaining_side(state, document, &name) {
            handle(state, &name, Event::Dropped(side));
        }
    }
}

/// Returns the routes that a plan moves.
fn routes(document: &Document, plan: &Plan) -> Vec<Route> {
    let included = |name: &Route| plan.routes.is_empty() || plan.routes.contains(name);
    let rules = document.routes.iter();
    let of_service = rules.filter(|rule| rule.service == plan.service);
    let names = of_service.map(|rule| rule.name.clone());
    names.filter(|name| included(name)).collect()
}

/// Returns the side that the routes use after a move was removed from the document. Drops the
/// mover instead if its outcome is known.
fn remaining_side(state: &State, document: &Document, name: &Move) -> Option<Side> {
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

/// Reports to each mover how many replicas of its versions are ready for work.
fn report_ready(state: &Arc<State>, document: &Document) {
    let servers = state.fleet.servers();
    for plan in &document.moves {
        let Some(provision) = document.service(&plan.service) else {
            continue;
        };
        let count = |version: &Version| {
            let release = provision
                .versions
                .iter()
                .find(|release| release.name == *version);
            release.map_or(0, |release| ready_servers(&servers, release).len() as u32)
        };
        let event = Event::Ready {
            old: count(&plan.from),
            new: count(&plan.to),
        };
        handle(state, &plan.name, event);
    }
}

/// Passes an event to a mover and executes the resulting actions.
fn handle(state: &Arc<State>, name: &Move, event: Event) {
    let actions = {
        let mut movers = state.movers.lock();
        let Some(mover) = movers.get_mut(name) else {
            return;
        };
        mover.handle(event, state.now(), SystemTime::now())
    };
    for action in actions {
        execute(state, name, action);
    }
}

/// Executes an action of a mover.
fn execute(state: &Arc<State>, name: &Move, action: Action) {
    match action {
        Action::Read => {
            tokio::spawn(store::read(state.clone(), name.clone()));
        }
        Action::Write { record, expect } => {
            tokio::spawn(store::write(state.clone(), name.clone(), record, expect));
        }
        Action::Notice(notice) => log::notice(name, &notice),
        Action::Publish(Fact::Veto(veto)) => publish_veto(state, name, &veto),
        // `Movers::assign` reads the share and the concentration from the mover, and the document
        // keeps the servers of the old version.
        Action::Share(_) | Action::Concentrate(_) | Action::KeepWarm(_) | Action::Publish(_) => {}
    }
}
