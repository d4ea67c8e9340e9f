//! Copies of a run's KV cache at other servers.
//!
//! A run's server replicates its KV cache continuously to the server that the request names as the
//! holder. When the holder is lost before the run ends, a copy at another holder is made by a call
//! to the run's server, and refreshed until the run ends. The holder would keep such a copy for
//! seconds after the run, so it is released when it is no longer needed.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use events::{
    forwarding,
    note, //
};
use http::Method;
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        timeout, //
    },
};
use tokio_util::sync::{
    CancellationToken,
    DropGuard, //
};

use crate::{
    context::Context,
    fleet::{
        InFlight,
        Target, //
    },
    protocol::{
        KvCopy,
        Protocol, //
    },
};

/// Timeout of a call that makes a copy. The transfer takes tens of milliseconds, but may be queued
/// behind others.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Share of the retention time of an unused copy after which it is refreshed.
const REFRESH_SHARE: f64 = 0.5;

/// Minimum time between two calls, for engines that keep an unused copy only for a moment.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after a failed call before the next one.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Timeout of a call that releases a copy. A copy that isn't released expires after its retention
/// time.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// A copy that exists or is being made.
pub(super) struct Backup {
    /// Server that holds the copy.
    pub(super) holder: Target,
    /// Counts the memory that the copy occupies at the holder.
    _in_flight: InFlight,
    kind: Kind,
}

enum Kind {
    /// The run's server replicates its KV cache continuously.
    Continuous(KvCopy),
    /// The copy is made by calls to the run's server.
    OnRequest(Replication),
}

/// Replication by calls, which ends when this is dropped.
struct Replication {
    state: Rc<RefCell<State>>,
    _stop: DropGuard,
}

/// State of a copy that is made by calls.
enum State {
    Pending,
    Made(KvCopy),
    /// A run resumes from the copy, which must not be released.
    Taken,
}

impl Backup {
    /// Creates a copy that the run's server replicates continuously.
    pub(super) fn continuous(holder: Target, in_flight: InFlight, id: &str) -> Backup {
        let copy = KvCopy {
            address: holder.address,
            name: id.to_string(),
        };
        Backup {
            holder,
            _in_flight: in_flight,
            kind: Kind::Continuous(copy),
        }
    }

    /// Creates a copy of run `id` by calls to its server `source`. `retention` is the time for
    /// which the holder keeps an unused copy.
    pub(super) fn on_request<P: Protocol + 'static>(
        context: &Rc<Context<P>>,
        source: &Target,
        holder: Target,
        in_flight: InFlight,
        id: &str,
        retention: Duration,
    ) -> Backup {
        let state = Rc::new(RefCell::new(State::Pending));
        let stop = CancellationToken::new();
        let replicator = Replicator {
            context: context.clone(),
            source: source.clone(),
            holder: holder.clone(),
            id: id.to_string(),
            retention,
        };
        spawn_local(replicator.run(state.clone(), stop.clone()));
        Backup {
            holder,
            _in_flight: in_flight,
            kind: Kind::OnRequest(Replication {
                state,
                _stop: stop.drop_guard(),
            }),
        }
    }

    /// Returns the copy, if it exists yet.
    pub(super) fn copy(&self) -> Option<(Target, KvCopy)> {
        let copy = match &self.kind {
            Kind::Continuous(copy) => copy.clone(),
            Kind::OnRequest(replication) => match &*replication.state.borrow() {
                State::Made(copy) => copy.clone(),
                State::Pending | State::Taken => return None,
            },
        };
        Some((self.holder.clone(), copy))
    }

    /// Leaves the copy to a run that resumes from it. One that is still being made is released when
    /// it exists.
    pub(super) fn leave(self) {
        if let Kind::OnRequest(replication) = self.kind {
            let mut state = replication.state.borrow_mut();
            if let State::Made(_) = &*state {
                *state = State::Taken;
            }
        }
    }
}

/// Makes and refreshes a copy by calls to the run's server.
struct Replicator<P> {
    context: Rc<Context<P>>,
    source: Target,
    holder: Target,
    id: String,
    retention: Duration,
}

impl<P: Protocol + 'static> Replicator<P> {
    /// Refreshes the copy until `stop` is cancelled, and releases it then unless it was taken.
    async fn run(self, state: Rc<RefCell<State>>, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let delay = match self.copy().await {
                None => RETRY_DELAY,
                Some(copy) => {
                    let mut state = state.borrow_mut();
                    if !matches!(*state, State::Taken) {
                        *state = State::Made(copy);
                    }
                    let interval = self.retention.mul_f64(REFRESH_SHARE);
                    interval.max(MIN_REFRESH_INTERVAL)
                }
            };
            let _ = timeout(delay, stop.cancelled()).await;
        }
        if let State::Made(copy) = state.replace(State::Taken) {
            self.release(&copy).await;
        }
    }

    /// Copies what is new since the last call.
    async fn copy(&self) -> Option<KvCopy> {
        let began = Instant::now();
        let sender = &self.context.sender;
        let (head, body) = sender
            .protocol()
            .copy_request(&self.id, self.holder.address);
        let call = self.context.call(&self.source, &Method::POST, head, body);
        let response = timeout(CALL_TIMEOUT, call).await.ok().flatten();
        let response = response.and_then(Result::ok);
        let name = response
            .and_then(|(head, body): (_, Bytes)| sender.protocol().parse_copy(&head, &body));
        note!(
            forwarding::KV_COPY_REQUESTED,
            id = self.id.as_str(),
            server = self.source.server.as_str(),
            holder = self.holder.server.as_str(),
            done = name.is_some(),
            ms = began.elapsed().as_millis() as u64
        );
        let name = name?;
        Some(KvCopy {
            address: self.source.address,
            name,
        })
    }

    async fn release(&self, copy: &KvCopy) {
        let sender = &self.context.sender;
        let head = sender.protocol().release_request(&copy.name);
        let call = self
            .context
            .call(&self.source, &Method::DELETE, head, Bytes::new());
        let response = timeout(RELEASE_TIMEOUT, call).await;
        let released = matches!(response, Ok(Some(Ok((head, _)))) if head.status.is_success());
        note!(
            forwarding::KV_COPY_RELEASED,
            id = self.id.as_str(),
            server = self.source.server.as_str(),
            holder = self.holder.server.as_str(),
            done = released
        );
    }
}
