//! Resumes: the production decisions against a time-out without suspicion and a retry from the
//! start, in virtual time.
//!
//! Token times and faults are generated; no hosts, queues or links are modelled. One answer is one
//! run, all policies see the same answers.

use std::time::Duration;

use answer::{
    resume::Settings,
    threshold, //
};
use argh::FromArgs;

use crate::table;

mod plot;
mod run;

use run::{
    Fault,
    Outcome,
    run, //
};

/// Measures resumes of answers for suspicion and baselines, in virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "resumes")]
pub struct Args {
    /// answers of each cell
    #[argh(option, default = "2000")]
    seeds: u64,
    /// file for the plot of the sweep, as SVG
    #[argh(option)]
    plot: Option<String>,
}

/// A way to answer, with its name in the table.
struct Policy {
    name: String,
    settings: Settings,
}

/// Never reached: only certainty counts.
const NEVER: Duration = Duration::from_secs(3000);

const FAULTS: [(Fault, &str); 4] = [
    (Fault::Death, "process death"),
    (Fault::Stop, "engine stopped"),
    (Fault::Host, "host lost"),
    (Fault::Link, "link silent"),
];

/// Prints the tables, and draws the sweep.
pub fn print(args: &Args) {
    println!(
        "{} answers a cell; latency from the fault to the next new token.\n",
        args.seeds
    );
    compare(args.seeds);
    println!();
    first(args.seeds);
    println!();
    let points = sweep(args.seeds);
    let Some(path) = &args.plot else {
        return;
    };
    if let Err(error) = std::fs::write(path, plot::svg(&points)) {
        eprintln!("{path}: {error}");
    }
}

fn compare(seeds: u64) {
    let mut rows = Vec::new();
    for (fault, name) in FAULTS {
        for policy in policies() {
            let outcomes = outcomes(&policy.settings, fault, seeds);
            rows.push(vec![
                name.to_string(),
                policy.name,
                times(&outcomes, |outcome| outcome.decision),
                times(&outcomes, |outcome| outcome.latency),
                mean(&outcomes, |outcome| outcome.prefill),
                mean(&outcomes, |outcome| outcome.thrown),
            ]);
        }
    }
    let heading = [
        "fault",
        "policy",
        "decision, median / 99th",
        "latency, median / 99th",
        "prefill tokens again, mean",
        "decode tokens thrown away, mean",
    ];
    table::print(&heading, &rows);
}

/// The wait for a first token, with an engine that stops before it.
fn first(seeds: u64) {
    let mut rows = Vec::new();
    for wait in [1000, 1900, 2200, 2500, 3000, 4000] {
        let wait = Duration::from_millis(wait);
        let settings = Settings {
            first_token_timeout: wait,
            ..Settings::default()
        };
        let sound = outcomes(&settings, Fault::None, seeds);
        let stopped = outcomes(&settings, Fault::First, seeds);
        rows.push(vec![
            format!("{wait:?}"),
            per_thousand(&sound),
            format!("{:.2} %", 100.0 * extra(&sound)),
            times(&stopped, |outcome| outcome.latency),
        ]);
    }
    let heading = [
        "wait for the first token",
        "false suspicions per 1000 answers",
        "extra tokens",
        "latency of an engine that stops before it, median / 99th",
    ];
    table::print(&heading, &rows);
}

fn sweep(seeds: u64) -> Vec<plot::Point> {
    let mut rows = Vec::new();
    let mut points = Vec::new();
    for policy in thresholds() {
        let sound = outcomes(&policy.settings, Fault::None, seeds);
        let loaded = outcomes(&policy.settings, Fault::Loaded, seeds);
        let slow = outcomes(&policy.settings, Fault::Slow, seeds);
        let stopped = outcomes(&policy.settings, Fault::Stop, seeds);
        let extra = 100.0 * extra(&slow);
        let median = quantile(&stopped, 0.5, |outcome| outcome.latency);
        rows.push(vec![
            policy.name.clone(),
            per_thousand(&sound),
            format!("{:.2} %", 100.0 * self::extra(&sound)),
            format!("{:.2} %", 100.0 * self::extra(&loaded)),
            per_thousand(&slow),
            format!("{extra:.2} %"),
            times(&stopped, |outcome| outcome.latency),
        ]);
        points.push(plot::Point {
            name: policy.name,
            extra,
            latency: median.as_secs_f64(),
        });
    }
    let heading = [
        "threshold",
        "false suspicions per 1000 answers",
        "extra tokens",
        "extra tokens, loaded pool",
        "false suspicions, slow engine",
        "extra tokens, slow engine",
        "latency of a stopped engine, median / 99th",
    ];
    table::print(&heading, &rows);
    points
}

