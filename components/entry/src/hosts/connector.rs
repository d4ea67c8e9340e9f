//! Polls the platform's host list, and maintains links to a subset of the known hosts.
//!
//! A host is removed only when it has been missing from the list for [`REMOVE_AFTER`] and has no
//! link that is up. So an empty list doesn't disconnect anything.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    sync::Arc,
    time::Duration, //
};

use events::links as messages;
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
    fleet::Connection,
    hosts::Member,
    links::{
        self,
        maintain, //
    },
    state::State, //
};

/// Approximate size of a host in the list, and maximum bytes per second spent on reading the list.
const HOST_BYTES: f64 = 150.0;
const READ_BYTES_PER_SECOND: f64 = 2048.0;

/// Time after which a host that is no longer listed and has no link is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(60);

/// Time for which a link that was dialled on demand is kept without work.
const ON_DEMAND_IDLE: Duration = Duration::from_secs(30);

/// Polls the list and updates the links until the entry has stopped.
pub(crate) async fn run(state: Arc<State>) {
    let mut ticks = interval(state.settings.times.hosts);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut unavailable = false;
    let mut next_read = Instant::now();
    loop {
        tokio::select! {
            () = state.stopped.cancelled() => return,
            _ = ticks.tick() => {}
        }
        reconcile(&state);
        if Instant::now() < next_read {
            continue;
        }
        match state.platform.hosts().await {
            Ok(hosts) => {
                unavailable = false;
                next_read = Instant::now() + read_interval(hosts.len());
                state
                    .documents
                    .queue_event(spread::Event::HostList(listings(&hosts)));
                update(&state, hosts);
            }
            Err(error) => {
                if !unavailable {
                    events::emit!(messages::HOSTS_UNREADABLE, "reason=\"{error}\"");
                }
                unavailable = true;
            }
        }
        reconcile(&state);
    }
}

/// Returns the pause after a read of a list of `hosts` hosts.
///
/// The list of a large fleet is hundreds of kilobytes: read every second by every entry, it would
/// exceed the control traffic allowed per node many times over. It may be stale, since a leaving
/// host announces that in its heartbeats, and the failure of a host is detected on its link.
fn read_interval(hosts: usize) -> Duration {
    Duration::from_secs_f64(hosts as f64 * HOST_BYTES / READ_BYTES_PER_SECOND)
}

/// Returns a link to a host, which is dialled if there is none; none after the silence timeout.
pub(crate) async fn connect(state: &Arc<State>, host: &str) -> Option<Connection> {
    let peer = state.fleet.peer(host);
    if let Some(connection) = peer.connection() {
        return Some(connection);
    }
    request_link(state, host);
    let mut links = peer.connection.subscribe();
    let connected = links.wait_for(|link| link.as_ref().is_some_and(|up| !up.link.is_closed()));
    let connection = timeout(state.settings.times.silence, connected)
        .await
        .ok()?
        .ok()?;
    connection.clone()
}

/// Dials a separate link to a host, beside the maintained one. The caller must keep the returned
/// control stream for as long as it uses the link.
pub(crate) async fn dial(state: &State, host: &str) -> Option<(Link, Stream)> {
    let address = state.hosts.address(host)?;
    let (link, stream, _) = links::dial(state, host, address).await.ok()?;
    Some((link, stream))
}

/// Converts the list for the spread of documents.
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

/// Updates the known hosts from a read of the list.
fn update(state: &State, hosts: Vec<store::hosts::Host>) {
    let mut members = state.hosts.members.lock().expect("no panic while held");
    let now = Instant::now();
    for host in hosts {
        if host.name == state.settings.name {
            continue;
        }
        let leaving = host.state == HostState::Leaving;
        let peer = state.fleet.peer(&host.name);
        if peer.set_listed_leaving(leaving) {
            state.update_pool(&peer);
        }
        let member = members.entry(host.name).or_insert_with(|| Member {
            address: host.address,
            data_centre: host.data_centre.clone(),
            role: host.role,
            last_listed: now,
            link_task: None,
            last_requested: None,
        });
        member.last_listed = now;
        member.data_centre = host.data_centre;
        // The host was replaced by another one of the same name.
        if member.address != host.address {
            member.address = host.address;
            stop_link(member);
        }
    }
}

/// Removes lost hosts, and starts and stops the tasks that maintain links.
fn reconcile(state: &Arc<State>) {
    let mut members = state.hosts.members.lock().expect("no panic while held");
    let now = Instant::now();
    members.retain(|name, host| {
        let up = state.fleet.peer(name).connection().is_some();
        let keep = up || now.duration_since(host.last_listed) < REMOVE_AFTER;
        if !keep {
            stop_link(host);
            state.fleet.remove(name);
        }
        keep
    });
    let permanent = permanent(state, &members);
    for (name, host) in members.iter_mut() {
        let requested = host
            .last_requested
            .is_some_and(|at| now.duration_since(at) < ON_DEMAND_IDLE);
        let busy = state.fleet.peer(name).in_flight() > 0;
        if permanent.contains(name) || requested || busy {
            start_link(state, name, host);
        } else {
            stop_link(host);
        }
    }
}

/// Requests a link to a host that may have no permanent one.
fn request_link(state: &Arc<State>, name: &str) {
    let mut members = state.hosts.members.lock().expect("no panic while held");
    if let Some(host) = members.get_mut(name) {
        host.last_requested = Some(Instant::now());
        start_link(state, name, host);
    }
}

/// Returns the hosts that this entry has a permanent link to.
fn permanent(state: &State, members: &HashMap<Host, Member>) -> HashSet<Host> {
    let own = &state.settings.name;
    let candidates = |role| {
        members
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
    // Of two entries, the one with the lower name dials, so that they have one link.
    let entries = entries.into_iter().filter(|name| name > own);
    sidecars.into_iter().chain(entries).collect()
}

/// Starts the task that maintains a link, unless it is running.
fn start_link(state: &Arc<State>, name: &str, host: &mut Member) {
    if host.link_task.is_some() {
        return;
    }
    let token = state.stopped.child_token();
    host.link_task = Some(token.clone());
    let peer = state.fleet.peer(name);
    tokio::spawn(maintain(state.clone(), peer, host.address, token));
}

/// Stops the task that maintains a link.
fn stop_link(host: &mut Member) {
    if let Some(token) = host.link_task.take() {
        token.cancel();
    }
}
