//! Links from other processes, and the streams on them.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use daemon::handshake::{
    self,
    Intervals, //
};
use events::links;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::{
    Error,
    Frame,
    Node,
    Stream,
    link::Incoming,
    stream::Receiver, //
};

use crate::state::State;

/// Accepts and serves links until the sidecar has stopped.
pub(crate) async fn accept(state: Arc<State>, node: Node, stopped: CancellationToken) {
    loop {
        let incoming = tokio::select! {
            () = stopped.cancelled() => return,
            incoming = node.accept() => incoming,
        };
        let Some(incoming) = incoming else {
            return;
        };
        tokio::spawn(serve_link(state.clone(), incoming, stopped.clone()));
    }
}

async fn serve_link(state: Arc<State>, incoming: Incoming, stopped: CancellationToken) {
    let address = incoming.address();
    let link = match incoming.accept().await {
        Ok(link) => link,
        Err(error) => return report_failure(address, &error),
    };
    let handshake_timeout = state.context.settings.times.silence;
    let (control, hello) = match handshake::respond(&link, &state.hello, handshake_timeout).await {
        Ok(accepted) => accepted,
        Err(error) => return report_failure(address, &error),
    };
    events::emit!(links::UP, "host={} address={address}", hello.host);
    let heartbeats = state.heartbeat.subscribe();
    let (extra_frames, pending_frames) = mpsc::channel(1);
    // The entries detect a silent link, so this side only needs heartbeats to report its load.
    // Entries admit and route by that load, so it is sent often while there is work.
    let intervals = Intervals {
        busy: state.context.settings.times.heartbeat,
        idle: state.context.settings.times.rest,
    };
    let concurrency = state.concurrency.subscribe();
    tokio::spawn(handshake::send_heartbeats(
        control.sender,
        heartbeats,
        pending_frames,
        concurrency,
        intervals,
        || false,
    ));
    tokio::spawn(read_control_stream(state.clone(), control.receiver));
    let task_state = state.clone();
    tokio::spawn(async move { task_state.context.suspects.send_changes(extra_frames).await });
    loop {
        let stream = tokio::select! {
            () = stopped.cancelled() => return,
            stream = link.accept() => stream,
        };
        match stream {
            Ok(stream) => tokio::spawn(serve_stream(state.clone(), stream)),
            Err(error) => {
                events::emit!(links::LOST, "host={} reason=\"{error}\"", hello.host);
                return;
            }
        };
    }
}

/// Reads a link's first stream. The sidecar ignores heartbeats, but reading them keeps the stream's
/// flow-control window open.
async fn read_control_stream(state: Arc<State>, mut receiver: Receiver) {
    while let Ok(Some(frame)) = receiver.receive().await {
        if let Frame::Suspects(facts) = frame {
            state.context.suspects.merge(&facts);
        }
    }
}

async fn serve_stream(state: Arc<State>, mut stream: Stream) {
    match stream.receive().await {
        Ok(Some(Frame::Start(start))) => {
            state
                .generations
                .start(&state.context, *start, stream)
                .await
        }
        Ok(Some(Frame::Attach(attach))) => state.generations.attach(attach, stream).await,
        Ok(Some(Frame::Call(call))) => state.calls.handle(&state.context, *call, stream).await,
        Ok(Some(Frame::Point(point))) => state.put_pointer(point),
        Ok(Some(Frame::Find(request))) => {
            let found = Frame::Found(state.get_pointer(&request));
            // The send fails only if the entry has disconnected.
            let _ = stream.send(&found).await;
            stream.sender.finish();
            stream.sender.stopped().await;
        }
        Ok(Some(frame)) => {
            events::emit!(links::MALFORMED, "frame=\"{frame:?}\"");
        }
        Ok(None) | Err(_) => {}
    }
}

fn report_failure(address: SocketAddr, error: &Error) {
    match error {
        Error::Foreign(reason) => {
            events::emit!(links::FOREIGN, "address={address} reason=\"{reason}\"");
        }
        Error::Malformed(reason) => {
            events::emit!(links::PROTOCOL, "address={address} reason=\"{reason}\"");
        }
        _ => events::emit!(links::LOST, "address={address} reason=\"{error}\""),
    }
}
