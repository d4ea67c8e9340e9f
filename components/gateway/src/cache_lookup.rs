//! Which engines still have the prompts of callers that come back.
//!
//! The load that it answers: all entries fail at once, and seconds later their callers come back for
//! the rest of their answers. No entry knows any more where their prompts were read, so each would
//! have them read anew, for a second of an engine and of the little time that the callers have left.
//! The engines know what their caches hold. They are asked once for all callers that come back
//! together; in a large fleet each entry asks its part of them and tells the others, as a hundred
//! entries that ask all engines keep the engines from their work.

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
use names::{
    Server,
    Service, //
};
use routing::Part;
use spread::beacon::{
    Id,
    Prompt,
    id, //
};
use tokio::{
    sync::{
        mpsc::{
            UnboundedReceiver,
            UnboundedSender, //
        },
        watch, //
    },
    task::spawn_local,
    time::{
        Instant,
        sleep,
        timeout,
        timeout_at, //
    },
};

use crate::{
    edge::Edge,
    fleet::Chosen,
    handle::{
        Call,
        Context, //
    },
    peers::Outgoing,
    update::Registration, //
};

/// Time for one engine's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after its start in which an entry hears how many others there are.
const SETTLE_TIME: Duration = Duration::from_millis(300);

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
pub struct CacheLookup {
    asked: RefCell<HashMap<Service, Asked>>,
    /// When each engine was asked by this entry.
    engines: RefCell<HashMap<Server, Instant>>,
    /// Until when servers may be missing from the register.
    registering: Cell<Option<Instant>>,
    peers: UnboundedSender<Outgoing>,
}

/// A lookup of a service's engines.
#[derive(Clone)]
struct Asked {
    at: Instant,
    /// This entry's place among all, and their number, which tell its part of the engines.
    place: (usize, usize),
    done: watch::Receiver<bool>,
}

impl CacheLookup {
    /// Nothing was asked yet.
    pub fn new(peers: UnboundedSender<Outgoing>) -> CacheLookup {
        CacheLookup {
            asked: RefCell::default(),
            engines: RefCell::default(),
            registering: Cell::default(),
            peers,
        }
    }

    /// Notes that servers may be missing from the register for a time.
    pub fn registering(&self, time: Duration) {
        self.registering.set(Some(Instant::now() + time));
    }

    /// The lookup of a service's engines, if there was one a moment ago.
    fn fresh(&self, service: &Service) -> Option<Asked> {
        let asked = self.asked.borrow().get(service).cloned();
        asked.filter(|asked| asked.at.elapsed() < CACHE_TTL)
    }

    /// Notes that an engine is asked; `false` if it was asked a moment ago.
    fn asks(&self, server: &Server) -> bool {
        let mut engines = self.engines.borrow_mut();
        engines.retain(|_, at| at.elapsed() < CACHE_TTL);
        if engines.contains_key(server) {
            return false;
        }
        engines.insert(server.clone(), Instant::now());
        true
    }

    fn tell(&self, outgoing: Outgoing) {
        // Nobody listens any more when the process ends.
        let _ = self.peers.send(outgoing);
    }
}

