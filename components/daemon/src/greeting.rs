//! The first stream of a link: who is there, then heartbeats both ways.

use std::time::Duration;

use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::{
        Instant,
        MissedTickBehavior,
        interval,
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
pub async fn dialled(link: &Link, own: &Hello, limit: Duration) -> Result<(Stream, Hello), Error> {
    let greet = async {
        let mut stream = link.open().await?;
        stream.send(&Frame::Hello(own.clone())).await?;
        let hello = expect(link, &mut stream).await?;
        Ok((stream, hello))
    };
    timeout(limit, greet).await.unwrap_or_else(|_| Err(late()))
}

/// Greets a peer that has dialled us.
pub async fn answered(link: &Link, own: &Hello, limit: Duration) -> Result<(Stream, Hello), Error> {
    let greet = async {
        let mut stream = link.accept().await?;
        let hello = expect(link, &mut stream).await?;
        stream.send(&Frame::Hello(own.clone())).await?;
        Ok((stream, hello))
    };
    timeout(limit, greet).await.unwrap_or_else(|_| Err(late()))
}

/// Sends heartbeats, and at once when what they say changes; between them the frames of `others`.
/// Ends with the link.
///
/// `pace` says how long a heartbeat may be off now; it is asked every `shortest`. A link at rest
/// needs few heartbeats, one with work on it many, so that silence is noticed soon.
pub async fn beat(
    mut sender: Sender,
    mut state: watch::Receiver<Heartbeat>,
    mut others: mpsc::Receiver<Frame>,
    shortest: Duration,
    pace: impl Fn() -> Duration,
) {
    let mut ticks = interval(shortest);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last: Option<Instant> = None;
    loop {
        let frame = tokio::select! {
            _ = ticks.tick() => {
                // Half a tick early is better than half a tick late.
                let due = last.is_none_or(|last| last.elapsed() + shortest / 2 >= pace());
                due.then(|| Frame::Heartbeat(state.borrow_and_update().clone()))
            }
            Ok(()) = state.changed() => Some(Frame::Heartbeat(state.borrow_and_update().clone())),
            Some(frame) = others.recv() => Some(frame),
        };
        let Some(frame) = frame else {
            continue;
        };
        if sender.send(&frame).await.is_err() {
            return;
        }
        last = Some(Instant::now());
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
    link.confirm(&hello.host)?;
    Ok(hello)
}

fn late() -> Error {
    Error::Lost("no greeting in time".into())
}
