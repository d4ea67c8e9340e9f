//! Links to sidecars and to other entries: dialling, accepting, and detection of lost links.

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
    time::sleep, //
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
        Connection,
        Peer, //
    },
    state::State,
};

/// First pause between two attempts to dial a host.
const MIN_DIAL_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two attempts to dial a host.
const MAX_DIAL_PAUSE: Duration = Duration::from_secs(2);

/// Number of checks of a busy link within the silence timeout.
const SILENCE_CHECKS_PER_TIMEOUT: u32 = 8;

/// Maximum number of frames queued for a link's control stream. When the queue is full, the newest
/// are dropped, since everything on that stream is sent again later.
const FRAME_QUEUE_CAPACITY: usize = 256;

/// Maintains a link to one host: dials it, and redials when the link is lost.
pub(crate) async fn maintain(
    state: Arc<State>,
    peer: Arc<Peer>,
    address: SocketAddr,
    stop: CancellationToken,
) {
    let mut pause = MIN_DIAL_PAUSE;
    loop {
        let connection = tokio::select! {
            () = stop.cancelled() => return,
            connection = dial(&state, &peer.host, address) => connection,
        };
        match connection {
            Ok((link, stream, hello)) => {
                pause = MIN_DIAL_PAUSE;
                run(&state, &peer, link, stream, hello, &stop).await;
            }
            Err(error) => log_failure(&peer.host, &error, pause),
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(pause) => {}
        }
        pause = (pause * 2).min(MAX_DIAL_PAUSE);
    }
}

/// Dials a host, and performs the handshake within the silence timeout.
pub(crate) async fn dial(
    state: &State,
    host: &str,
    address: SocketAddr,
) -> Result<(Link, Stream, Hello), Error> {
    // Each link has its own socket: a new link must get through even if the path of the last one,
    // with the same addresses and ports, no longer carries packets.
    let link = state.node.dial_from_new_socket(address, host).await?;
    let silence = state.settings.times.silence;
    let (stream, hello) = handshake::initiate(&link, &state.hello, silence).await?;
    Ok((link, stream, hello))
}

/// Accepts links from processes that dial this entry.
pub(crate) async fn accept(state: Arc<State>) {
    loop {
        let incoming = tokio::select! {
            () = state.stopped.cancelled() => return,
            incoming = state.node.accept() => incoming,
        };
        let Some(incoming) = incoming else {
            return;
        };
        tokio::spawn(serve(state.clone(), incoming));
    }
}

/// Answers the handshake of an incoming link, and runs the link.
async fn serve(state: Arc<State>, incoming: Incoming) {
    let address = incoming.address();
    let silence = state.settings.times.silence;
    let handshake = async {
        let link = incoming.accept().await?;
        let (stream, hello) = handshake::respond(&link, &state.hello, silence).await?;
        Ok((link, stream, hello))
    };
    match handshake.await {
        Ok((link, stream, hello)) => {
            let peer = state.fleet.peer(&hello.host);
            run(&state, &peer, link, stream, hello, &state.stopped).await;
        }
        Err(error) => log_failure(&address.to_string(), &error, MIN_DIAL_PAUSE),
    }
}

