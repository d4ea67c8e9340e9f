//! Which engines still have the prompts of callers that come back.
//!
//! The load that it answers: all entries fail at once, and seconds later their callers come back for
//! the rest of their answers. No entry knows any more where their prompts were read, so each would
//! have them read anew, for a second of an engine and of the little time that the callers have left.
//! The engines know what their caches hold. They are asked once for all callers that come back
//! together.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use events::{
    direct,
    note, //
};
use futures_util::{
    StreamExt,
    stream, //
};
use http::Method;
use names::Service;
use routing::Part;
use tokio::{
    sync::watch,
    task::spawn_local,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

use crate::{
    edge::Edge,
    fleet::Chosen,
    handle::{
        Call,
        Context, //
    },
    update::Registration, //
};

/// Time for one engine's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time that a request waits for the answers: a tenth of what reading a prompt takes.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(120);

/// Part of the time that a request has left that it waits at most.
const MAX_WAIT_SHARE: f64 = 0.1;

/// Time for which the engines' answers stand. Callers of entries that failed together come back
/// within a second or two; what is read after that, this entry or a peer knows of.
const CACHE_TTL: Duration = Duration::from_secs(10);

/// Engines that are asked at the same time.
const MAX_CONCURRENT_LOOKUPS: usize = 16;

/// Pace at which a request looks whether its prompt was found.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What was asked of late, and whether the answers are in.
#[derive(Default)]
pub struct CacheLookup {
    asked: RefCell<HashMap<Service, (Instant, watch::Receiver<bool>)>>,
    /// Until when servers may be missing from the register.
    registering: Cell<Option<Instant>>,
}

impl CacheLookup {
    /// Notes that servers may be missing from the register for a time.
    pub fn registering(&self, time: Duration) {
        self.registering.set(Some(Instant::now() + time));
    }

    /// The answers of a service's engines, if they were asked for a moment ago.
    fn fresh(&self, service: &Service) -> Option<watch::Receiver<bool>> {
        let asked = self.asked.borrow();
        let (at, done) = asked.get(service)?;
        (at.elapsed() < CACHE_TTL).then(|| done.clone())
    }
}

/// Learns which engines of a service hold which prompts, for a request that has some time `left`;
/// returns when that is known, or when it takes too long.
pub async fn learn<E: Edge + 'static>(context: &Rc<Context<E>>, service: &Service, left: Duration) {
    let fresh = context.cache_lookup.fresh(service);
    let mut done = fresh.unwrap_or_else(|| begin(context, service));
    // A time-out leaves the request with what is known by then.
    let patience = LOOKUP_TIMEOUT.min(left.mul_f64(MAX_WAIT_SHARE));
    let _ = timeout(patience, done.wait_for(|done| *done)).await;
}

/// Lets a request wait for the server that has read its prompt, while servers are missing from the
/// register: one that registers later is asked as well. Another server would read the prompt anew.
pub async fn wait<E: Edge>(context: &Context<E>, call: &Call, part: (Part, u32), left: Duration) {
    let Some(until) = context.cache_lookup.registering.get() else {
        return;
    };
    let began = Instant::now();
    let until = until.min(began + left.mul_f64(MAX_WAIT_SHARE));
    let found = || context.fleet.borrow().found(part);
    while Instant::now() < until && !found() {
        sleep(POLL_INTERVAL).await;
    }
    if began.elapsed() < POLL_INTERVAL {
        return;
    }
    note!(
        direct::REGISTERING,
        id = call.packet.ask.id.as_str(),
        found = found(),
        waited_ms = began.elapsed().as_millis() as u64
    );
}

/// Asks a server that has just registered, if the others of its service were asked a moment ago.
pub fn registered<E: Edge + 'static>(context: &Rc<Context<E>>, registration: &Registration) {
    if context
        .cache_lookup
        .fresh(&registration.facts.service)
        .is_none()
    {
        return;
    }
    let engines = context.fleet.borrow().of(&registration.facts.service);
    let engine = engines
        .into_iter()
        .find(|engine| engine.server == registration.server);
    let Some(engine) = engine else {
        return;
    };
    let context = context.clone();
    spawn_local(async move {
        ask(&context, engine).await;
    });
}

fn begin<E: Edge + 'static>(context: &Rc<Context<E>>, service: &Service) -> watch::Receiver<bool> {
    let (told, done) = watch::channel(false);
    let asked = (Instant::now(), done.clone());
    context
        .cache_lookup
        .asked
        .borrow_mut()
        .insert(service.clone(), asked);
    let engines = context.fleet.borrow().of(service);
    let (context, service) = (context.clone(), service.clone());
    spawn_local(async move {
        let began = Instant::now();
        let count = engines.len();
        let calls = engines.into_iter().map(|engine| ask(&context, engine));
        let answers = stream::iter(calls).buffer_unordered(MAX_CONCURRENT_LOOKUPS);
        let prompts: Vec<usize> = answers.collect().await;
        note!(
            direct::SURVEYED,
            service = service.as_str(),
            engines = count,
            prompts = prompts.iter().sum::<usize>(),
            ms = began.elapsed().as_millis() as u64
        );
        // Nobody waits any more when all requests timed out.
        let _ = told.send(true);
    });
    done
}

/// Asks an engine what its cache holds; returns how many parts of prompts that is.
async fn ask<E: Edge>(context: &Context<E>, engine: Chosen) -> usize {
    let edge = context.sender.edge();
    let call = context
        .sender
        .call(&engine, &Method::GET, edge.holdings(), Bytes::new());
    // An engine that doesn't answer holds nothing that could be used now.
    let Ok(Ok((head, body))) = timeout(CALL_TIMEOUT, call).await else {
        return 0;
    };
    let parts = edge.held(&head, &body).unwrap_or_default();
    context.fleet.borrow_mut().holds(&parts, &engine.server);
    parts.len()
}
