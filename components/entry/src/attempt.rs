//! One epoch of an answer: a stream to a sidecar, turned into events for the answer's decisions.

use std::{
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicU32,
            Ordering, //
        }, //
    },
    time::Duration,
};

use answer::{
    Breakage,
    Finish,
    resume::Event, //
};
use daemon::suspects::Suspects;
use names::{
    Epoch,
    Index,
    Nonce,
    Request,
    Server, //
};
use routing::Outcome;
use tokio::{
    sync::mpsc,
    time::timeout, //
};
use tokio_util::sync::CancellationToken;
use wire::{
    Frame,
    Link,
    Stream,
    frame::{
        Attach,
        Reason,
        Start,
        Usage, //
    }, //
};

use crate::{
    fleet::{
        Joined,
        Peer, //
    },
    hosts::connector::{
        dial,
        reach, //
    },
    pool::Sent,
    state::State,
};

/// Time within which a link that works answers.
const ANSWER: Duration = Duration::from_millis(150);

/// What an epoch needs to run and to be found again.
pub(crate) struct Attempt {
    pub(crate) epoch: Epoch,
    pub(crate) nonce: Nonce,
    pub(crate) server: Server,
    pub(crate) peer: Arc<Peer>,
    /// Takes what the sidecar knows of a death, ahead of the end.
    pub(crate) suspects: Arc<Suspects>,
    /// Cancelled when the answer goes on without this epoch.
    pub(crate) cancel: CancellationToken,
    /// Number of the link that is listened to; what an earlier one says about itself is outdated.
    pub(crate) turn: AtomicU32,
    /// What the epoch cost, once it has ended.
    pub(crate) usage: Mutex<Usage>,
    /// Why the sidecar refused the epoch, if it did.
    pub(crate) refused: Mutex<Option<Reason>>,
    /// Counts the work at the replica while the epoch is wanted.
    pub(crate) sent: Sent,
}

/// Where the events of an epoch go.
pub(crate) type Events = mpsc::Sender<Event>;

/// Sends a generation to the chosen sidecar and listens to it.
pub(crate) async fn start(attempt: Arc<Attempt>, joined: Joined, start: Start, events: Events) {
    let epoch = attempt.epoch;
    let begun = async {
        let mut stream = joined.link.open().await?;
        stream.send(&Frame::Start(Box::new(start))).await?;
        Ok::<_, wire::Error>(stream)
    };
    // Placed even when the sending failed: an error doesn't tell whether the sidecar has it.
    let begun = begun.await;
    let server = attempt.server.clone();
    give(&events, Event::Placed { epoch, server }).await;
    match begun {
        Ok(stream) => listen(&attempt, stream, &events, false).await,
        Err(_) => give(&events, Event::LinkLost { epoch }).await,
    }
}

/// Listens to a generation over a new stream to its sidecar.
pub(crate) async fn attach(
    state: Arc<State>,
    attempt: Arc<Attempt>,
    request: Request,
    from: Index,
    events: Events,
) {
    attempt.turn.fetch_add(1, Ordering::AcqRel);
    let frame = Frame::Attach(Attach {
        request,
        epoch: attempt.epoch,
        nonce: attempt.nonce,
        from,
    });
    let epoch = attempt.epoch;
    let host = &attempt.peer.host;
    let known = async {
        let joined = reach(&state, host).await?;
        ask(&joined.link, &frame).await
    };
    if let Ok(Some((stream, first))) = timeout(ANSWER, known).await {
        follow(&attempt, stream, first, &events).await;
        return;
    }
    // The link that there is doesn't answer. It may have gone silent for good while the sidecar is
    // well; whoever waits for its heartbeats to tell makes the caller wait for seconds.
    let fresh = async {
        let (link, _beats) = dial(&state, host).await?;
        let (stream, first) = ask(&link, &frame).await?;
        Some((link, _beats, stream, first))
    };
    match timeout(state.settings.times.silence, fresh).await {
        Ok(Some((link, _beats, stream, first))) => {
            follow(&attempt, stream, first, &events).await;
            link.close();
        }
        _ => give(&events, Event::LinkLost { epoch }).await,
    }
}

