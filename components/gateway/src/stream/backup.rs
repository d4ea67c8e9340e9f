//! Copies of a run's KV cache at other servers.
//!
//! A run's server replicates its KV cache as it grows to the server that the request named. When
//! that one is lost before the run ends, another copy is made by a call to the run's server and
//! refreshed until the run ends.

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
    task::{
        JoinHandle,
        spawn_local, //
    },
    time::{
        Instant,
        timeout, //
    },
};

use crate::{
    fleet::{
        InFlight,
        Target, //
    },
    handle::Context, //
    protocol::{
        KvCopy,
        Protocol, //
    },
};

/// Timeout of a call that makes a copy: tens of milliseconds of transfer, queued behind others.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Share of the retention time of an unused copy after which it is refreshed.
const REFRESH_SHARE: f64 = 0.5;

/// Wait after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A copy that exists or is being made.
pub(super) struct Backup {
    /// Server that holds it.
    pub(super) holder: Target,
    /// Counts the memory at the holder.
    _in_flight: InFlight,
    kind: Kind,
}

enum Kind {
    /// The run's server replicates its KV cache continuously.
    Continuous(KvCopy),
    /// Made by calls to the run's server.
    OnRequest(Rc<RefCell<Progress>>),
}

/// Progress of a copy that is made by calls.
#[derive(Default)]
struct Progress {
    copy: Option<KvCopy>,
    next: Option<Instant>,
    call: Option<JoinHandle<()>>,
}

impl Drop for Progress {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            call.abort();
        }
    }
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

    /// Creates a copy that is made by calls.
    pub(super) fn on_request(holder: Target, in_flight: InFlight) -> Backup {
        Backup {
            holder,
            _in_flight: in_flight,
            kind: Kind::OnRequest(Rc::default()),
        }
    }

    /// Returns the copy, if it exists yet.
    pub(super) fn copy(&self) -> Option<KvCopy> {
        match &self.kind {
            Kind::Continuous(copy) => Some(copy.clone()),
            Kind::OnRequest(progress) => progress.borrow().copy.clone(),
        }
    }

    /// Refreshes a copy that is made by calls when it is due.
    pub(super) fn refresh<P: Protocol + 'static>(
        &self,
        context: &Rc<Context<P>>,
        source: &Target,
        id: &str,
        kept: Duration,
    ) {
        let Kind::OnRequest(progress) = &self.kind else {
            return;
        };
        let mut inner = progress.borrow_mut();
        let busy = inner.call.as_ref().is_some_and(|call| !call.is_finished());
        if busy || inner.next.is_some_and(|next| next > Instant::now()) {
            return;
        }
        let call = CopyCall {
            context: context.clone(),
            source: source.clone(),
            holder: self.holder.clone(),
            id: id.to_string(),
            kept,
        };
        let progress = Rc::downgrade(progress);
        inner.call = Some(spawn_local(async move {
            let result = call.run().await;
            let Some(progress) = progress.upgrade() else {
                return;
            };
            let mut inner = progress.borrow_mut();
            let wait = match &result {
                Some(_) => call.kept.mul_f64(REFRESH_SHARE),
                None => RETRY_DELAY,
            };
            inner.next = Some(Instant::now() + wait);
            if result.is_some() {
                inner.copy = result;
            }
        }));
    }
}

/// One call that makes or refreshes a copy.
struct CopyCall<P> {
    context: Rc<Context<P>>,
    source: Target,
    holder: Target,
    id: String,
    kept: Duration,
}

impl<P: Protocol> CopyCall<P> {
    async fn run(&self) -> Option<KvCopy> {
        let began = Instant::now();
        let sender = &self.context.sender;
        let (head, body) = sender
            .protocol()
            .copy_request(&self.id, self.holder.address);
        let answer = timeout(
            CALL_TIMEOUT,
            sender.call(&self.source, &Method::POST, head, body),
        )
        .await;
        let answer = answer.ok().and_then(Result::ok);
        let name =
            answer.and_then(|(head, body): (_, Bytes)| sender.protocol().parse_copy(&head, &body));
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
}