/// Learns which engines of a service hold which prompts, for a request with a part of a prompt and some
/// time `left`; returns when that is known, or when it takes too long.
pub async fn learn<E: Edge + 'static>(
    context: &Rc<Context<E>>,
    service: &Service,
    part: (Part, u32),
    left: Duration,
) {
    settle(context, left.mul_f64(MAX_WAIT_SHARE)).await;
    let divided = context.fleet.borrow().divided();
    let mut asked = match fresh(context, service) {
        Some(asked) => asked,
        None => {
            if divided {
                context.cache_lookup.tell(Outgoing::Lookup(id(service)));
            }
            begin(context, service)
        }
    };
    // A time-out leaves the request with what is known by then.
    let until = Instant::now() + LOOKUP_TIMEOUT.min(left.mul_f64(MAX_WAIT_SHARE));
    let _ = timeout_at(until, asked.done.wait_for(|done| *done)).await;
    // What peers learn comes with their messages.
    let until = until.min(asked.at + LOOKUP_TIMEOUT);
    let found = || context.fleet.borrow().found(part);
    while divided && Instant::now() < until && !found() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until an entry that started a moment ago knows that its fleet is large: all entries may have
/// started together, and as long as each believes that it is alone it would ask all engines.
async fn settle<E>(context: &Context<E>, longest: Duration) {
    let until = context.started + SETTLE_TIME;
    let until = until.min(Instant::now() + longest);
    while Instant::now() < until && !context.fleet.borrow().divided() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Asks this entry's part of the engines whenever a peer wants that.
pub async fn serve<E: Edge + 'static>(context: Rc<Context<E>>, mut wanted: UnboundedReceiver<Id>) {
    while let Some(wanted) = wanted.recv().await {
        let Some(service) = named(&context, wanted) else {
            continue;
        };
        settle(&context, SETTLE_TIME).await;
        // An entry that hears few peers doesn't know its part.
        if context.fleet.borrow().divided() && fresh(&context, &service).is_none() {
            begin(&context, &service);
        }
    }
}

/// The service with a number.
fn named<E>(context: &Context<E>, wanted: Id) -> Option<Service> {
    let cache = context.document_cache.borrow();
    let services = &cache.edition()?.index.document().services;
    let service = services.iter().find(|one| id(&one.name) == wanted)?;
    Some(service.name.clone())
}

/// The lookup of a service's engines, if there was one a moment ago. An entry whose place changed has
/// another part of the engines, and so have the others.
fn fresh<E>(context: &Context<E>, service: &Service) -> Option<Asked> {
    let fleet = context.fleet.borrow();
    let asked = context.cache_lookup.fresh(service)?;
    let same = asked.place == fleet.place() || !fleet.divided();
    same.then_some(asked)
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

/// Asks a server that has just registered, if the others of its service were asked a moment ago and
/// it is of this entry's part.
pub fn registered<E: Edge + 'static>(context: &Rc<Context<E>>, registration: &Registration) {
    let Registration { server, facts, .. } = registration;
    if context.cache_lookup.fresh(&facts.service).is_none() {
        return;
    }
    let fleet = context.fleet.borrow();
    let Some(engine) = fleet.named(server).filter(|_| fleet.owns(server)) else {
        return;
    };
    drop(fleet);
    let context = context.clone();
    spawn_local(async move {
        let held = ask(&context, engine).await;
        tell(&context, held);
    });
}

/// Tells the others what engines of this entry's part hold.
fn tell<E>(context: &Context<E>, held: Vec<Prompt>) {
    if context.fleet.borrow().divided() && !held.is_empty() {
        context.cache_lookup.tell(Outgoing::Held(held));
    }
}

/// The engines of a service that are this entry's to ask.
fn part<E>(context: &Context<E>, service: &Service) -> Vec<Chosen> {
    let fleet = context.fleet.borrow();
    let mut engines = fleet.of(service);
    engines.retain(|engine| fleet.owns(&engine.server));
    engines
}

fn begin<E: Edge + 'static>(context: &Rc<Context<E>>, service: &Service) -> Asked {
    let (told, done) = watch::channel(false);
    let asked = Asked {
        at: Instant::now(),
        place: context.fleet.borrow().place(),
        done,
    };
    let lookup = &context.cache_lookup;
    let all = &mut *lookup.asked.borrow_mut();
    all.insert(service.clone(), asked.clone());
    let mut engines = part(context, service);
    engines.retain(|engine| lookup.asks(&engine.server));
    let (context, service) = (context.clone(), service.clone());
    spawn_local(async move {
        let count = engines.len();
        let calls = engines.into_iter().map(|engine| ask(&context, engine));
        let answers = stream::iter(calls).buffer_unordered(MAX_CONCURRENT_LOOKUPS);
        let held: Vec<Prompt> = answers.concat().await;
        note!(
            direct::SURVEYED,
            service = service.as_str(),
            engines = count,
            prompts = held.len(),
            ms = asked.at.elapsed().as_millis() as u64
        );
        tell(&context, held);
        // Nobody waits any more when all requests timed out.
        let _ = told.send(true);
    });
    asked
}

/// Asks an engine what its cache holds.
async fn ask<E: Edge>(context: &Context<E>, engine: Chosen) -> Vec<Prompt> {
    let edge = context.sender.edge();
    let call = context
        .sender
        .call(&engine, &Method::GET, edge.holdings(), Bytes::new());
    // An engine that doesn't answer holds nothing that could be used now.
    let Ok(Ok((head, body))) = timeout(CALL_TIMEOUT, call).await else {
        return Vec::new();
    };
    let parts = edge.held(&head, &body).unwrap_or_default();
    context.fleet.borrow_mut().holds(&parts, &engine.server);
    let server = id(&engine.server);
    parts
        .into_iter()
        .map(|(hash, _)| Prompt { hash, server })
        .collect()
}