/// Opens a stream with a frame, and waits for the first one that comes back.
async fn ask(link: &Link, frame: &Frame) -> Option<(Stream, Frame)> {
    let mut stream = link.open().await.ok()?;
    stream.send(frame).await.ok()?;
    let first = stream.receive().await.ok()??;
    Some((stream, first))
}

async fn follow(attempt: &Attempt, stream: Stream, first: Frame, events: &Events) {
    let Some(event) = sort(attempt, first, true) else {
        return;
    };
    let attached = matches!(event, Event::Attached { .. });
    give(events, event).await;
    if attached {
        listen(attempt, stream, events, true).await;
    }
}

async fn listen(attempt: &Attempt, stream: Stream, events: &Events, attached: bool) {
    let Stream {
        mut sender,
        mut receiver,
    } = stream;
    let turn = attempt.turn.load(Ordering::Acquire);
    let read = async {
        loop {
            let event = match receiver.receive().await {
                Ok(Some(frame)) => sort(attempt, frame, attached),
                Ok(None) | Err(_) => Some(Event::LinkLost {
                    epoch: attempt.epoch,
                }),
            };
            let Some(event) = event else {
                continue;
            };
            let outdated = turn != attempt.turn.load(Ordering::Acquire);
            if outdated && matches!(event, Event::LinkLost { .. }) {
                return;
            }
            let last = !matches!(event, Event::Tokens { .. } | Event::Attached { .. });
            give(events, event).await;
            if last {
                return;
            }
        }
    };
    let cancelled = tokio::select! {
        // The driver cancels and is gone at once: a cancel that lost against its going would leave
        // the engine writing for nobody until the sidecar's grace time ends.
        biased;
        () = attempt.cancel.cancelled() => true,
        () = read => false,
        // The answer's driver is gone; the sidecar's grace time decides about the generation.
        () = events.closed() => false,
    };
    if cancelled {
        // When the link is down, the sidecar ends the generation after its grace time.
        let _ = sender.send(&Frame::Cancel).await;
        sender.finish();
        sender.stopped().await;
    }
}

/// Turns a frame into an event; none when there is nothing to tell.
fn sort(attempt: &Attempt, frame: Frame, attached: bool) -> Option<Event> {
    let epoch = attempt.epoch;
    match frame {
        Frame::Started if attached => Some(Event::Attached { epoch }),
        Frame::Started => None,
        Frame::Suspects(facts) => {
            attempt.suspects.merge(&facts);
            None
        }
        Frame::Missing => Some(Event::AttachMissed { epoch }),
        Frame::Refused(refused) => {
            let retry_after = refused.retry_after;
            *attempt.refused.lock().expect("no panic while held") = Some(refused.reason);
            attempt.sent.ended(Outcome::Refused { retry_after });
            Some(Event::Refused { epoch, retry_after })
        }
        Frame::Tokens(tokens) => {
            attempt.sent.answered();
            Some(Event::Tokens {
                epoch,
                index: tokens.index,
                tokens: tokens.tokens,
            })
        }
        Frame::End(end) => {
            match end.finish {
                Finish::Stop | Finish::Length => attempt.sent.served(),
                // That an entry cancelled it says nothing about the replica.
                Finish::Broken(Breakage::Cancelled | Breakage::LogFull) => {}
                Finish::Broken(_) => attempt.sent.ended(Outcome::Failed),
            }
            *attempt.usage.lock().expect("no panic while held") = end.usage;
            Some(Event::End {
                epoch,
                total: end.total,
                finish: end.finish,
            })
        }
        _ => Some(Event::LinkLost { epoch }),
    }
}

async fn give(events: &Events, event: Event) {
    // The driver is gone when the answer has ended.
    let _ = events.send(event).await;
}