fn policies() -> Vec<Policy> {
    let certain = threshold::Settings {
        lowest: NEVER,
        highest: NEVER,
        ..threshold::Settings::default()
    };
    let timeout = Settings {
        suspicion: certain,
        first_token_timeout: NEVER,
        ..Settings::default()
    };
    let again = Settings {
        continues: false,
        streamed: false,
        ..timeout.clone()
    };
    vec![
        policy("suspicion", Settings::default()),
        policy("time-out, continued", timeout),
        policy("time-out, from the start", again),
    ]
}

fn thresholds() -> Vec<Policy> {
    let mut policies = Vec::new();
    for fixed in [100, 150, 250, 400, 600, 1000, 2000] {
        let fixed = Duration::from_millis(fixed);
        let suspicion = threshold::Settings {
            lowest: fixed,
            highest: fixed,
            ..threshold::Settings::default()
        };
        policies.push(policy(&format!("fixed {fixed:?}"), with(suspicion)));
    }
    for (means, deviations) in [(2, 4), (4, 8), (8, 16)] {
        for lowest in [150, 250, 400, 600] {
            for excuse in [0, 2, 4] {
                let suspicion = threshold::Settings {
                    lowest: Duration::from_millis(lowest),
                    highest: Duration::from_secs(2),
                    means,
                    deviations,
                    excuse,
                };
                let name =
                    format!("{means}m + {deviations}d, at least {lowest}ms, excuse {excuse}");
                policies.push(policy(&name, with(suspicion)));
            }
        }
    }
    policies
}

fn with(suspicion: threshold::Settings) -> Settings {
    Settings {
        suspicion,
        ..Settings::default()
    }
}

fn policy(name: &str, settings: Settings) -> Policy {
    Policy {
        name: name.to_string(),
        settings,
    }
}

fn outcomes(settings: &Settings, fault: Fault, seeds: u64) -> Vec<Outcome> {
    (0..seeds).map(|seed| run(settings, fault, seed)).collect()
}

fn quantile(outcomes: &[Outcome], share: f64, of: impl Fn(&Outcome) -> Duration) -> Duration {
    let mut all: Vec<Duration> = outcomes.iter().map(of).collect();
    all.sort();
    all[((all.len() - 1) as f64 * share).round() as usize]
}

fn times(outcomes: &[Outcome], of: impl Fn(&Outcome) -> Duration) -> String {
    let median = quantile(outcomes, 0.5, &of).as_secs_f64();
    let high = quantile(outcomes, 0.99, &of).as_secs_f64();
    format!("{median:.3} / {high:.3} s")
}

fn mean(outcomes: &[Outcome], of: impl Fn(&Outcome) -> u64) -> String {
    let sum: u64 = outcomes.iter().map(of).sum();
    format!("{:.1}", sum as f64 / outcomes.len() as f64)
}

fn per_thousand(outcomes: &[Outcome]) -> String {
    let sum: u64 = outcomes.iter().map(|outcome| outcome.suspicions).sum();
    format!("{:.1}", 1000.0 * sum as f64 / outcomes.len() as f64)
}

fn extra(outcomes: &[Outcome]) -> f64 {
    let extra: u64 = outcomes.iter().map(|one| one.prefill + one.thrown).sum();
    let needed: u64 = outcomes.iter().map(|one| one.needed).sum();
    extra as f64 / needed as f64
}
