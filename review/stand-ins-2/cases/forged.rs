//! An entry of another writer, with fields missing, names a replica.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    http,
    replica::{
        self,
        Replica, //
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

pub fn run(record: &Record, trouble: bool) -> i32 {
    let route = |name, service| Route {
        name,
        kind: "unsafe",
        service,
        timeout_ms: 4_000,
        slo_ms: 300,
        attempts: 2,
        resumable: false,
    };
    let routes = [route("pay", "ledger"), route("book", "desk")];
    let store = Store::start();
    store.put(
        "op/config",
        &world::manifest(1, &routes, &[], &["ledger", "desk"]),
    );
    let start = |service: &str, at: usize| {
        let work = replica::plain(Duration::from_millis(15), 800);
        Replica::start(
            &store,
            service,
            &format!("i-{service}-{at}"),
            "zone-a",
            6,
            work,
        )
    };
    let ledgers: Vec<Replica> = (0..3).map(|at| start("ledger", at)).collect();
    let desks: Vec<Replica> = (0..3).map(|at| start("desk", at)).collect();
    let machine = Machine {
        memory_mb: 260,
        fds: 4100,
    };
    let world = World::start(store.clone(), 2, &machine, world::BOUNDS);
    if !world.await_ready(Duration::from_secs(15)) {
        record.line("the gateways don't get ready");
        return 2;
    }
    let began = Instant::now();
    let mut number = 0;
    let mut written = Duration::ZERO;
    while began.elapsed() < Duration::from_secs(12) {
        if trouble && began.elapsed() >= written {
            written = began.elapsed() + Duration::from_secs(3);
            // Another writer's entry: `coldLeftMs`, `seq` and `born` are missing.
            let desk = &desks[0];
            let entry = format!(
                "{{\"service\":\"ledger\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
                 \"slots\":6,\"state\":\"ready\"}}",
                desk.address
            );
            store.put(&format!("servers/{}", desk.id), &entry);
            record.line(&format!("another writer: servers/{} = {entry}", desk.id));
        }
        for gateway in &world.gateways {
            number += 1;
            let id = format!("pay-{number}");
            let head = world::head("POST", "/pay/1", &id, 4_000);
            let request = format!("{head}Content-Length: 2\r\n\r\n{{}}");
            let answer = http::call(gateway.front, request.as_bytes(), Duration::from_secs(4));
            let answer = answer.map(|answer| {
                let stamp = answer.header("x-server-stamp").unwrap_or("").to_string();
                (answer.status(), stamp)
            });
            record.note(&format!("{id}: {answer:?}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let wrong: Vec<_> = desks
        .iter()
        .flat_map(Replica::ran)
        .filter(|run| run.first.contains("/pay/"))
        .collect();
    for run in ledgers.iter().flat_map(Replica::ran) {
        record.note(&format!(
            "{} of ledger ran {} ({})",
            run.replica, run.id, run.first
        ));
    }
    for run in &wrong {
        record.line(&format!(
            "{} of {} ran {} ({})",
            run.replica, run.service, run.id, run.first
        ));
    }
    record.line(&format!(
        "of {number} payouts, {} ran at a service that no manifest names for them",
        wrong.len()
    ));
    i32::from(!wrong.is_empty())
}
