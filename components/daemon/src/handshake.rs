//! The first stream of a link: a handshake in which both sides identify themselves, then heartbeats
//! in both directions.

use std::time::Duration;

use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::{
        Instant,
        sleep_until,
        timeout, //
    },
};
use wire::{
    Error,
    Frame,
    Link,
    Stream,
    frame::{
        Heartbeat,
        Hello,
        PROTOCOL_VERSION, //
    },
    stream::Sender, //
};

/// Performs the handshake on a link that this process dialled, within `limit`.
///
/// # Errors
///
/// [`Error::Malformed`] for another protocol version or another frame than a hello,
/// [`Error::Foreign`] when the peer's certificate isn't for the host that it claims to be,
/// [`Error::Lost`] after the time limit or when the link is lost.
pub async fn initiate(link: &Link, own: &Hello, limit: Duration) -> Result<(Stream, Hello), Error> {
    let handshake = async {
        let mut stream = link.open().await?;
        stream.send(&Frame::Hello(own.clone())).await?;
        let hello = receive_hello(link, &mut stream).await?;
        Ok((stream, hello))
    };
    timeout(limit, handshake)
        .await
        .unwrap_or_else(|_| Err(timed_out()))
}

/// Performs the handshake on a link that the peer dialled, within `limit`. Fails as [`initiate`]
/// does.
pub async fn respond(link: &Link, own: &Hello, limit: Duration) -> Result<(Stream, Hello), Error> {
    let handshake = async {
        let mut stream = link.accept().await?;
        let hello = receive_hello(link, &mut stream).await?;
        stream.send(&Frame::Hello(own.clone())).await?;
        Ok((stream, hello))
    };
    timeout(limit, handshake)
        .await
        .unwrap_or_else(|_| Err(timed_out()))
}

/// Heartbeat intervals of an idle link after which a silent link counts as lost.
pub const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Intervals between heartbeats on one link.
#[derive(Clone, Copy, Debug)]
pub struct Intervals {
    /// Interval while there is work; short, so that silence is detected early.
    pub busy: Duration,
    /// Interval while there is none.
    pub idle: Duration,
}

/// Sends heartbeats, in between the frames of `frames`, until the link ends. A heartbeat is sent at
/// once when its content changes or work begins. `work` is the number of runs and calls for which
/// the link sends heartbeats at the busy interval: those on the link at an entry, those of the
/// whole process at a sidecar.
///
/// `received_since` returns whether anything was received on the link since its last call. If so, a
/// link with work needs no heartbeat to show that it is alive, except one per idle interval.
pub async fn send_heartbeats(
    mut sender: Sender,
    mut state: watch::Receiver<Heartbeat>,
    mut frames: mpsc::Receiver<Frame>,
    mut work: watch::Receiver<u32>,
    intervals: Intervals,
    mut received_since: impl FnMut() -> bool,
) {
    let mut due = Instant::now();
    let mut last_sent = due;
    loop {
        let mut changed = false;
        let frame = tokio::select! {
            () = sleep_until(due) => None,
            Ok(()) = state.changed() => {
                changed = true;
                None
            }
            Ok(_) = work.wait_for(|work| *work > 0),
                if due - Instant::now() > intervals.busy => None,
            Some(frame) = frames.recv() => Some(frame),
        };
        let frame = match frame {
            Some(frame) => frame,
            None => {
                let busy = *work.borrow() > 0;
                let now = Instant::now();
                due = now + if busy { intervals.busy } else { intervals.idle };
                if received_since() && !changed && now < last_sent + intervals.idle {
                    continue;
                }
                last_sent = now;
                Frame::Heartbeat(state.borrow_and_update().clone())
            }
        };
        if sender.send(&frame).await.is_err() {
            return;
        }
    }
}

async fn receive_hello(link: &Link, stream: &mut Stream) -> Result<Hello, Error> {
    let Some(Frame::Hello(hello)) = stream.receive().await? else {
        return Err(Error::Malformed("expected a hello frame".into()));
    };
    if hello.protocol != PROTOCOL_VERSION {
        return Err(Error::Malformed(format!(
            "protocol version {}, expected {PROTOCOL_VERSION}",
            hello.protocol
        )));
    }
    link.verify_host(&hello.host)?;
    Ok(hello)
}

fn timed_out() -> Error {
    Error::Lost("no hello frame within the time limit".into())
}
