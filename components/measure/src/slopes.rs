//! Memory per replica, prefix and team, and processor time per operation, of routing and admission.

use std::{
    fs,
    io,
    time::{
        Duration,
        Instant, //
    }, //
};

use admission::{
    Arrival,
    Done,
    Gate,
    Limit, //
};
use argh::FromArgs;
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use routing::{
    Choice,
    Deployment,
    Outcome,
    Pool,
    Report,
    Request, //
};

use crate::table;

/// Measures memory per replica, prefix and team, and processor time per operation, of routing and
/// admission.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct Args {}

/// Size of a memory page, the unit of `/proc/self/statm`, in bytes.
const PAGE_BYTES: u64 = 4096;
/// Number of operations that a processor time is averaged over.
const ITERATIONS: u32 = 20_000;

/// Prints one table with a row for each cost.
pub fn print(_: &Args) -> io::Result<()> {
    let rows = vec![
        replica_memory()?,
        prefix_memory()?,
        team_memory()?,
        choose_time(10),
        choose_time(100),
        choose_time(1000),
        report_time(),
        arrival_time(100),
        arrival_time(2300),
    ];
    table::print(&["what", "each", "how"], &rows);
    Ok(())
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<u64>().ok());
    pages
        .map(|pages| pages * PAGE_BYTES)
        .ok_or_else(|| io::Error::other("statm has no resident size"))
}

fn row(what: &str, each: String, how: &str) -> Vec<String> {
    vec![what.to_string(), each, how.to_string()]
}

/// Formats the memory per item in bytes.
fn bytes_each(before: u64, after: u64, number: u64) -> String {
    format!("{} B", after.saturating_sub(before) / number)
}

fn deployment() -> Deployment {
    Deployment {
        service: "letters".to_string(),
        version: "v1".to_string(),
        data_centre: "near".to_string(),
    }
}

fn server_name(number: usize) -> String {
    format!("rack-07-engine-{number:05}")
}

fn pool(replicas: usize) -> Pool {
    let mut pool = Pool::default();
    for number in 0..replicas {
        let now = Duration::from_millis(number as u64);
        let server = server_name(number);
        pool.insert(now, &server, &deployment());
        pool.record_report(now, &server, &report(0));
    }
    pool
}

fn report(running: u32) -> Report {
    Report {
        running,
        queued: 0,
        capacity: 1000,
        healthy: true,
        leaving: false,
        age: Duration::from_secs(1),
    }
}

/// Measures the memory of a replica with a full history of load levels.
fn replica_memory() -> io::Result<Vec<String>> {
    const REPLICA_COUNT: usize = 50_000;
    let before = resident_bytes()?;
    let mut pool = pool(REPLICA_COUNT);
    for number in 0..REPLICA_COUNT {
        let server = server_name(number);
        for iteration in 0..40 {
            let now = Duration::from_secs(1000) + Duration::from_millis(iteration * 200);
            pool.sent(now, &server, None);
        }
    }
    let after = resident_bytes()?;
    let how = "resident memory, 50,000 replicas with 40 levels each";
    Ok(row(
        "replica",
        bytes_each(before, after, REPLICA_COUNT as u64),
        how,
    ))
}

/// Measures the memory of a prefix with four holders.
fn prefix_memory() -> io::Result<Vec<String>> {
    const PREFIX_COUNT: u64 = 16_384;
    const POOL_COUNT: u64 = 8;
    let before = resident_bytes()?;
    let mut pools = Vec::new();
    for _ in 0..POOL_COUNT {
        let mut pool = pool(10);
        for prefix in 0..PREFIX_COUNT {
            for number in 0..4 {
                pool.sent(Duration::from_secs(1), &server_name(number), Some(prefix));
            }
        }
        pools.push(pool);
    }
    let after = resident_bytes()?;
    let how = "resident memory, 16,384 prefixes with 4 holders each, 8 pools";
    Ok(row(
        "prefix",
        bytes_each(before, after, POOL_COUNT * PREFIX_COUNT),
        how,
    ))
}

fn arrival(team: &String) -> Arrival<'_> {
    Arrival {
        team,
        limit: Limit {
            in_flight: 0,
            rate: 10,
            weight: 1,
            priority: 1,
        },
        cost: 500,
        max_wait: Duration::from_secs(1),
        waited: Duration::ZERO,
        resume: false,
    }
}

