//! Moves: the production movers against a fixed ramp and an immediate switch.
//!
//! Evidence is generated in virtual time for a table of faults. No hosts, queues or links are
//! modelled: each request's fate is drawn from its version, its route and the time.

use std::thread;

use argh::FromArgs;

use crate::table;

mod baseline;
mod fleet;
mod run;
mod traffic;

use baseline::Rule;
use run::{
    Policy,
    Result, //
};
use traffic::{
    Case,
    Fault,
    Onset, //
};

/// Measures moves of good and bad versions, for movers and baselines, in virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "moves")]
pub struct Args {
    /// seeds of each case at few requests and at the co-operative's size; the target size has a
    /// fifth of them
    #[argh(option, default = "100")]
    seeds: u64,
    /// seeds of each case of a good version at the co-operative's size
    #[argh(option, default = "400")]
    good_seeds: u64,
    /// threads
    #[argh(option, default = "4")]
    threads: u64,
    /// only faults whose name holds this
    #[argh(option, default = "String::new()")]
    only: String,
    /// only rates whose name holds this
    #[argh(option, default = "String::new()")]
    rate: String,
    /// leave the baselines out
    #[argh(switch)]
    alone: bool,
}

/// A rate: its name, requests a second, replicas of each version.
const RATES: [(&str, f64, u32); 3] = [
    ("72 an hour", 0.02, 25),
    ("10 a second", 10.0, 25),
    ("150 a second", 150.0, 330),
];

const BAD: [Fault; 5] = [
    Fault::Failing,
    Fault::SlowFirst,
    Fault::SlowBetween,
    Fault::OneRoute,
    Fault::UnderLoad,
];

const GOOD: [Fault; 6] = [
    Fault::None,
    Fault::Poison,
    Fault::Repeated,
    Fault::LostHost,
    Fault::Overload,
    Fault::NoisyOld,
];

/// Prints both tables.
pub fn print(args: &Args) {
    println!("Good versions:\n");
    good(args);
    println!("\nBad versions:\n");
    bad(args);
}

fn policies(args: &Args) -> Vec<(&'static str, Policy)> {
    let mut policies = vec![("movers", Policy::Movers)];
    if !args.alone {
        policies.push(("ramp", Policy::Fixed(Rule::Ramp)));
        policies.push(("switch", Policy::Fixed(Rule::Switch)));
    }
    policies
}

fn wanted(args: &Args, fault: Fault, rate: &str) -> bool {
    format!("{fault:?}").contains(&args.only) && rate.contains(&args.rate)
}

fn good(args: &Args) {
    let mut rows = Vec::new();
    for fault in GOOD {
        for (index, (name, rate, replicas)) in RATES.into_iter().enumerate() {
            if !wanted(args, fault, name) {
                continue;
            }
            let case = Case {
                fault,
                onset: Onset::AtOnce,
                strength: 0,
                rate,
                replicas,
            };
            let seeds = [args.seeds * 4, args.good_seeds, args.seeds / 5][index];
            for (label, policy) in policies(args) {
                let results = all(case, policy, seeds, args.threads);
                rows.push(vec![
                    format!("{fault:?}"),
                    name.into(),
                    label.into(),
                    part(&results, |result| result.in_time),
                    part(&results, |result| result.reverted),
                    seeds.to_string(),
                ]);
            }
        }
    }
    let heading = [
        "beside it",
        "rate",
        "policy",
        "in time",
        "reverted",
        "seeds",
    ];
    table::print(&heading, &rows);
}

fn bad(args: &Args) {
    let mut rows = Vec::new();
    for fault in BAD {
        for onset in [Onset::AtOnce, Onset::Later, Onset::AfterFull] {
            for strength in 0..3 {
                for (index, rate) in RATES.into_iter().enumerate() {
                    if !wanted(args, fault, rate.0) {
                        continue;
                    }
                    let seeds = [args.seeds, args.seeds, args.seeds / 5][index];
                    rows.extend(bad_rows(args, (fault, onset, strength), rate, seeds));
                }
            }
        }
    }
    let heading = [
        "fault",
        "onset",
        "strength",
        "rate",
        "policy",
        "taken back",
        "requests: median",
        "99th",
        "share: median",
        "seconds: median",
        "99th",
    ];
    table::print(&heading, &rows);
}

fn bad_rows(
    args: &Args,
    (fault, onset, strength): (Fault, Onset, usize),
    (name, rate, replicas): (&str, f64, u32),
    seeds: u64,
) -> Vec<Vec<String>> {
    let case = Case {
        fault,
        onset,
        strength,
        rate,
        replicas,
    };
    let slow = matches!(fault, Fault::SlowFirst | Fault::SlowBetween);
    let names = match slow {
        true => ["1.3 times", "2 times", "5 times"],
        false => ["1%", "5%", "50%"],
    };
    let mut rows = Vec::new();
    for (label, policy) in policies(args) {
        let results = all(case, policy, seeds, args.threads);
        let requests = sorted(&results, |result| result.bad as f64);
        let shares = sorted(&results, |result| {
            100.0 * result.bad as f64 / result.all.max(1) as f64
        });
        let back: Vec<_> = results.iter().filter(|r| r.reverted).copied().collect();
        let took = sorted(&back, |result| result.took);
        rows.push(vec![
            format!("{fault:?}"),
            format!("{onset:?}"),
            names[strength].into(),
            name.into(),
            label.into(),
            part(&results, |result| result.reverted),
            format!("{:.0}", quantile(&requests, 0.5)),
            format!("{:.0}", quantile(&requests, 0.99)),
            format!("{:.1}%", quantile(&shares, 0.5)),
            format!("{:.0}", quantile(&took, 0.5)),
            format!("{:.0}", quantile(&took, 0.99)),
        ]);
    }
    rows
}

fn all(case: Case, policy: Policy, seeds: u64, threads: u64) -> Vec<Result> {
    thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|worker| {
                scope.spawn(move || {
                    (worker..seeds)
                        .step_by(threads as usize)
                        .map(|seed| run::run(case, policy, seed))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a run doesn't panic"))
            .collect()
    })
}

fn part(results: &[Result], which: impl Fn(&Result) -> bool) -> String {
    let count = results.iter().filter(|result| which(result)).count();
    format!("{:.1}%", 100.0 * count as f64 / results.len().max(1) as f64)
}

fn sorted(results: &[Result], what: impl Fn(&Result) -> f64) -> Vec<f64> {
    let mut values: Vec<_> = results.iter().map(what).collect();
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let place = (share * last as f64).round() as usize;
    sorted.get(place).copied().unwrap_or(f64::NAN)
}
