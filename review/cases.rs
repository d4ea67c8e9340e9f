//! The cases.

use std::{
    io,
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crate::{
    caller::Outcome,
    entry::Entry,
    record::Record,
    replica::{self, entry, Replica},
    world::{Kind, World},
};

/// Plays a case; returns whether the rule held.
pub fn play(case: &str, folder: &Path, trouble: bool) -> io::Result<bool> {
    match case {
        "rollouts" => rollouts(folder, trouble),
        "late-copy" => late_copy(folder, trouble),
        "hot-look" => hot_look(folder, trouble),
        "restart" => restart(folder, trouble),
        "same-id" => same_id(folder, trouble),
        "foreign-entry" => foreign_entry(folder, trouble),
        "slow-readers" => slow_readers(folder, trouble),
        "lost-event" => lost_event(folder, trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

/// Rollouts of six services are completed. Later all entries lose power for a second and a half, and
/// start again while the store is slow.
fn rollouts(folder: &Path, trouble: bool) -> io::Result<bool> {
    const LOST_AT: f64 = 42.0;
    const BACK_AT: f64 = 43.5;
    const SLOW: u64 = 60;
    const SLOW_S: f64 = 4.5;
    const RECOVERY_S: f64 = 12.0;
    const DURATION_S: u64 = 30;
    const END: f64 = 68.0;
    let mut world = World::new(folder, 260)?;
    let desks = 1..=6;
    let mut replicas = Vec::new();
    let mut boot = |world: &World, version: &str, host: u8| -> io::Result<()> {
        for desk in desks.clone() {
            let (id, service) = (format!("i-{desk}{version}"), format!("desk-{desk}"));
            let address = world.network.address(host + desk, 8224);
            let (store, record) = (&world.store, &world.record);
            let kind = replica::Kind::Plain;
            replicas.push(Replica::start(&id, &service, kind, version, address, store, record)?);
        }
        Ok(())
    };
    boot(&world, "v1", 40)?;
    world.start_entries()?;
    world.start_traffic(&[(Kind::Desk, 30.0)], END - 1.0);
    world.wait_until(1.0);
    // The new replicas start beside the old ones, and an order is written for each service.
    boot(&world, "v2", 60)?;
    for desk in desks.clone() {
        let order = format!(
            "{{\"service\":\"desk-{desk}\",\"target\":\"v2\",\"durationS\":{DURATION_S}}}"
        );
        world.store.put(&format!("op/rollout/desk-{desk}"), &order);
    }
    // The platform stops the old replicas of a service once its rollout is completed.
    let states = |world: &World| -> Vec<String> {
        let key = |desk| format!("status/rollout/desk-{desk}");
        desks.clone().map(|desk| world.store.get(&key(desk))).collect()
    };
    let mut second = 1.0;
    let mut stopped = [false; 6];
    while second < LOST_AT - 3.0 {
        second += 0.2;
        world.wait_until(second);
        for (index, state) in states(&world).iter().enumerate() {
            if state.contains("completed") && !stopped[index] {
                world.record.line(&format!("desk-{}: {state}; its old replica stops", index + 1));
                Replica::crash(&replicas[index..=index]);
                world.store.remove(&format!("servers/i-{}v1", index + 1));
                stopped[index] = true;
            }
        }
    }
    if stopped.contains(&false) {
        return Err(io::Error::other("a rollout was not completed"));
    }
    world.wait_until(LOST_AT);
    if trouble {
        for entry in &mut world.entries {
            entry.kill(&world.record);
        }
        world.wait_until(BACK_AT - 0.5);
        world.store.set_slow(SLOW);
        world.wait_until(BACK_AT);
        for entry in &mut world.entries {
            entry.start(&world.record)?;
        }
        world.wait_until(BACK_AT - 0.5 + SLOW_S);
        world.store.set_slow(1);
    }
    world.wait_until(END);
    world.record.say(&format!("the states are now {:?}", states(&world)));
    let (sent_before, served_before) = world.tally(&Kind::ALL, LOST_AT - 3.0, LOST_AT - 1.0);
    let (sent, served) = world.tally(&Kind::ALL, BACK_AT + RECOVERY_S + 0.3, END - 2.0);
    if sent == 0 || served_before * 4 < sent_before {
        return Err(io::Error::other("nothing to compare with"));
    }
    Ok(judge(&world, "RECOVER", served * 4 >= sent))
}

/// All replicas of a service crash at once, and are back after three seconds. Many consumers of one
/// tenant make the same look-up there.
fn hot_look(folder: &Path, trouble: bool) -> io::Result<bool> {
    const CRASH_AT: f64 = 5.0;
    const BACK_AT: f64 = 8.0;
    const END: f64 = 60.0;
    let mut world = World::new(folder, 260)?;
    let boot = |world: &World, ids: [&str; 3]| -> io::Result<Vec<Replica>> {
        let replicas = ids.into_iter().zip(41..).map(|(id, host)| {
            let address = world.network.address(host, 8224);
            let kind = replica::Kind::Plain;
            Replica::start(id, "ledger", kind, "v1", address, &world.store, &world.record)
        });
        replicas.collect()
    };
    let first = boot(&world, ["i-1f60", "i-28d3", "i-3a91"])?;
    world.start_entries()?;
    world.start_traffic(&[(Kind::HotLook, 150.0), (Kind::Look, 240.0)], END - 2.0);
    world.wait_until(CRASH_AT);
    let mut second = Vec::new();
    if trouble {
        Replica::crash(&first);
        world.wait_until(BACK_AT);
        second = boot(&world, ["i-b41c", "i-c502", "i-d9e0"])?;
    }
    world.wait_until(END);
    drop(second);
    Ok(judge_starved(&world, &[Kind::HotLook, Kind::Look], END))
}

/// All processes and replicas lose power for a second and a half. The replicas are back under new
/// ids at the addresses that they had; the entries of their earlier boots haven't expired yet.
fn restart(folder: &Path, trouble: bool) -> io::Result<bool> {
    const LOST_AT: f64 = 8.0;
    const BACK_AT: f64 = 9.5;
    const RECOVERY_S: f64 = 12.0;
    const END: f64 = 40.0;
    let mut world = World::new(folder, 260)?;
    let places = [
        ("ledger", replica::Kind::Plain, 41),
        ("ledger", replica::Kind::Plain, 42),
        ("writer", replica::Kind::Engine, 51),
        ("writer", replica::Kind::Engine, 52),
    ];
    let boot = |world: &World, ids: [&str; 4]| -> io::Result<Vec<Replica>> {
        let replicas = places.iter().zip(ids).map(|((service, kind, host), id)| {
            let address = world.network.address(*host, 8224);
            Replica::start(id, service, *kind, "v1", address, &world.store, &world.record)
        });
        replicas.collect()
    };
    let first = boot(&world, ["i-b41c", "i-c502", "i-d9e0", "i-e77a"])?;
    world.start_entries()?;
    let rates = [(Kind::Letter, 2.0), (Kind::Pay, 5.0), (Kind::Look, 5.0)];
    world.start_traffic(&rates, END - 1.0);
    world.wait_until(LOST_AT);
    let mut second = Vec::new();
    if trouble {
        for entry in &mut world.entries {
            entry.kill(&world.record);
        }
        Replica::crash(&first);
        world.wait_until(BACK_AT);
        second = boot(&world, ["i-1f60", "i-28d3", "i-3a91", "i-407b"])?;
        thread::sleep(Duration::from_millis(200));
        world.record.line(&format!("the store has {:?}", world.store.keys("servers/")));
        for entry in &mut world.entries {
            entry.start(&world.record)?;
        }
    }
    world.wait_until(END);
    world.record.line(&format!("the store has {:?}", world.store.keys("servers/")));
    let (sent_before, served_before) = world.tally(&Kind::ALL, 0.0, LOST_AT - 1.0);
    let (sent, served) = world.tally(&Kind::ALL, BACK_AT + RECOVERY_S + 0.5, END - 5.0);
    drop(second);
    if sent == 0 || served_before * 4 < sent_before {
        return Err(io::Error::other("nothing to compare with"));
    }
    Ok(judge(&world, "RECOVER", served * 4 >= sent))
}

/// Engines crash, their addresses go to replicas of another service, and they start again elsewhere
/// under the ids that they had.
fn same_id(folder: &Path, trouble: bool) -> io::Result<bool> {
    const CRASH_AT: f64 = 6.0;
    const REUSED_AT: f64 = 8.2;
    const BACK_AT: f64 = 9.0;
    const END: f64 = 60.0;
    let mut world = World::new(folder, 260)?;
    let start = |world: &World, id: &str, service: &str, host: u8| {
        let kind = match service {
            "writer" => replica::Kind::Engine,
            _ => replica::Kind::Plain,
        };
        let address = world.network.address(host, 8224);
        Replica::start(id, service, kind, "v1", address, &world.store, &world.record)
    };
    let mut others = vec![start(&world, "ledger-1", "ledger", 41)?];
    let engines = [start(&world, "writer-1", "writer", 51)?, start(&world, "writer-2", "writer", 52)?];
    world.start_entries()?;
    let rates = [(Kind::Letter, 2.0), (Kind::Pay, 4.0), (Kind::Look, 4.0)];
    world.start_traffic(&rates, END - 6.0);
    world.wait_until(CRASH_AT);
    if trouble {
        Replica::crash(&engines);
        world.wait_until(REUSED_AT);
        others.push(start(&world, "ledger-2", "ledger", 51)?);
        others.push(start(&world, "ledger-3", "ledger", 52)?);
        world.wait_until(BACK_AT);
        others.push(start(&world, "writer-1", "writer", 53)?);
        others.push(start(&world, "writer-2", "writer", 54)?);
    }
    world.wait_until(END);
    Ok(judge_starved(&world, &[Kind::Letter], END))
}

/// Another writer leaves entries of a service that the manifest doesn't name, at the addresses of
/// replicas of this one.
fn foreign_entry(folder: &Path, trouble: bool) -> io::Result<bool> {
    const WRITTEN_AT: f64 = 6.0;
    const END: f64 = 60.0;
    let mut world = World::new(folder, 260)?;
    let hosts = [41, 42];
    let mut replicas = Vec::new();
    for host in hosts {
        let (id, address) = (format!("i-41{host}"), world.network.address(host, 8224));
        let kind = replica::Kind::Plain;
        replicas.push(Replica::start(&id, "ledger", kind, "v1", address, &world.store, &world.record)?);
    }
    let address = world.network.address(51, 8224);
    let kind = replica::Kind::Engine;
    replicas.push(Replica::start("i-9c51", "writer", kind, "v1", address, &world.store, &world.record)?);
    world.start_entries()?;
    let rates = [(Kind::Letter, 6.0), (Kind::Pay, 2.0), (Kind::Look, 2.0)];
    world.start_traffic(&rates, END - 6.0);
    world.wait_until(WRITTEN_AT);
    if trouble {
        for host in hosts {
            let value = entry("ledger-trial", "v1", world.network.address(host, 8224));
            let key = format!("servers/trial-{host}");
            world.record.line(&format!("another writer writes {key}: {value}"));
            world.store.put(&key, &value);
        }
    }
    world.wait_until(END);
    Ok(judge_starved(&world, &[Kind::Pay, Kind::Look], END))
}

/// Consumers send sheets as long as the manifest allows, and the engines read them slowly. The
/// platform kills a process that exceeds its memory.
fn slow_readers(folder: &Path, trouble: bool) -> io::Result<bool> {
    const MEMORY_MB: u64 = 120;
    const RATE: f64 = 8.0;
    const SLOW_AT: f64 = 8.0;
    const BYTES_A_SECOND: u64 = 600_000;
    const END: f64 = 60.0;
    let mut world = World::new(folder, MEMORY_MB)?;
    let mut replicas = Vec::new();
    for host in 51..=54 {
        let (id, address) = (format!("i-9c{host}"), world.network.address(host, 8224));
        let kind = replica::Kind::Engine;
        replicas.push(Replica::start(&id, "writer", kind, "v1", address, &world.store, &world.record)?);
    }
    world.start_entries()?;
    let stop = Arc::new(AtomicBool::new(false));
    let watches = std::mem::take(&mut world.entries).into_iter().map(|entry| {
        let (stop, record) = (stop.clone(), world.record.clone());
        thread::spawn(move || keep_within(entry, MEMORY_MB, &stop, &record))
    });
    let watches: Vec<_> = watches.collect();
    world.start_traffic(&[(Kind::LongLetter, RATE)], END - 5.0);
    world.wait_until(SLOW_AT);
    if trouble {
        world.record.line("the engines read slowly");
        replicas.iter().for_each(|replica| replica.set_pace(BYTES_A_SECOND));
    }
    world.wait_until(END);
    stop.store(true, Ordering::SeqCst);
    let kills: Vec<usize> = watches.into_iter().filter_map(|watch| watch.join().ok()).collect();
    world.tally(&[Kind::LongLetter], 0.0, END);
    world.record.say(&format!("processes that ended for their memory, by machine: {kills:?}"));
    let failing = kills.iter().filter(|kills| **kills >= 3).count();
    Ok(judge(&world, "Fault", failing < 2))
}

/// Does to an entry what the platform does: kills it when it exceeds its memory, and starts it again.
/// Returns how often.
fn keep_within(mut entry: Entry, memory_mb: u64, stop: &AtomicBool, record: &Record) -> usize {
    let (mut kills, mut peak) = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        let used = entry.memory_mb().unwrap_or(0);
        peak = peak.max(used);
        if used > memory_mb {
            record.line(&format!("{} uses {used} MB", entry.name));
            entry.kill(record);
            kills += 1;
            thread::sleep(Duration::from_millis(500));
            if entry.start(record).is_err() {
                break;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.say(&format!("{} used up to {peak} MB", entry.name));
    entry.kill(record);
    kills
}

/// The only replica of the ledger declines one order in twenty as if it were full, and sends a second
/// copy of that answer late.
fn late_copy(folder: &Path, trouble: bool) -> io::Result<bool> {
    const FAULTY_AT: f64 = 4.0;
    const FAULTY_S: f64 = 5.0;
    const END: f64 = 15.0;
    let mut world = World::new(folder, 260)?;
    let address = world.network.address(41, 8224);
    let kind = replica::Kind::Plain;
    let replica =
        Replica::start("i-4141", "ledger", kind, "v1", address, &world.store, &world.record)?;
    world.start_entries()?;
    world.start_traffic(&[(Kind::Order, 40.0)], END - 2.0);
    world.wait_until(FAULTY_AT);
    replica.set_declines(trouble);
    world.wait_until(FAULTY_AT + FAULTY_S);
    replica.set_declines(false);
    world.wait_until(END);
    world.tally(&[Kind::Order], 0.0, END);
    let record = std::fs::read_to_string(folder.join("record.txt"))?;
    let ids = |prefix: &str, suffix: &str| -> Vec<String> {
        let lines = record.lines().filter_map(|line| line.get(9..));
        let lines = lines.filter(|line| line.starts_with(prefix) && line.contains(suffix));
        let ids = lines.filter_map(|line| line.split([' ', ':']).find(|word| word.len() == 16));
        ids.map(str::to_string).collect()
    };
    let (ran, refused) = (ids("replica", " runs "), ids("consumer has", ": 503 "));
    let wrong: Vec<_> = refused.iter().filter(|id| ran.contains(id)).collect();
    world.record.say(&format!("answered 503 and run: {wrong:?}"));
    Ok(judge(&world, "REFUSED", wrong.is_empty()))
}

/// Some engines lose an event of one answer in twenty, the last but one.
fn lost_event(folder: &Path, trouble: bool) -> io::Result<bool> {
    const FAULTY_AT: f64 = 5.0;
    const FAULTY_S: f64 = 6.5;
    const END: f64 = 20.0;
    let mut world = World::new(folder, 260)?;
    let mut replicas = Vec::new();
    for host in 51..=54 {
        let (id, address) = (format!("i-9c{host}"), world.network.address(host, 8224));
        let kind = replica::Kind::Engine;
        replicas.push(Replica::start(&id, "writer", kind, "v1", address, &world.store, &world.record)?);
    }
    world.start_entries()?;
    world.start_traffic(&[(Kind::Letter, 12.0)], END - 3.0);
    for spoils in [true, false] {
        world.wait_until(if spoils { FAULTY_AT } else { FAULTY_AT + FAULTY_S });
        replicas[..2].iter().for_each(|replica| replica.set_spoils(spoils && trouble));
    }
    world.wait_until(END);
    world.tally(&[Kind::Letter], 0.0, END);
    let whole: String = (1..=replica::EVENTS).map(replica::event).collect();
    let mut held = true;
    for (_, at, outcome) in world.results() {
        let Outcome::Answered { status: 200, body, .. } = outcome else {
            continue;
        };
        if body != whole.as_bytes() {
            held = false;
            let text = String::from_utf8_lossy(&body);
            let ids: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
            world.record.say(&format!("sent at second {at:.2}, complete, but has the events {}", ids.join(" ")));
        }
    }
    Ok(judge(&world, "ORDER", held))
}

/// Judges whether each of some kinds of request was served a quarter as often as all requests.
fn judge_starved(world: &World, kinds: &[Kind], end: f64) -> bool {
    let (all, all_served) = world.tally(&Kind::ALL, 0.0, end);
    let mut held = true;
    for kind in kinds {
        let (sent, served) = world.tally(&[*kind], 0.0, end);
        held &= served as f64 / sent as f64 >= 0.25 * all_served as f64 / all as f64;
    }
    judge(world, "Starved", held)
}

fn judge(world: &World, rule: &str, held: bool) -> bool {
    let verdict = if held { "held" } else { "broken" };
    world.record.say(&format!("{rule}: {verdict}"));
    held
}