/// Runs a link until it is lost.
async fn run(
    state: &Arc<State>,
    peer: &Arc<Peer>,
    link: Link,
    stream: Stream,
    hello: Hello,
    stop: &CancellationToken,
) {
    events::emit!(links::UP, "host={}", peer.host);
    let (frames, queued) = mpsc::channel(FRAME_QUEUE_CAPACITY);
    let heartbeats = state.heartbeat.subscribe();
    let times = &state.settings.times;
    let heartbeat_intervals = Intervals {
        busy: times.heartbeat,
        idle: times.rest,
    };
    let received_any = {
        let link = link.clone();
        let mut before = 0;
        move || {
            let now = link.bytes().1;
            let received_any = now != before;
            before = now;
            received_any
        }
    };
    tokio::spawn(handshake::send_heartbeats(
        stream.sender,
        heartbeats,
        queued,
        peer.watch_work(),
        heartbeat_intervals,
        received_any,
    ));
    let (shared, sender) = (state.clone(), frames.clone());
    tokio::spawn(async move { shared.suspects.send_changes(sender).await });
    let connection = Connection {
        link: link.clone(),
        hello,
        frames,
    };
    state.pool.add(&connection.hello);
    let backend = connection.hello.backend.clone();
    peer.connection.send_replace(Some(connection));
    let reason = tokio::select! {
        reason = link.closed() => reason,
        reason = read_frames(state, peer, stream.receiver) => reason,
        () = detect_silence(peer, &link, times.silence) => "silent while work is in progress".into(),
        () = stop.cancelled() => "no longer needed".into(),
    };
    link.close();
    if let Some(backend) = backend {
        state.pool.remove(&backend.server);
    }
    events::emit!(links::LOST, "host={} reason=\"{reason}\"", peer.host);
}

/// Returns when a link with work in progress has received no bytes for `silence`.
///
/// When the peer is stopped, or a middlebox has dropped the connection, no error is ever reported
/// and an answer would stall. The heartbeats of this entry on a busy link make the peer send at
/// least acknowledgements, so silence means that the peer, or the path to it, is gone. An idle link
/// has few heartbeats; there the longer idle timeout of the transport applies.
async fn detect_silence(peer: &Peer, link: &Link, silence: Duration) {
    let mut work = peer.watch_work();
    let mut received = link.bytes().1;
    // Counted in checks: after a pause of this process, what arrived meanwhile is still unread, and
    // the pause counts as one check.
    let mut silent_checks = 0;
    while silent_checks < SILENCE_CHECKS_PER_TIMEOUT {
        if *work.borrow_and_update() == 0 {
            // The peer, and with it the sender, outlives the link: this wait ends only with work.
            let _ = work.wait_for(|work| *work > 0).await;
            silent_checks = 0;
        }
        sleep(silence / SILENCE_CHECKS_PER_TIMEOUT).await;
        let now = link.bytes().1;
        if now != received {
            received = now;
            silent_checks = 0;
        } else {
            silent_checks += 1;
        }
    }
}

/// Handles the frames of a link's control stream, and returns the reason for its end.
async fn read_frames(state: &State, peer: &Peer, mut receiver: Receiver) -> String {
    loop {
        match receiver.receive().await {
            Ok(Some(Frame::Heartbeat(heartbeat))) => {
                if peer.record_heartbeat(heartbeat) {
                    events::emit!(links::LEAVING, "host={}", peer.host);
                }
                state.update_pool(peer);
            }
            Ok(Some(Frame::Suspects(facts))) => state.suspects.merge(&facts),
            Ok(Some(Frame::Spread(bytes))) => state.documents.receive(&peer.host, &bytes),
            Ok(Some(_)) => {}
            Ok(None) => return "closed by the peer".into(),
            Err(error) => return error.to_string(),
        }
    }
}

/// Pause before the next dial from which a failed one is logged.
const MIN_LOGGED_PAUSE: Duration = Duration::from_millis(800);

/// Logs a failed dial or handshake.
fn log_failure(host: &str, error: &Error, pause: Duration) {
    match error {
        Error::Foreign(reason) => {
            events::emit!(links::FOREIGN, "host={host} reason=\"{reason}\"");
        }
        Error::Malformed(reason) => {
            events::emit!(links::PROTOCOL, "host={host} reason=\"{reason}\"");
        }
        // A host that is gone stays in the list for a while. Failures to dial it are logged only at
        // the longer pauses, about once a second at most.
        _ if pause >= MIN_LOGGED_PAUSE => {
            events::emit!(links::LOST, "host={host} reason=\"{error}\"");
        }
        _ => {}
    }
}
