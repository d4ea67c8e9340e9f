//! Links to sidecars and to other entries: whom to dial, when to dial again.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use daemon::greeting;
use events::links;
use names::Host;
use platform::hosts::{
    Role,
    State as HostState, //
};
use tokio::{
    sync::mpsc,
    time::{
        MissedTickBehavior,
        interval,
        sleep, //
    },
};
use wire::{
    Error,
    Frame,
    Link,
    Stream,
    frame::Hello,
    link::Knock,
    stream::Receiver, //
};

use crate::{
    fleet::{
        Joined,
        Peer, //
    },
    state::State,
};

/// First and longest pause between two dials of one host.
const PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Frames that wait for a link's first stream; beyond it the newest are dropped, since what is
/// sent there is repeated anyway.
const WAITING: usize = 256;

/// Follows the platform's host list and keeps links to the hosts in it.
pub(crate) async fn follow(state: Arc<State>) {
    let mut dialled: HashSet<(Host, SocketAddr)> = HashSet::new();
    let mut ticks = interval(state.settings.times.hosts);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut out = false;
    loop {
        tokio::select! {
            () = state.ended.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let hosts = match state.platform.hosts().await {
            Ok(hosts) => hosts,
            Err(error) => {
                if !out {
                    events::emit!(links::HOSTS, "reason=\"{error}\"");
                }
                out = true;
                continue;
            }
        };
        out = false;
        for host in hosts {
            if host.name == state.settings.name {
                continue;
            }
            let peer = state.fleet.peer(&host.name);
            *peer.listed_leaving.lock().expect("no panic while held") =
                host.state == HostState::Leaving;
            // Of two entries the one with the lower name dials, so that they have one link.
            if host.role == Role::Entry && host.name < state.settings.name {
                continue;
            }
            if dialled.insert((host.name.clone(), host.address)) {
                tokio::spawn(keep(state.clone(), peer, host.address));
            }
        }
    }
}

/// Keeps a link to one host: dials, and dials again when the link is lost.
async fn keep(state: Arc<State>, peer: Arc<Peer>, address: SocketAddr) {
    let mut pause = PAUSE;
    loop {
        let joined = tokio::select! {
            () = state.ended.cancelled() => return,
            joined = dial(&state, &peer.host, address) => joined,
        };
        match joined {
            Ok((link, stream, hello)) => {
                pause = PAUSE;
                join(&state, &peer, link, stream, hello).await;
            }
            Err(error) => note(&peer.host, &error, pause),
        }
        tokio::select! {
            () = state.ended.cancelled() => return,
            () = sleep(pause) => {}
        }
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

async fn dial(
    state: &State,
    host: &str,
    address: SocketAddr,
) -> Result<(Link, Stream, Hello), Error> {
    let link = state.node.dial(address, host).await?;
    let silence = state.settings.times.silence;
    let (stream, hello) = greeting::dialled(&link, &state.hello, silence).await?;
    Ok((link, stream, hello))
}

/// Answers processes that dial us.
pub(crate) async fn accept(state: Arc<State>) {
    loop {
        let knock = tokio::select! {
            () = state.ended.cancelled() => return,
            knock = state.node.accept() => knock,
        };
        let Some(knock) = knock else {
            return;
        };
        tokio::spawn(answer(state.clone(), knock));
    }
}

async fn answer(state: Arc<State>, knock: Knock) {
    let address = knock.address();
    let silence = state.settings.times.silence;
    let greet = async {
        let link = knock.answer().await?;
        let (stream, hello) = greeting::answered(&link, &state.hello, silence).await?;
        Ok((link, stream, hello))
    };
    match greet.await {
        Ok((link, stream, hello)) => {
            let peer = state.fleet.peer(&hello.host);
            join(&state, &peer, link, stream, hello).await;
        }
        Err(error) => note(&address.to_string(), &error, PAUSE),
    }
}

/// Uses a link until it is lost.
async fn join(state: &Arc<State>, peer: &Arc<Peer>, link: Link, stream: Stream, hello: Hello) {
    events::emit!(links::UP, "host={}", peer.host);
    let (frames, waiting) = mpsc::channel(WAITING);
    let beats = state.heartbeat.subscribe();
    let pace = state.settings.times.heartbeat;
    tokio::spawn(greeting::beat(stream.sender, beats, waiting, pace));
    let (told, others) = (state.clone(), frames.clone());
    tokio::spawn(async move { told.suspects.tell(others).await });
    let joined = Joined {
        link: link.clone(),
        hello,
        frames,
    };
    peer.link.send_replace(Some(joined));
    let read = read(state, peer, stream.receiver);
    let reason = tokio::select! {
        reason = link.closed() => reason,
        reason = read => reason,
        () = state.ended.cancelled() => "closed".into(),
    };
    link.close();
    events::emit!(links::LOST, "host={} reason=\"{reason}\"", peer.host);
}

/// Reads a link's first stream, and says why that ended.
async fn read(state: &State, peer: &Peer, mut receiver: Receiver) -> String {
    loop {
        match receiver.receive().await {
            Ok(Some(Frame::Heartbeat(heartbeat))) => {
                let mut last = peer.heartbeat.lock().expect("no panic while held");
                if heartbeat.leaving && !last.leaving {
                    events::emit!(links::LEAVING, "host={}", peer.host);
                }
                *last = heartbeat;
            }
            Ok(Some(Frame::Suspects(facts))) => state.suspects.merge(&facts),
            Ok(Some(_)) => {}
            Ok(None) => return "ended by the peer".into(),
            Err(error) => return error.to_string(),
        }
    }
}

fn note(host: &str, error: &Error, pause: Duration) {
    match error {
        Error::Foreign(reason) => {
            events::emit!(links::FOREIGN, "host={host} reason=\"{reason}\"");
        }
        Error::Malformed(reason) => {
            events::emit!(links::PROTOCOL, "host={host} reason=\"{reason}\"");
        }
        // A host that is gone stays in the list for a while: say it once a second or less.
        _ if pause >= Duration::from_millis(800) => {
            events::emit!(links::LOST, "host={host} reason=\"{error}\"");
        }
        _ => {}
    }
}
