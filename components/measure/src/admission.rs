//! Admission against none and against a plain limit, over generated events.
//!
//! Requests of 300 teams arrive at random, with lengths drawn beforehand; five teams make half of
//! them. Engines are not modelled: a request counts as in time when it began within its patience
//! and not beyond capacity, where engines keep their times. Refused callers come back when they
//! were told, up to five times.

use argh::FromArgs;

use crate::{
    sample::Sample,
    table, //
};

mod policy;
mod stream;

use policy::Policy;
use stream::{
    Case,
    Seen, //
};

/// Admission against none and against a plain limit, over generated events.
#[derive(FromArgs)]
#[argh(subcommand, name = "admission")]
pub struct Args {
    /// number of seeds (default 10)
    #[argh(option, default = "10")]
    seeds: u64,
}

/// Prints one table: each case with each policy.
pub fn print(args: &Args) {
    let mut rows = Vec::new();
    for case in Case::ALL {
        for policy in Policy::ALL {
            let mut seen = Vec::new();
            for seed in 0..args.seeds {
                seen.push(stream::run(case, policy, seed));
            }
            rows.push(row(case, policy, &seen));
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

fn row(case: Case, policy: Policy, seen: &[Seen]) -> Vec<String> {
    let spread = |of: fn(&Seen) -> f64| Sample::of(seen.iter().map(of));
    let recovery = if case == Case::Outage {
        spread(|seen| seen.recovery).highest_is_worst(0)
    } else {
        "-".to_string()
    };
    vec![
        case.name().to_string(),
        policy.name().to_string(),
        spread(|seen| seen.goodput_percent).lowest_is_worst(1),
        spread(|seen| seen.small_percent).lowest_is_worst(1),
        spread(|seen| seen.low_percent).lowest_is_worst(1),
        spread(|seen| seen.tries).highest_is_worst(2),
        recovery,
    ]
}
