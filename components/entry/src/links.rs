//! Links to sidecars and to other entries: dialling, answering, and when a link is lost.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use daemon::handshake::{
    self,
    Intervals, //
};
use events::links;
use tokio::{
    sync::mpsc,
    time::{
        Instant,
        sleep, //
    },
};
use tokio_util::sync::CancellationToken;
use wire::{
    Error,
    Frame,
    Link,
    Stream,
    frame::Hello,
    link::Incoming,
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

/// Looks at a busy link within the time of silence.
const LOOKS: u32 = 8;

/// Frames that wait for a link's first stream; beyond it the newest are dropped, since what is
/// sent there is repeated anyway.
const WAITING: usize = 256;

/// Keeps a link to one host: dials, and dials again when the link is lost.
pub(crate) async fn keep(
    state: Arc<State>,
    peer: Arc<Peer>,
    address: SocketAddr,
    stop: CancellationToken,
) {
    let mut pause = PAUSE;
    loop {
        let joined = tokio::select! {
            () = stop.cancelled() => return,
            joined = dial(&state, &peer.host, address) => joined,
        };
        match joined {
            Ok((link, stream, hello)) => {
                pause = PAUSE;
                join(&state, &peer, link, stream, hello, &stop).await;
            }
            Err(error) => note(&peer.host, &error, pause),
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(pause) => {}
        }
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

pub(crate) async fn dial(
    state: &State,
    host: &str,
    address: SocketAddr,
) -> Result<(Link, Stream, Hello), Error> {
    // From a socket of its own: a new link must pass where the last one went silent.
    let link = state.node.dial_from_new_socket(address, host).await?;
    let silence = state.settings.times.silence;
    let (stream, hello) = handshake::initiate(&link, &state.hello, silence).await?;
    Ok((link, stream, hello))
}

/// Answers processes that dial us.
pub(crate) async fn accept(state: Arc<State>) {
    loop {
        let incoming = tokio::select! {
            () = state.ended.cancelled() => return,
            incoming = state.node.accept() => incoming,
        };
        let Some(incoming) = incoming else {
            return;
        };
        tokio::spawn(answer(state.clone(), incoming));
    }
}

async fn answer(state: Arc<State>, incoming: Incoming) {
    let address = incoming.address();
    let silence = state.settings.times.silence;
    let greet = async {
        let link = incoming.accept().await?;
        let (stream, hello) = handshake::respond(&link, &state.hello, silence).await?;
        Ok((link, stream, hello))
    };
    match greet.await {
        Ok((link, stream, hello)) => {
            let peer = state.fleet.peer(&hello.host);
            join(&state, &peer, link, stream, hello, &state.ended).await;
        }
        Err(error) => note(&address.to_string(), &error, PAUSE),
    }
}

/// Uses a link until it is lost.
async fn join(
    state: &Arc<State>,
    peer: &Arc<Peer>,
    link: Link,
    stream: Stream,
    hello: Hello,
    stop: &CancellationToken,
) {
    events::emit!(links::UP, "host={}", peer.host);
    let (frames, waiting) = mpsc::channel(WAITING);
    let beats = state.heartbeat.subscribe();
    let times = &state.settings.times;
    let pace = Intervals {
        busy: times.heartbeat,
        idle: times.rest,
    };
    let heard = {
        let link = link.clone();
        let mut before = 0;
        move || {
            let now = link.bytes().1;
            let heard = now != before;
            before = now;
            heard
        }
    };
    tokio::spawn(handshake::send_heartbeats(
        stream.sender,
        beats,
        waiting,
        peer.work(),
        pace,
        heard,
    ));
    let (told, others) = (state.clone(), frames.clone());
    tokio::spawn(async move { told.suspects.send_changes(others).await });
    let joined = Joined {
        link: link.clone(),
        hello,
        frames,
    };
    state.pool.up(&joined.hello);
    let backend = joined.hello.backend.clone();
    peer.link.send_replace(Some(joined));
    let reason = tokio::select! {
        reason = link.closed() => reason,
        reason = read(state, peer, stream.receiver) => reason,
        () = hush(peer, &link, times.silence) => "silent while there is work on it".into(),
        () = stop.cancelled() => "not needed any more".into(),
    };
    link.close();
    if let Some(backend) = backend {
        state.pool.lost(&backend.server);
    }
    events::emit!(links::LOST, "host={} reason=\"{reason}\"", peer.host);
}

/// Ends when nothing at all came on a link for `silence` while there is work on it.
///
/// The peer is stopped, or something between the two ends has forgotten the connection: then no
/// error ever comes, and an answer would stand still. Our heartbeats on a busy link make the peer
/// send acknowledgements at least, so silence means that it is not there, or not on this link. The
/// limit of a link at rest is longer, as heartbeats are rare there: the transport's idle timeout.
async fn hush(peer: &Peer, link: &Link, silence: Duration) {
    let mut work = peer.work();
    let mut received = link.bytes().1;
    let mut heard = Instant::now();
    loop {
        if *work.borrow_and_update() == 0 {
            // The peer lives as long as the link does, so this wait ends only with work.
            let _ = work.wait_for(|work| *work > 0).await;
            heard = Instant::now();
        }
        sleep(silence / LOOKS).await;
        let now = link.bytes().1;
        if now != received {
            received = now;
            heard = Instant::now();
        }
        if heard.elapsed() >= silence {
            return;
        }
    }
}

/// Reads a link's first stream, and says why that ended.
async fn read(state: &State, peer: &Peer, mut receiver: Receiver) -> String {
    loop {
        match receiver.receive().await {
            Ok(Some(Frame::Heartbeat(heartbeat))) => {
                if peer.hear(heartbeat) {
                    events::emit!(links::LEAVING, "host={}", peer.host);
                }
                state.tell_pool(peer);
            }
            Ok(Some(Frame::Suspects(facts))) => state.suspects.merge(&facts),
            Ok(Some(Frame::Spread(bytes))) => state.documents.message(&peer.host, &bytes),
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