fn settings(initial_limit: u32) -> admission::Settings {
    admission::Settings {
        initial_limit,
        max_teams: 1 << 20,
        ..admission::Settings::default()
    }
}

/// Measures the memory of a team with a request in progress.
fn team_memory() -> io::Result<Vec<String>> {
    const TEAM_COUNT: u32 = 100_000;
    let before = resident_bytes()?;
    let mut gate = Gate::new(settings(TEAM_COUNT));
    let mut rng = StdRng::seed_from_u64(1);
    for number in 0..TEAM_COUNT {
        let team = format!("team-of-the-north-{number:06}");
        gate.arrive(Duration::from_secs(1), &arrival(&team), &mut rng);
    }
    let after = resident_bytes()?;
    let how = "resident memory, 100,000 teams with a request in progress";
    Ok(row(
        "team",
        bytes_each(before, after, u64::from(TEAM_COUNT)),
        how,
    ))
}

/// Formats the time per operation in microseconds.
fn time_each(total: Duration, number: u32) -> String {
    format!("{:.2} µs", total.as_secs_f64() * 1e6 / f64::from(number))
}

/// Measures a choice by prefix, with the bookkeeping of a request's start and end.
fn choose_time(replicas: usize) -> Vec<String> {
    let mut pool = pool(replicas);
    let mut rng = StdRng::seed_from_u64(1);
    let deployment = deployment();
    let start = Instant::now();
    for iteration in 0..ITERATIONS {
        let now = Duration::from_secs(100) + Duration::from_millis(u64::from(iteration));
        let prefix = Some(u64::from(iteration % 300));
        let request = Request {
            service: &deployment.service,
            version: &deployment.version,
            data_centre: &deployment.data_centre,
            prefix,
            avoid: &[],
            resume: false,
        };
        if let Choice::Server(server) = pool.choose(now, &request, &mut rng) {
            pool.sent(now, &server, prefix);
            let time = Duration::from_secs(1);
            pool.done(now, &server, Outcome::Served { time });
        }
    }
    let how = format!("choose, sent, done; {replicas} replicas of a version near; one core");
    row(
        "request, routing",
        time_each(start.elapsed(), ITERATIONS),
        &how,
    )
}

/// Measures the processing of a load report.
fn report_time() -> Vec<String> {
    let mut pool = pool(1000);
    let servers: Vec<String> = (0..1000).map(server_name).collect();
    let start = Instant::now();
    for iteration in 0..ITERATIONS {
        let now = Duration::from_secs(100) + Duration::from_millis(u64::from(iteration));
        let server = &servers[iteration as usize % servers.len()];
        pool.record_report(now, server, &report(iteration % 50));
    }
    let each = time_each(start.elapsed(), ITERATIONS);
    row("load report", each, "learn; 1000 replicas; one core")
}

/// Measures a request through a gate at its limit, where each request waits.
fn arrival_time(teams: usize) -> Vec<String> {
    let mut gate = Gate::new(admission::Settings {
        initial_time: Duration::from_millis(10),
        ..settings(100)
    });
    let mut rng = StdRng::seed_from_u64(1);
    let team_names: Vec<String> = (0..teams).map(|number| format!("team-{number}")).collect();
    let mut running = std::collections::VecDeque::new();
    let mut waiting = std::collections::HashMap::new();
    let start = Instant::now();
    for iteration in 0..ITERATIONS {
        let now = Duration::from_secs(100) + Duration::from_millis(u64::from(iteration));
        let team = &team_names[iteration as usize * 7 % teams];
        match gate.arrive(now, &arrival(team), &mut rng) {
            admission::Verdict::Admit => running.push_back(team),
            admission::Verdict::Queue(ticket) => {
                waiting.insert(ticket, team);
            }
            admission::Verdict::Refuse { .. } => {}
        }
        if running.len() < 100 {
            continue;
        }
        if let Some(team) = running.pop_front() {
            let done = Done {
                priority: 1,
                cost: 500,
                used: 480,
                time: Duration::from_millis(10),
                first_output: Some(Duration::from_millis(5)),
            };
            gate.finish(team, &done);
        }
        for released in gate.tick(now, &mut rng) {
            if let admission::Released::Admit(ticket) = released {
                running.extend(waiting.remove(&ticket));
            }
        }
    }
    let how = format!("arrive, finish, tick at the limit; {teams} teams; one core");
    row(
        "request, admission",
        time_each(start.elapsed(), ITERATIONS),
        &how,
    )
}
