//! The cases: each returns 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.

mod forged;
mod keys;
mod memory;
mod slow;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    http::Link,
    replica::{
        self,
        Replica,
        Work, //
    },
    store::Store,
    world::{
        self,
        Machine,
        Record,
        Route,
        World, //
    },
};

pub fn run(name: &str, folder: &str, trouble: bool) -> i32 {
    let record = Record::open(folder);
    record.line(&format!("case {name}, with the disruption: {trouble}"));
    let code = match name {
        "leaving-consumers" => memory::leaving_consumers(&record, trouble),
        "unread-answers" => memory::unread_answers(&record, trouble),
        "many-requests" => memory::many_requests(&record, trouble),
        "slow-consumers" => slow::run(&record, trouble),
        "forged-entry" => forged::run(&record, trouble),
        "last-tenant" => keys::run(&record, trouble),
        _ => 2,
    };
    record.line(&format!("exit {code}"));
    code
}

/// Routes of the small deployments: look-ups, payouts and drafts.
fn routes(timeout_ms: u64) -> Vec<Route<'static>> {
    let plain = |name, kind| Route {
        name,
        kind,
        service: "ledger",
        timeout_ms,
        slo_ms: 300,
        attempts: 2,
        resumable: false,
    };
    let draft = Route {
        name: "draft",
        kind: "streaming",
        service: "writer",
        timeout_ms: 25_000,
        slo_ms: 4_500,
        attempts: 5,
        resumable: true,
    };
    vec![plain("look", "safe"), plain("pay", "unsafe"), draft]
}

/// A deployment whose ledger does `work`; `None` if it doesn't get ready.
fn deployment(
    record: &Record,
    gateways: usize,
    memory_mb: u64,
    timeout_ms: u64,
    work: Arc<Work>,
) -> Option<(World, Vec<Replica>)> {
    let store = Store::start();
    store.put(
        "op/config",
        &world::manifest(1, &routes(timeout_ms), &["writer"], &["ledger"]),
    );
    let mut replicas = Vec::new();
    for at in 0..3 {
        let id = format!("i-ledger-{at}");
        replicas.push(Replica::start(
            &store,
            "ledger",
            &id,
            "zone-a",
            6,
            work.clone(),
        ));
    }
    for at in 0..2 {
        let id = format!("i-writer-{at}");
        let work = replica::stream(130, Duration::from_millis(10));
        replicas.push(Replica::start(&store, "writer", &id, "zone-a", 24, work));
    }
    let machine = Machine {
        memory_mb,
        fds: 4100,
    };
    let world = World::start(store, gateways, &machine, world::BOUNDS);
    match world.await_ready(Duration::from_secs(15)) {
        true => Some((world, replicas)),
        false => {
            record.line("the gateways don't get ready");
            None
        }
    }
}

/// A request of a consumer on a kept channel.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    /// Status of the answer, or why there is none.
    pub end: Result<u16, String>,
}

/// Sends requests on one kept channel, one after the other and one each `period`, until `stop` is
/// set or the channel ends. Returns all of them. It begins after `delay`, so that the requests of many
/// consumers are spread.
fn consumer(
    front: std::net::SocketAddr,
    name: String,
    method: &'static str,
    path: &'static str,
    deadline_ms: u64,
    period: Duration,
    delay: Duration,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<Vec<Attempt>> {
    thread::spawn(move || {
        let mut attempts = Vec::new();
        let Ok(mut link) = Link::open(front, Duration::from_millis(deadline_ms)) else {
            return attempts;
        };
        thread::sleep(delay);
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let next = Instant::now() + period;
            let id = format!("{name}-{number}");
            let head = world::head(method, path, &id, deadline_ms);
            let body = if method == "POST" {
                "Content-Length: 2\r\n\r\n{}"
            } else {
                "\r\n"
            };
            let sent = link.send(format!("{head}{body}").as_bytes());
            let end = sent
                .and_then(|()| link.message())
                .map(|answer| answer.status());
            let is_over = end.is_err();
            attempts.push(Attempt {
                id,
                end: end.map_err(|error| error.to_string()),
            });
            if is_over {
                return attempts;
            }
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        attempts
    })
}
