//! The first stream of a link: who is there, then heartbeats both ways.

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
        PROTOCOL, //
    },
    stream::Sender, //
};

/// Greets a peer that we have dialled.
pub async fn initiate(link: &Link, own: &Hello, limit: Duration) -> Result<(Stream, Hello), Error> {
    let greet = async {
        let mut stream = link.open().await?;
        stream.send(&Frame::Hello(own.clone())).await?;
        let hello = expect(link, &mut stream).await?;
        Ok((stream, hello))
    };
    timeout(limit, greet).await.unwrap_or_else(|_| Err(late()))
}

/// Greets a peer that has dialled us.
pub async fn respond(link: &Link, own: &Hello, limit: Duration) -> Result<(Stream, Hello), Error> {
    let greet = async {
        let mut stream = link.accept().await?;
        let hello = expect(link, &mut stream).await?;
        stream.send(&Frame::Hello(own.clone())).await?;
        Ok((stream, hello))
    };
    timeout(limit, greet).await.unwrap_or_else(|_| Err(late()))
}

/// Heartbeats of a link at rest that may be missed before it is lost.
pub const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Paces of heartbeats on one link.
#[derive(Clone, Copy, Debug)]
pub struct Intervals {
    /// While there is work on the link, so that silence is noticed soon.
    pub busy: Duration,
    /// While there is none.
    pub idle: Duration,
}

/// Sends heartbeats, and at once when what they say changes or work begins; between them the
/// frames of `others`. Ends with the link. `work` is the number of pieces of work on the link.
///
/// `heard` tells whether anything came on the link since it was asked last: then a link with work on
/// it needs no heartbeat to show that it lives, but for one at the pace of rest.
pub async fn send_heartbeats(
    mut sender: Sender,
    mut state: watch::Receiver<Heartbeat>,
    mut others: mpsc::Receiver<Frame>,
    mut work: watch::Receiver<u32>,
    pace: Intervals,
    mut heard: impl FnMut() -> bool,
) {
    let mut due = Instant::now();
    let mut last = due;
    loop {
        let mut changed = false;
        let frame = tokio::select! {
            () = sleep_until(due) => None,
            Ok(()) = state.changed() => {
                changed = true;
                None
            }
            Ok(_) = work.wait_for(|work| *work > 0), if due - Instant::now() > pace.busy => None,
            Some(frame) = others.recv() => Some(frame),
        };
        let frame = match frame {
            Some(frame) => frame,
            None => {
                let busy = *work.borrow() > 0;
                let now = Instant::now();
                due = now + if busy { pace.busy } else { pace.idle };
                if heard() && !changed && now < last + pace.idle {
                    continue;
                }
                last = now;
                Frame::Heartbeat(state.borrow_and_update().clone())
            }
        };
        if sender.send(&frame).await.is_err() {
            return;
        }
    }
}

async fn expect(link: &Link, stream: &mut Stream) -> Result<Hello, Error> {
    let Some(Frame::Hello(hello)) = stream.receive().await? else {
        return Err(Error::Malformed("a greeting was expected".into()));
    };
    if hello.protocol != PROTOCOL {
        return Err(Error::Malformed(format!(
            "protocol {} instead of {PROTOCOL}",
            hello.protocol
        )));
    }
    link.verify_host(&hello.host)?;
    Ok(hello)
}

fn late() -> Error {
    Error::Lost("no greeting in time".into())
}
