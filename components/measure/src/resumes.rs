//! Compares the production resume decisions with a timeout without suspicion and with a retry from
//! the start, in virtual time.
//!
//! Token times and faults are generated; hosts, queues and links are not modelled. Each run
//! simulates one answer, and all policies run over the same answers.

use std::time::Duration;

use answer::{
    resume::Settings,
    threshold, //
};
use argh::FromArgs;

use crate::table;

mod plot;
mod simulation;

use simulation::{
    Fault,
    Outcome,
    simulate, //
};

/// Compares resumes of answers after suspicion with baselines, in virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "resumes")]
pub struct Args {
    /// answers per row (default 2000)
    #[argh(option, default = "2000")]
    seeds: u64,
    /// file for an SVG plot of the threshold sweep
    #[argh(option)]
    plot: Option<String>,
}

/// Resume settings, with their name in the table.
struct Policy {
    name: String,
    settings: Settings,
}

/// A timeout that never expires, so that only certain failures count.
const NEVER_EXPIRES: Duration = Duration::from_secs(3000);

const FAULTS: [(Fault, &str); 4] = [
    (Fault::Death, "process death"),
    (Fault::Stop, "engine stopped"),
    (Fault::Host, "host lost"),
    (Fault::Link, "link silent"),
];

/// Prints the tables, and writes the plot of the threshold sweep if a file is given.
pub fn print(args: &Args) {
    println!(
        "{} answers per row; latency from the fault to the next new token.\n",
        args.seeds
    );
    print_policies(args.seeds);
    println!();
    print_first_token_timeouts(args.seeds);
    println!();
    let points = print_thresholds(args.seeds);
    let Some(path) = &args.plot else {
        return;
    };
    if let Err(error) = std::fs::write(path, plot::svg(&points)) {
        eprintln!("{path}: {error}");
    }
}

/// Prints the latency and extra tokens of each policy under each fault.
fn print_policies(seeds: u64) {
    let mut rows = Vec::new();
    for (fault, name) in FAULTS {
        for policy in policies() {
            let outcomes = outcomes(&policy.settings, fault, seeds);
            rows.push(vec![
                name.to_string(),
                policy.name,
                median_and_p99(&outcomes, |outcome| outcome.decision_delay),
                median_and_p99(&outcomes, |outcome| outcome.latency),
                mean(&outcomes, |outcome| outcome.extra_prefill),
                mean(&outcomes, |outcome| outcome.discarded),
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

/// Prints the effect of the first-token timeout on healthy engines and on ones that stop before
/// that token.
fn print_first_token_timeouts(seeds: u64) {
    let mut rows = Vec::new();
    for timeout in [1000, 1900, 2200, 2500, 3000, 4000] {
        let timeout = Duration::from_millis(timeout);
        let settings = Settings {
            first_token_timeout: timeout,
            ..Settings::default()
        };
        let healthy = outcomes(&settings, Fault::None, seeds);
        let stopped = outcomes(&settings, Fault::First, seeds);
        rows.push(vec![
            format!("{timeout:?}"),
            per_thousand(&healthy),
            format!("{:.2} %", 100.0 * extra_share(&healthy)),
            median_and_p99(&stopped, |outcome| outcome.latency),
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

/// Prints the false suspicions and latency of each threshold; returns the points of the plot.
fn print_thresholds(seeds: u64) -> Vec<plot::Point> {
    let mut rows = Vec::new();
    let mut points = Vec::new();
    for policy in thresholds() {
        let healthy = outcomes(&policy.settings, Fault::None, seeds);
        let loaded = outcomes(&policy.settings, Fault::Loaded, seeds);
        let slow = outcomes(&policy.settings, Fault::Slow, seeds);
        let stopped = outcomes(&policy.settings, Fault::Stop, seeds);
        let extra = 100.0 * extra_share(&slow);
        let median = quantile(&stopped, 0.5, |outcome| outcome.latency);
        rows.push(vec![
            policy.name.clone(),
            per_thousand(&healthy),
            format!("{:.2} %", 100.0 * extra_share(&healthy)),
            format!("{:.2} %", 100.0 * extra_share(&loaded)),
            per_thousand(&slow),
            format!("{extra:.2} %"),
            median_and_p99(&stopped, |outcome| outcome.latency),
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
    let no_suspicion = threshold::Settings {
        lowest: NEVER_EXPIRES,
        highest: NEVER_EXPIRES,
        ..threshold::Settings::default()
    };
    let timeout = Settings {
        suspicion: no_suspicion,
        first_token_timeout: NEVER_EXPIRES,
        ..Settings::default()
    };
    let restart = Settings {
        continues: false,
        streamed: false,
        ..timeout.clone()
    };
    vec![
        policy("suspicion", Settings::default()),
        policy("time-out, continued", timeout),
        policy("time-out, from the start", restart),
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
        policies.push(policy(
            &format!("fixed {fixed:?}"),
            with_suspicion(suspicion),
        ));
    }
    for (means, deviations) in [(2, 4), (4, 8), (8, 16)] {
        for lowest in [150, 250, 400, 600] {
            for floor_factor in [0, 2, 4] {
                let suspicion = threshold::Settings {
                    lowest: Duration::from_millis(lowest),
                    highest: Duration::from_secs(2),
                    means,
                    deviations,
                    floor_factor,
                };
                let name =
                    format!("{means}m + {deviations}d, at least {lowest}ms, excuse {floor_factor}");
                policies.push(policy(&name, with_suspicion(suspicion)));
            }
        }
    }
    policies
}

fn with_suspicion(suspicion: threshold::Settings) -> Settings {
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
    (0..seeds)
        .map(|seed| simulate(settings, fault, seed))
        .collect()
}

fn quantile(outcomes: &[Outcome], share: f64, figure: impl Fn(&Outcome) -> Duration) -> Duration {
    let mut all: Vec<Duration> = outcomes.iter().map(figure).collect();
    all.sort();
    all[((all.len() - 1) as f64 * share).round() as usize]
}

fn median_and_p99(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> Duration) -> String {
    let median = quantile(outcomes, 0.5, &figure).as_secs_f64();
    let p99 = quantile(outcomes, 0.99, &figure).as_secs_f64();
    format!("{median:.3} / {p99:.3} s")
}

fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> u64) -> String {
    let total: u64 = outcomes.iter().map(figure).sum();
    format!("{:.1}", total as f64 / outcomes.len() as f64)
}

fn per_thousand(outcomes: &[Outcome]) -> String {
    let total: u64 = outcomes.iter().map(|outcome| outcome.suspicions).sum();
    format!("{:.1}", 1000.0 * total as f64 / outcomes.len() as f64)
}

/// Returns the extra tokens as a share of the tokens that the answers need.
fn extra_share(outcomes: &[Outcome]) -> f64 {
    let extra: u64 = outcomes
        .iter()
        .map(|outcome| outcome.extra_prefill + outcome.discarded)
        .sum();
    let needed: u64 = outcomes.iter().map(|outcome| outcome.needed).sum();
    extra as f64 / needed as f64
}
