//! Calls to plain services, through the sidecars beside them.

use std::sync::Arc;

use environment::document::Provision;
use events::calls;
use tokio::time::timeout;
use wire::{
    Frame,
    frame::{
        Call,
        Reply, //
    },
};

use crate::{
    fleet::Joined,
    problem::{
        Code,
        Problem,
        Run, //
    },
    state::State,
};

/// Time to come back when no replica is to be had.
const NO_REPLICA: std::time::Duration = std::time::Duration::from_secs(1);

/// Replicas that a call which may be repeated is tried at.
const TRIES: usize = 2;

/// A service's answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
    pub(crate) replayed: bool,
}

/// What became of one try of a call.
enum Tried {
    Answered(Reply),
    /// No byte left this process.
    NotSent,
    /// The call left, and nothing came back.
    Lost,
}

/// Makes a call.
pub(crate) async fn call(
    state: &Arc<State>,
    provision: &Provision,
    version: &str,
    call: Call,
) -> Result<Answer, Problem> {
    let release = provision
        .versions
        .iter()
        .find(|release| release.name == version)
        .ok_or_else(|| Problem::new(Code::Unavailable, "the route has no such version"))?;
    let mut avoid = Vec::new();
    let mut lost = false;
    for _ in 0..TRIES {
        let Some((peer, joined, server)) = state.fleet.choose(&provision.name, release, &avoid)
        else {
            break;
        };
        let _sent = peer.send();
        match send(state, &joined, &call).await {
            Tried::Answered(Reply::Ran {
                status,
                content_type,
                body,
                replayed,
            }) => {
                return Ok(Answer {
                    status,
                    content_type,
                    body,
                    replayed,
                });
            }
            Tried::Answered(Reply::NotRun(_)) | Tried::NotSent => {}
            Tried::Answered(Reply::Unknown) | Tried::Lost if call.repeatable => {}
            Tried::Answered(Reply::Unknown) | Tried::Lost => {
                lost = true;
                break;
            }
        }
        avoid.push(server);
    }
    if lost {
        events::emit!(
            calls::UNKNOWN,
            "service={} key={:?}",
            provision.name,
            call.key
        );
        let message = "the call was handed over and its answer was lost";
        return Err(Problem::new(Code::Unknown, message).run(Run::Unknown));
    }
    Err(Problem::new(
        Code::Unavailable,
        "no replica of the service takes the call",
    )
    .retry(NO_REPLICA))
}

async fn send(state: &State, joined: &Joined, call: &Call) -> Tried {
    let Ok(mut stream) = joined.link.open().await else {
        return Tried::NotSent;
    };
    let answered = async {
        stream
            .send(&Frame::Call(Box::new(call.clone())))
            .await
            .ok()?;
        match stream.receive().await {
            Ok(Some(Frame::Reply(reply))) => Some(reply),
            Ok(_) | Err(_) => None,
        }
    };
    match timeout(state.settings.times.call, answered).await {
        Ok(Some(reply)) => Tried::Answered(reply),
        Ok(None) | Err(_) => Tried::Lost,
    }
}
