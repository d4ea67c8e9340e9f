//! Pointers: how an entry finds a generation that another one started.
//!
//! A pointer is a hint. What it names is proved by the digest of what the caller has; without any
//! the answer begins again, which costs time and nothing else.

use std::{
    sync::Arc,
    time::Duration, //
};

use answer::pointer::Pointer;
use futures_util::future::join_all;
use tokio::time::timeout;
use wire::{
    Frame,
    frame::Point, //
};

use crate::{hosts::connector::reach, state::State};

/// Time limit of telling a holder.
const TELL: Duration = Duration::from_secs(2);

/// Tells the holders of a request where its generation runs.
pub(crate) fn tell(state: &Arc<State>, point: Point) {
    for host in state.hosts.holders(&point.request) {
        let state = state.clone();
        let frame = Frame::Point(point.clone());
        tokio::spawn(async move {
            // A holder that can't be told costs a later retry its shortcut, nothing more.
            let _ = timeout(TELL, async {
                let joined = reach(&state, &host).await?;
                let mut stream = joined.link.open().await.ok()?;
                stream.send(&frame).await.ok()?;
                stream.sender.finish();
                stream.sender.stopped().await;
                Some(())
            })
            .await;
        });
    }
}

/// Asks the holders of a request; of two pointers the one of the later epoch counts.
pub(crate) async fn find(state: &Arc<State>, request: &str, limit: Duration) -> Option<Pointer> {
    let asked = state
        .hosts
        .holders(request)
        .into_iter()
        .map(|host| async move {
            let ask = async {
                let joined = reach(state, &host).await?;
                let mut stream = joined.link.open().await.ok()?;
                stream.send(&Frame::Find(request.to_string())).await.ok()?;
                match stream.receive().await {
                    Ok(Some(Frame::Found(found))) => found,
                    _ => None,
                }
            };
            timeout(limit, ask).await.ok().flatten()
        });
    let found = join_all(asked).await.into_iter().flatten();
    found.max_by_key(|pointer| pointer.epoch)
}
