//! Simulates the production replica choice, round robin and least load, and compares them.
//!
//! Four entries send requests that arrive at random; their lengths are drawn on arrival,
//! independently of the policy. The simulation records the state of the chosen replica: its number
//! of runs, whether it received the prefix recently, and whether the request fails. It doesn't
//! model how replicas respond to load.

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

/// Compares the replica choice with round robin and least load, in virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "routing")]
pub struct Args {
    /// number of seeds (default 20)
    #[argh(option, default = "20")]
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
            "sent to a full replica, %",
            "load met, 99th",
            "prefix lately there, %",
            "failed, %",
        ],
        &rows,
    );
}

fn row(case: Case, policy: Policy, summaries: &[Summary]) -> Vec<String> {
    let sample = |figure: fn(&Summary) -> f64| Sample::of(summaries.iter().map(figure));
    vec![
        case.name().to_string(),
        policy.name().to_string(),
        sample(|summary| summary.full_replica_percent).highest_is_worst(1),
        sample(|summary| summary.load_p99).highest_is_worst(2),
        sample(|summary| summary.prefix_hit_percent).lowest_is_worst(1),
        sample(|summary| summary.failed_percent).highest_is_worst(2),
    ]
}
