//! One epoch of an answer: opens the stream to its sidecar, and converts the received frames into
//! events of `answer::resume`.

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
use daemon::suspects::SharedDetector;
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
        Connection,
        Peer, //
    },
    hosts::connector::{
        connect,
        dial, //
    },
    pool::InFlight,
    state::State,
};

/// Time within which the sidecar answers an attach over a working link.
const ATTACH_TIMEOUT: Duration = Duration::from_millis(150);

/// Epoch of an answer, with the data that is needed to attach to it again.
pub(crate) struct EpochHandle {
    pub(crate) epoch: Epoch,
    pub(crate) nonce: Nonce,
    pub(crate) server: Server,
    pub(crate) peer: Arc<Peer>,
    /// Receives the facts that a sidecar sends about a crash, before the end of the epoch.
    pub(crate) suspects: Arc<SharedDetector>,
    /// Cancelled when the answer no longer needs this epoch.
    pub(crate) cancel: CancellationToken,
    /// Number of the current stream; the loss of an earlier one is ignored.
    pub(crate) stream_number: AtomicU32,
    /// Usage of the epoch, once it has ended.
    pub(crate) usage: Mutex<Usage>,
    /// Reason for which the sidecar refused the epoch, if it did.
    pub(crate) refused: Mutex<Option<Reason>>,
    /// Counts the work at the replica while the epoch is needed.
    pub(crate) in_flight: InFlight,
}

/// Channel for the events of an epoch.
pub(crate) type Events = mpsc::Sender<Event>;

/// Starts a generation at the chosen sidecar and forwards its events.
pub(crate) async fn start(
    attempt: Arc<EpochHandle>,
    connection: Connection,
    start: Start,
    events: Events,
) {
    let epoch = attempt.epoch;
    let opened = async {
        let mut stream = connection.link.open().await?;
        stream.send(&Frame::Start(Box::new(start))).await?;
        Ok::<_, wire::Error>(stream)
    };
    // Placed even on an error, after which the sidecar may still have received the frame.
    let opened = opened.await;
    let server = attempt.server.clone();
    forward(&events, Event::Placed { epoch, server }).await;
    match opened {
        Ok(stream) => read_events(&attempt, stream, &events, false).await,
        Err(_) => forward(&events, Event::LinkLost { epoch }).await,
    }
}

/// Attaches to a running generation over a new stream to its sidecar, and forwards its events.
pub(crate) async fn attach(
    state: Arc<State>,
    attempt: Arc<EpochHandle>,
    request: Request,
    from: Index,
    events: Events,
) {
    attempt.stream_number.fetch_add(1, Ordering::AcqRel);
    let frame = Frame::Attach(Attach {
        request,
        epoch: attempt.epoch,
        nonce: attempt.nonce,
        from,
    });
    let epoch = attempt.epoch;
    let host = &attempt.peer.host;
    let over_current_link = async {
        let connection = connect(&state, host).await?;
        exchange(&connection.link, &frame).await
    };
    if let Ok(Some((stream, first))) = timeout(ATTACH_TIMEOUT, over_current_link).await {
        handle_attach(&attempt, stream, first, &events).await;
        return;
    }
    // No answer over the current link. The link may be dead while the sidecar is healthy, and to
    // wait until missing heartbeats show that would delay the caller by seconds. So another link is
    // dialled.
    let over_new_link = async {
        let (link, _control) = dial(&state, host).await?;
        let (stream, first) = exchange(&link, &frame).await?;
        Some((link, _control, stream, first))
    };
    match timeout(state.settings.times.silence, over_new_link).await {
        Ok(Some((link, _control, stream, first))) => {
            handle_attach(&attempt, stream, first, &events).await;
            link.close();
        }
        _ => forward(&events, Event::LinkLost { epoch }).await,
    }
}

/// Opens a stream, sends a frame, and returns the stream with the first frame received.
async fn exchange(link: &Link, frame: &Frame) -> Option<(Stream, Frame)> {
    let mut stream = link.open().await.ok()?;
    stream.send(frame).await.ok()?;
    let first = stream.receive().await.ok()??;
    Some((stream, first))
}

/// Handles the first frame after an attach, and the events after it if that succeeded.
async fn handle_attach(attempt: &EpochHandle, stream: Stream, first: Frame, events: &Events) {
    let Some(event) = to_event(attempt, first, true) else {
        return;
    };
    let attached = matches!(event, Event::Attached { .. });
    forward(events, event).await;
    if attached {
        read_events(attempt, stream, events, true).await;
    }
}

/// Forwards events until the last one, or until the epoch is cancelled.
async fn read_events(attempt: &EpochHandle, stream: Stream, events: &Events, attached: bool) {
    let Stream {
        mut sender,
        mut receiver,
    } = stream;
    let stream_number = attempt.stream_number.load(Ordering::Acquire);
    let read = async {
        loop {
            let event = match receiver.receive().await {
                Ok(Some(frame)) => to_event(attempt, frame, attached),
                Ok(None) | Err(_) => Some(Event::LinkLost {
                    epoch: attempt.epoch,
                }),
            };
            let Some(event) = event else {
                continue;
            };
            let outdated = stream_number != attempt.stream_number.load(Ordering::Acquire);
            if outdated && matches!(event, Event::LinkLost { .. }) {
                return;
            }
            let last = !matches!(event, Event::Tokens { .. } | Event::Attached { .. });
            forward(events, event).await;
            if last {
                return;
            }
        }
    };
    let cancelled = tokio::select! {
        // The driver may end right after it cancels. The cancel must win over the closed channel,
        // or the engine would go on until the sidecar's grace time ends.
        biased;
        () = attempt.cancel.cancelled() => true,
        () = read => false,
        // The driver has ended; the sidecar ends the generation after its grace time.
        () = events.closed() => false,
    };
    if cancelled {
        // When the link is down, the sidecar ends the generation after its grace time.
        let _ = sender.send(&Frame::Cancel).await;
        sender.finish();
        sender.stopped().await;
    }
}

/// Converts a frame to an event; returns `None` for a frame that causes none.
fn to_event(attempt: &EpochHandle, frame: Frame, attached: bool) -> Option<Event> {
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
            attempt
                .in_flight
                .set_outcome(Outcome::Refused { retry_after });
            Some(Event::Refused { epoch, retry_after })
        }
        Frame::Tokens(tokens) => {
            attempt.in_flight.record_first_output();
            Some(Event::Tokens {
                epoch,
                index: tokens.index,
                tokens: tokens.tokens,
            })
        }
        Frame::End(end) => {
            match end.finish {
                Finish::Stop | Finish::Length => attempt.in_flight.set_served(),
                // A cancel by an entry and a full log say nothing about the replica.
                Finish::Broken(Breakage::Cancelled | Breakage::LogFull) => {}
                Finish::Broken(_) => attempt.in_flight.set_outcome(Outcome::Failed),
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

/// Sends an event to the driver of the answer.
async fn forward(events: &Events, event: Event) {
    // Fails when the answer has ended.
    let _ = events.send(event).await;
}
