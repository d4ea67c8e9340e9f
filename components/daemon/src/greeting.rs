//! The first stream of a link: who is there, then heartbeats both ways.

use std::time::Duration;

use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::{
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

/// Sends heartbeats at a fixed pace, and at once when what they say changes; between them the
/// frames of `others`. Ends with the link.
pub async fn beat(
    mut sender: Sender,
    mut state: watch::Receiver<Heartbeat>,
    mut others: mpsc::Receiver<Frame>,
    pace: Duration,
) {
    let mut ticks = interval(pace);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let frame = tokio::select! {
            _ = ticks.tick() => Frame::Heartbeat(state.borrow_and_update().clone()),
            Ok(()) = state.changed() => Frame::Heartbeat(state.borrow_and_update().clone()),
            Some(frame) = others.recv() => frame,
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
    link.confirm(&hello.host)?;
    Ok(hello)
}

fn late() -> Error {
    Error::Lost("no greeting in time".into())
}
