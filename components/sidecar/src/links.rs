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

pub(crate) async fn accept(state: Arc<State>, node: Node, ended: CancellationToken) {
    loop {
        let incoming = tokio::select! {
            () = ended.cancelled() => return,
            incoming = node.accept() => incoming,
        };
        let Some(incoming) = incoming else {
            return;
        };
        tokio::spawn(answer(state.clone(), incoming, ended.clone()));
    }
}

async fn answer(state: Arc<State>, incoming: Incoming, ended: CancellationToken) {
    let address = incoming.address();
    let link = match incoming.accept().await {
        Ok(link) => link,
        Err(error) => return refuse(address, &error),
    };
    let silence = state.shared.settings.times.silence;
    let (first, hello) = match handshake::respond(&link, &state.hello, silence).await {
        Ok(greeted) => greeted,
        Err(error) => return refuse(address, &error),
    };
    events::emit!(links::UP, "host={} address={address}", hello.host);
    let beats = state.heartbeat.subscribe();
    let (others, waiting) = mpsc::channel(1);
    // Watching for silence is left to the entries; but they admit and route by the load that the
    // heartbeats carry, so it must not be old while there is some.
    let pace = Intervals {
        busy: state.shared.settings.times.heartbeat,
        idle: state.shared.settings.times.rest,
    };
    let work = state.work.changes();
    tokio::spawn(handshake::send_heartbeats(
        first.sender,
        beats,
        waiting,
        work,
        pace,
        || false,
    ));
    tokio::spawn(listen(state.clone(), first.receiver));
    let told = state.clone();
    tokio::spawn(async move { told.shared.suspects.send_changes(others).await });
    loop {
        let stream = tokio::select! {
            () = ended.cancelled() => return,
            stream = link.accept() => stream,
        };
        match stream {
            Ok(stream) => tokio::spawn(serve(state.clone(), stream)),
            Err(error) => {
                events::emit!(links::LOST, "host={} reason=\"{error}\"", hello.host);
                return;
            }
        };
    }
}

/// Reads a link's first stream. What heartbeats say is of no use to a sidecar; that they are read
/// keeps the stream's window open.
async fn listen(state: Arc<State>, mut receiver: Receiver) {
    while let Ok(Some(frame)) = receiver.receive().await {
        if let Frame::Suspects(facts) = frame {
            state.shared.suspects.merge(&facts);
        }
    }
}

async fn serve(state: Arc<State>, mut stream: Stream) {
    match stream.receive().await {
        Ok(Some(Frame::Start(start))) => {
            state.generations.start(&state.shared, *start, stream).await
        }
        Ok(Some(Frame::Attach(attach))) => state.generations.attach(attach, stream).await,
        Ok(Some(Frame::Call(call))) => state.calls.call(&state.shared, *call, stream).await,
        Ok(Some(Frame::Point(point))) => state.point(point),
        Ok(Some(Frame::Find(request))) => {
            let found = Frame::Found(state.find(&request));
            // An entry that is gone needs no answer.
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

fn refuse(address: SocketAddr, error: &Error) {
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
