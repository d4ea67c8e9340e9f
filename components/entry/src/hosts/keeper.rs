//! Which of the listed hosts this entry keeps a link to.
//!
//! Dialling ends only when a host has been missing from the list for [`FORGET`] and can't be reached.
//! So an empty list takes nothing away.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc,
    time::Duration, //
};

use events::links as catalogue;
use names::Host;
use routing::subset::{
    self,
    Candidate, //
};
use spread::membership::{
    self,
    Listing, //
};
use store::hosts::{
    Role,
    State as HostState, //
};
use tokio::time::{
    Instant,
    MissedTickBehavior,
    interval,
    timeout, //
};
use wire::{
    Link,
    Stream, //
};

use crate::{
    fleet::Joined,
    hosts::Known,
    links::{
        self,
        keep, //
    },
    state::State, //
};

/// Bytes of a host's line in the list, about, and bytes a second that its reading may cost.
const LINE: f64 = 150.0;
const READING: f64 = 2048.0;

/// Time after which a host that isn't listed any more and can't be reached is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// Time that a link which was dialled on demand is kept without work.
const SPARE: Duration = Duration::from_secs(30);

/// Follows the list.
pub(crate) async fn follow(state: Arc<State>) {
    let mut ticks = interval(state.settings.times.hosts);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut out = false;
    let mut due = Instant::now();
    loop {
        tokio::select! {
            () = state.ended.cancelled() => return,
            _ = ticks.tick() => {}
        }
        arrange(&state);
        if Instant::now() < due {
            continue;
        }
        match state.platform.hosts().await {
            Ok(hosts) => {
                out = false;
                due = Instant::now() + pause(hosts.len());
                state.documents.event(spread::Event::List(listings(&hosts)));
                learn(&state, hosts);
            }
            Err(error) => {
                if !out {
                    events::emit!(catalogue::HOSTS_UNREADABLE, "reason=\"{error}\"");
                }
                out = true;
            }
        }
        arrange(&state);
    }
}

/// Pause after a reading of so many hosts. The list of a large fleet is hundreds of kilobytes; read
/// every second by every entry it would cost many times what a node may spend on control. It may
/// be old: a host that leaves says so itself, and one that fails is noticed on its link.
fn pause(hosts: usize) -> Duration {
    Duration::from_secs_f64(hosts as f64 * LINE / READING)
}

/// A link to a host, dialled now if there is none.
pub(crate) async fn reach(state: &Arc<State>, host: &str) -> Option<Joined> {
    let peer = state.fleet.peer(host);
    if let Some(joined) = peer.joined() {
        return Some(joined);
    }
    ask(state, host);
    let mut links = peer.link.subscribe();
    let up = links.wait_for(|link| link.as_ref().is_some_and(|one| !one.link.is_closed()));
    let joined = timeout(state.settings.times.silence, up).await.ok()?.ok()?;
    joined.clone()
}

/// A link of one's own to a host, beside the one that is kept. The stream must live as long.
pub(crate) async fn dial(state: &State, host: &str) -> Option<(Link, Stream)> {
    let address = state.hosts.address(host)?;
    let (link, stream, _) = links::dial(state, host, address).await.ok()?;
    Some((link, stream))
}

/// The list as the spread of documents takes it.
fn listings(hosts: &[store::hosts::Host]) -> Vec<Listing> {
    let listing = |host: &store::hosts::Host| Listing {
        host: host.name.clone(),
        data_centre: host.data_centre.clone(),
        role: match host.role {
            Role::Entry => membership::Role::Entry,
            Role::Sidecar => membership::Role::Sidecar,
        },
        leaving: host.state == HostState::Leaving,
    };
    hosts.iter().map(listing).collect()
}

/// Takes a reading of the list.
fn learn(state: &State, hosts: Vec<store::hosts::Host>) {
    let mut known = state.hosts.known.lock().expect("no panic while held");
    let now = Instant::now();
    for host in hosts {
        if host.name == state.settings.name {
            continue;
        }
        let leaving = host.state == HostState::Leaving;
        let peer = state.fleet.peer(&host.name);
        if peer.listed(leaving) {
            state.tell_pool(&peer);
        }
        let entry = known.entry(host.name).or_insert_with(|| Known {
            address: host.address,
            data_centre: host.data_centre.clone(),
            role: host.role,
            listed: now,
            kept: None,
            asked: None,
        });
        entry.listed = now;
        entry.data_centre = host.data_centre;
        // The host was replaced by another one of its name.
        if entry.address != host.address {
            entry.address = host.address;
            stop(entry);
        }
    }
}

/// Starts and ends the tasks that keep links.
fn arrange(state: &Arc<State>) {
    let mut known = state.hosts.known.lock().expect("no panic while held");
    let now = Instant::now();
    known.retain(|name, host| {
        let up = state.fleet.peer(name).joined().is_some();
        let stays = up || now.duration_since(host.listed) < FORGET;
        if !stays {
            stop(host);
            state.fleet.forget(name);
        }
        stays
    });
    let wanted = wanted(state, &known);
    for (name, host) in known.iter_mut() {
        let asked = host.asked.is_some_and(|at| now.duration_since(at) < SPARE);
        let busy = state.fleet.peer(name).in_flight() > 0;
        if wanted.contains(name) || asked || busy {
            start(state, name, host);
        } else {
            stop(host);
        }
    }
}

/// Asks for a link that the entry doesn't keep all the time.
fn ask(state: &Arc<State>, name: &str) {
    let mut known = state.hosts.known.lock().expect("no panic while held");
    if let Some(host) = known.get_mut(name) {
        host.asked = Some(Instant::now());
        start(state, name, host);
    }
}

/// The hosts that this entry keeps a link to all the time.
fn wanted(state: &State, known: &HashMap<Host, Known>) -> HashSet<Host> {
    let own = &state.settings.name;
    let candidates = |role| {
        known
            .iter()
            .filter(|(_, host)| host.role == role)
            .map(|(name, host)| Candidate {
                host: name.clone(),
                data_centre: host.data_centre.clone(),
            })
            .collect::<Vec<_>>()
    };
    let limits = &state.settings.limits;
    let data_centre = &state.settings.data_centre;
    let sidecars = subset::choose(own, data_centre, &candidates(Role::Sidecar), limits.links);
    let entries = subset::choose(own, data_centre, &candidates(Role::Entry), limits.peers);
    // Of two entries the one with the lower name dials, so that they have one link.
    let entries = entries.into_iter().filter(|name| name > own);
    sidecars.into_iter().chain(entries).collect()
}

fn start(state: &Arc<State>, name: &str, host: &mut Known) {
    if host.kept.is_some() {
        return;
    }
    let token = state.ended.child_token();
    host.kept = Some(token.clone());
    let peer = state.fleet.peer(name);
    tokio::spawn(keep(state.clone(), peer, host.address, token));
}

fn stop(host: &mut Known) {
    if let Some(token) = host.kept.take() {
        token.cancel();
    }
}
