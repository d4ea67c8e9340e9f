//! Compares the production movers with a fixed ramp and an immediate switch, in virtual time.
//!
//! Evidence is generated for a table of faults. Hosts, queues and links are not modelled: the
//! result of each request is drawn by its version, its route and the time.

use std::thread;

use argh::FromArgs;

use crate::table;

mod baseline;
mod fleet;
mod simulation;
mod traffic;

use baseline::Rule;
use simulation::{
    Outcome,
    Policy, //
};
use traffic::{
    Case,
    Fault,
    Onset, //
};

/// Compares movers with baselines on moves to good and bad versions, in virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "moves")]
pub struct Args {
    /// seeds per case at 72 requests an hour and at 10 a second; at 150 a second a fifth of them
    /// (default 100)
    #[argh(option, default = "100")]
    seeds: u64,
    /// seeds per case of a good version at 10 requests a second (default 400)
    #[argh(option, default = "400")]
    good_seeds: u64,
    /// number of threads (default 4)
    #[argh(option, default = "4")]
    threads: u64,
    /// run only faults whose name contains this text
    #[argh(option, default = "String::new()")]
    only: String,
    /// run only rates whose name contains this text
    #[argh(option, default = "String::new()")]
    rate: String,
    /// run the movers without the baselines
    #[argh(switch)]
    alone: bool,
}

/// Request rates: name, requests per second, and replicas per version. The second is the rate of
/// the co-operative, the third the target.
const REQUEST_RATES: [(&str, f64, u32); 3] = [
    ("72 an hour", 0.02, 25),
    ("10 a second", 10.0, 25),
    ("150 a second", 150.0, 330),
];

/// Faults of the new version, which must be reverted.
const BAD_VERSIONS: [Fault; 5] = [
    Fault::Failing,
    Fault::SlowFirst,
    Fault::SlowBetween,
    Fault::OneRoute,
    Fault::UnderLoad,
];

/// Faults that are not the new version's, whose move must complete.
const GOOD_VERSIONS: [Fault; 6] = [
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
    print_good(args);
    println!("\nBad versions:\n");
    print_bad(args);
}

fn selected_policies(args: &Args) -> Vec<(&'static str, Policy)> {
    let mut policies = vec![("movers", Policy::Movers)];
    if !args.alone {
        policies.push(("ramp", Policy::Fixed(Rule::Ramp)));
        policies.push(("switch", Policy::Fixed(Rule::Switch)));
    }
    policies
}

fn is_selected(args: &Args, fault: Fault, rate: &str) -> bool {
    format!("{fault:?}").contains(&args.only) && rate.contains(&args.rate)
}

fn print_good(args: &Args) {
    let mut rows = Vec::new();
    for fault in GOOD_VERSIONS {
        for (index, (name, rate, replicas)) in REQUEST_RATES.into_iter().enumerate() {
            if !is_selected(args, fault, name) {
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
            for (label, policy) in selected_policies(args) {
                let outcomes = run_seeds(case, policy, seeds, args.threads);
                rows.push(vec![
                    format!("{fault:?}"),
                    name.into(),
                    label.into(),
                    percent(&outcomes, |outcome| outcome.in_time),
                    percent(&outcomes, |outcome| outcome.reverted),
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

fn print_bad(args: &Args) {
    let mut rows = Vec::new();
    for fault in BAD_VERSIONS {
        for onset in [Onset::AtOnce, Onset::Later, Onset::AfterFull] {
            for strength in 0..3 {
                for (index, rate) in REQUEST_RATES.into_iter().enumerate() {
                    if !is_selected(args, fault, rate.0) {
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

/// Returns the rows of one bad version, one per policy.
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
    let strength_names = match slow {
        true => ["1.3 times", "2 times", "5 times"],
        false => ["1%", "5%", "50%"],
    };
    let mut rows = Vec::new();
    for (label, policy) in selected_policies(args) {
        let outcomes = run_seeds(case, policy, seeds, args.threads);
        let requests = sorted_values(&outcomes, |outcome| outcome.bad_requests as f64);
        let shares = sorted_values(&outcomes, |outcome| {
            100.0 * outcome.bad_requests as f64 / outcome.requests.max(1) as f64
        });
        let reverted: Vec<_> = outcomes
            .iter()
            .filter(|outcome| outcome.reverted)
            .copied()
            .collect();
        let revert_times = sorted_values(&reverted, |outcome| outcome.revert_seconds);
        rows.push(vec![
            format!("{fault:?}"),
            format!("{onset:?}"),
            strength_names[strength].into(),
            name.into(),
            label.into(),
            percent(&outcomes, |outcome| outcome.reverted),
            format!("{:.0}", quantile(&requests, 0.5)),
            format!("{:.0}", quantile(&requests, 0.99)),
            format!("{:.1}%", quantile(&shares, 0.5)),
            format!("{:.0}", quantile(&revert_times, 0.5)),
            format!("{:.0}", quantile(&revert_times, 0.99)),
        ]);
    }
    rows
}

/// Runs a case for all seeds, distributed over threads.
fn run_seeds(case: Case, policy: Policy, seeds: u64, threads: u64) -> Vec<Outcome> {
    thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|worker| {
                scope.spawn(move || {
                    (worker..seeds)
                        .step_by(threads as usize)
                        .map(|seed| simulation::simulate(case, policy, seed))
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

fn percent(outcomes: &[Outcome], predicate: impl Fn(&Outcome) -> bool) -> String {
    let count = outcomes.iter().filter(|outcome| predicate(outcome)).count();
    format!(
        "{:.1}%",
        100.0 * count as f64 / outcomes.len().max(1) as f64
    )
}

fn sorted_values(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> Vec<f64> {
    let mut values: Vec<_> = outcomes.iter().map(figure).collect();
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (share * last as f64).round() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
