//! Replica choice against round robin and least load, over generated events.
//!
//! Four entries send requests that arrive at random, with lengths drawn beforehand. Replicas are
//! only counted, not modelled: what is measured is what a choice meets (how many runs are at the
//! chosen replica, whether the prefix went there lately, whether it fails), not what a replica
//! would make of it.

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

/// Replica choice against round robin and least load, over generated events.
#[derive(FromArgs)]
#[argh(subcommand, name = "routing")]
pub struct Args {
    /// number of seeds (default 20)
    #[argh(option, default = "20")]
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
            "sent to a full replica, %",
            "load met, 99th",
            "prefix lately there, %",
            "failed, %",
        ],
        &rows,
    );
}

fn row(case: Case, policy: Policy, seen: &[Seen]) -> Vec<String> {
    let spread = |of: fn(&Seen) -> f64| Sample::of(seen.iter().map(of));
    vec![
        case.name().to_string(),
        policy.name().to_string(),
        spread(|seen| seen.full_percent).highest_is_worst(1),
        spread(|seen| seen.load_met).highest_is_worst(2),
        spread(|seen| seen.prefix_percent).lowest_is_worst(1),
        spread(|seen| seen.failed_percent).highest_is_worst(2),
    ]
}
