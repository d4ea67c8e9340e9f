//! Copies of a run's memory at other servers.
//!
//! A run's own server sends its memory on as it grows to the server that the request named. That
//! server can be lost before the run is; the copy is then made anew, by asking the run's server,
//! and kept up to date until the run ends.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use events::{
    direct,
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
        Charge,
        Chosen, //
    },
    handle::Context, //
    protocol::{
        KvCopy,
        Protocol, //
    },
};

/// Time for one call that makes a copy: tens of milliseconds of transfer, behind others.
const CALL: Duration = Duration::from_secs(2);

/// Part of the time for which an unused copy is kept after which it is brought up to date.
const REFRESH: f64 = 0.5;

/// Time before the next try after one that failed.
const AGAIN: Duration = Duration::from_millis(500);

/// A copy, or what is to become one.
pub(super) struct Backup {
    /// The server that holds it.
    pub(super) holder: Chosen,
    /// Counts the memory at the holder.
    _charge: Charge,
    kind: Kind,
}

enum Kind {
    /// The run's server sends its memory there as it grows.
    Running(KvCopy),
    /// Made on request.
    Asked(Rc<RefCell<Progress>>),
}

/// How far a copy on request is.
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
    /// A copy that the run's server makes by itself.
    pub(super) fn running(holder: Chosen, charge: Charge, id: &str) -> Backup {
        let copy = KvCopy {
            address: holder.address,
            name: id.to_string(),
        };
        Backup {
            holder,
            _charge: charge,
            kind: Kind::Running(copy),
        }
    }

    /// A copy that is to be made on request.
    pub(super) fn asked(holder: Chosen, charge: Charge) -> Backup {
        Backup {
            holder,
            _charge: charge,
            kind: Kind::Asked(Rc::default()),
        }
    }

    /// The copy, as far as there is one.
    pub(super) fn copy(&self) -> Option<KvCopy> {
        match &self.kind {
            Kind::Running(copy) => Some(copy.clone()),
            Kind::Asked(progress) => progress.borrow().copy.clone(),
        }
    }

    /// Brings a copy on request up to date when it is time.
    pub(super) fn refresh<P: Protocol + 'static>(
        &self,
        context: &Rc<Context<P>>,
        source: &Chosen,
        id: &str,
        kept: Duration,
    ) {
        let Kind::Asked(progress) = &self.kind else {
            return;
        };
        let mut inner = progress.borrow_mut();
        let busy = inner.call.as_ref().is_some_and(|call| !call.is_finished());
        if busy || inner.next.is_some_and(|next| next > Instant::now()) {
            return;
        }
        let call = Call {
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
                Some(_) => call.kept.mul_f64(REFRESH),
                None => AGAIN,
            };
            inner.next = Some(Instant::now() + wait);
            if result.is_some() {
                inner.copy = result;
            }
        }));
    }
}

/// One call that makes or refreshes a copy.
struct Call<P> {
    context: Rc<Context<P>>,
    source: Chosen,
    holder: Chosen,
    id: String,
    kept: Duration,
}

impl<P: Protocol> Call<P> {
    async fn run(&self) -> Option<KvCopy> {
        let began = Instant::now();
        let sender = &self.context.sender;
        let (head, body) = sender
            .protocol()
            .copy_request(&self.id, self.holder.address);
        let answer = timeout(CALL, sender.call(&self.source, &Method::POST, head, body)).await;
        let answer = answer.ok().and_then(Result::ok);
        let name =
            answer.and_then(|(head, body): (_, Bytes)| sender.protocol().parse_copy(&head, &body));
        note!(
            direct::COPIED,
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
