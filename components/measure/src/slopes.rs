//! Memory and processor time of routing and admission, for each replica, prefix and team.

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

/// Memory and processor time of routing and admission, for each replica, prefix and team.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct Args {}

const PAGE: u64 = 4096;
const REPEATS: u32 = 20_000;

/// Prints one table: a row for each slope.
pub fn print(_: &Args) -> io::Result<()> {
    let rows = vec![
        replicas()?,
        prefixes()?,
        teams()?,
        choose(10),
        choose(100),
        choose(1000),
        learn(),
        arrive(100),
        arrive(2300),
    ];
    table::print(&["what", "each", "how"], &rows);
    Ok(())
}

/// Resident memory of this process, in bytes.
fn resident() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<u64>().ok());
    pages
        .map(|pages| pages * PAGE)
        .ok_or_else(|| io::Error::other("statm has no resident size"))
}

fn row(what: &str, each: String, how: &str) -> Vec<String> {
    vec![what.to_string(), each, how.to_string()]
}

fn bytes(before: u64, after: u64, number: u64) -> String {
    format!("{} B", after.saturating_sub(before) / number)
}

fn place() -> Deployment {
    Deployment {
        service: "letters".to_string(),
        version: "v1".to_string(),
        data_centre: "near".to_string(),
    }
}

fn server(number: usize) -> String {
    format!("rack-07-engine-{number:05}")
}

fn pool(replicas: usize) -> Pool {
    let mut pool = Pool::default();
    for number in 0..replicas {
        let now = Duration::from_millis(number as u64);
        let server = server(number);
        pool.insert(now, &server, &place());
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

/// Replicas with their whole history of levels.
fn replicas() -> io::Result<Vec<String>> {
    const NUMBER: usize = 50_000;
    let before = resident()?;
    let mut pool = pool(NUMBER);
    for number in 0..NUMBER {
        let server = server(number);
        for turn in 0..40 {
            let now = Duration::from_secs(1000) + Duration::from_millis(turn * 200);
            pool.sent(now, &server, None);
        }
    }
    let after = resident()?;
    let how = "resident memory, 50,000 replicas with 40 levels each";
    Ok(row("replica", bytes(before, after, NUMBER as u64), how))
}

fn prefixes() -> io::Result<Vec<String>> {
    const NUMBER: u64 = 16_384;
    const POOLS: u64 = 8;
    let before = resident()?;
    let mut pools = Vec::new();
    for _ in 0..POOLS {
        let mut pool = pool(10);
        for prefix in 0..NUMBER {
            for number in 0..4 {
                pool.sent(Duration::from_secs(1), &server(number), Some(prefix));
            }
        }
        pools.push(pool);
    }
    let after = resident()?;
    let how = "resident memory, 16,384 prefixes with 4 holders each, 8 pools";
    Ok(row("prefix", bytes(before, after, POOLS * NUMBER), how))
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
        resume: false,
    }
}

fn settings(start: u32) -> admission::Settings {
    admission::Settings {
        initial_limit: start,
        max_teams: 1 << 20,
        ..admission::Settings::default()
    }
}

fn teams() -> io::Result<Vec<String>> {
    const NUMBER: u32 = 100_000;
    let before = resident()?;
    let mut gate = Gate::new(settings(NUMBER));
    let mut rng = StdRng::seed_from_u64(1);
    for number in 0..NUMBER {
        let team = format!("team-of-the-north-{number:06}");
        gate.arrive(Duration::from_secs(1), &arrival(&team), &mut rng);
    }
    let after = resident()?;
    let how = "resident memory, 100,000 teams with a request in progress";
    Ok(row("team", bytes(before, after, u64::from(NUMBER)), how))
}

fn time(total: Duration, number: u32) -> String {
    format!("{:.2} µs", total.as_secs_f64() * 1e6 / f64::from(number))
}

/// A choice by prefix, with its bookkeeping.
fn choose(replicas: usize) -> Vec<String> {
    let mut pool = pool(replicas);
    let mut rng = StdRng::seed_from_u64(1);
    let place = place();
    let begin = Instant::now();
    for turn in 0..REPEATS {
        let now = Duration::from_secs(100) + Duration::from_millis(u64::from(turn));
        let prefix = Some(u64::from(turn % 300));
        let ask = Request {
            service: &place.service,
            version: &place.version,
            data_centre: &place.data_centre,
            prefix,
            avoid: &[],
            resume: false,
        };
        if let Choice::Server(server) = pool.choose(now, &ask, &mut rng) {
            pool.sent(now, &server, prefix);
            let time = Duration::from_secs(1);
            pool.done(now, &server, Outcome::Served { time });
        }
    }
    let how = format!("choose, sent, done; {replicas} replicas of a version near; one core");
    row("request, routing", time(begin.elapsed(), REPEATS), &how)
}

fn learn() -> Vec<String> {
    let mut pool = pool(1000);
    let servers: Vec<String> = (0..1000).map(server).collect();
    let begin = Instant::now();
    for turn in 0..REPEATS {
        let now = Duration::from_secs(100) + Duration::from_millis(u64::from(turn));
        let server = &servers[turn as usize % servers.len()];
        pool.record_report(now, server, &report(turn % 50));
    }
    let each = time(begin.elapsed(), REPEATS);
    row("load report", each, "learn; 1000 replicas; one core")
}

/// A request through a gate that is at its limit, so that each one waits.
fn arrive(teams: usize) -> Vec<String> {
    let mut gate = Gate::new(admission::Settings {
        initial_time: Duration::from_millis(10),
        ..settings(100)
    });
    let mut rng = StdRng::seed_from_u64(1);
    let names: Vec<String> = (0..teams).map(|number| format!("team-{number}")).collect();
    let mut running = std::collections::VecDeque::new();
    let mut waiting = std::collections::HashMap::new();
    let begin = Instant::now();
    for turn in 0..REPEATS {
        let now = Duration::from_secs(100) + Duration::from_millis(u64::from(turn));
        let team = &names[turn as usize * 7 % teams];
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
                first_token: Some(Duration::from_millis(5)),
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
    row("request, admission", time(begin.elapsed(), REPEATS), &how)
}
