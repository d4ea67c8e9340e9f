//! Publishes and looks up pointers, by which an entry finds a generation that another one started.
//!
//! A pointer is a hint. The digest of the text that the caller has verifies the generation that it
//! names. Without a pointer the answer starts over, which only costs time.

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

use crate::{hosts::connector::connect, state::State};

/// Time limit for sending a pointer to a holder.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends the location of a generation to the holders of its request.
pub(crate) fn publish(state: &Arc<State>, point: Point) {
    for host in state.hosts.holders(&point.request) {
        let state = state.clone();
        let frame = Frame::Point(point.clone());
        tokio::spawn(async move {
            // Without the pointer, a later retry only has to start the answer over.
            let _ = timeout(PUBLISH_TIMEOUT, async {
                let connection = connect(&state, &host).await?;
                let mut stream = connection.link.open().await.ok()?;
                stream.send(&frame).await.ok()?;
                stream.sender.finish();
                stream.sender.stopped().await;
                Some(())
            })
            .await;
        });
    }
}

/// Asks the holders of a request for its pointer, within `limit` each. Of several pointers, returns
/// the one with the latest epoch.
pub(crate) async fn find(state: &Arc<State>, request: &str, limit: Duration) -> Option<Pointer> {
    let lookups = state
        .hosts
        .holders(request)
        .into_iter()
        .map(|host| async move {
            let lookup = async {
                let connection = connect(state, &host).await?;
                let mut stream = connection.link.open().await.ok()?;
                stream.send(&Frame::Find(request.to_string())).await.ok()?;
                match stream.receive().await {
                    Ok(Some(Frame::Found(found))) => found,
                    _ => None,
                }
            };
            timeout(limit, lookup).await.ok().flatten()
        });
    let found = join_all(lookups).await.into_iter().flatten();
    found.max_by_key(|pointer| pointer.epoch)
}
