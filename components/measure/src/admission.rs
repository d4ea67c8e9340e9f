//! Simulates the production admission gate, no admission control and a plain limit, and compares
//! them.
//!
//! Requests of 300 teams arrive at random; five teams send half of them. Run lengths are drawn on
//! arrival, independently of the policy. Engines are not modelled: a request counts as in time if
//! it started within [`simulation::MAX_WAIT`] and without exceeding the capacity, up to which
//! engines keep their latencies. Refused callers retry after the time in the refusal, up to five
//! times.

use argh::FromArgs;

use crate::{
    sample::Sample,
    table, //
};

mod policy;
mod simulation;

use policy::Policy;
use simulation::{
    Case,
    Summary, //
};

/// Compares the admission gate with no admission control and with a plain limit, in virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "admission")]
pub struct Args {
    /// number of seeds (default 10)
    #[argh(option, default = "10")]
    seeds: u64,
}

/// Prints one table with a row for each case and policy.
pub fn print(args: &Args) {
    let mut rows = Vec::new();
    for case in Case::ALL {
        for policy in Policy::ALL {
            let mut summaries = Vec::new();
            for seed in 0..args.seeds {
                summaries.push(simulation::run(case, policy, seed));
            }
            rows.push(row(case, policy, &summaries));
        }
    }
    println!("{} seeds; median (worst)", args.seeds);
    println!();
    table::print(
        &[
            "case",
            "policy",
            "goodput, % of capacity",
            "small teams, % of their due",
            "5th team of 100, % of its due",
            "tries a request",
            "back after outage, s",
        ],
        &rows,
    );
}

fn row(case: Case, policy: Policy, summaries: &[Summary]) -> Vec<String> {
    let sample = |figure: fn(&Summary) -> f64| Sample::of(summaries.iter().map(figure));
    let recovery = if case == Case::Outage {
        sample(|summary| summary.recovery_seconds).highest_is_worst(0)
    } else {
        "-".to_string()
    };
    vec![
        case.name().to_string(),
        policy.name().to_string(),
        sample(|summary| summary.goodput_percent).lowest_is_worst(1),
        sample(|summary| summary.small_teams_percent).lowest_is_worst(1),
        sample(|summary| summary.fifth_percentile).lowest_is_worst(1),
        sample(|summary| summary.attempts).highest_is_worst(2),
        recovery,
    ]
}
