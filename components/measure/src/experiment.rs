//! Simulated load patterns, with all production decisions and with single ones disabled.

use std::{
    fs,
    io, //
};

use argh::FromArgs;
use experiment::{
    Pattern,
    Policy,
    Summary,
    simulate, //
};

use crate::{
    plot::{
        self,
        Line, //
    },
    sample::Sample,
    table, //
};

/// Simulates load patterns in virtual time and compares policies over the same seeds.
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct Args {
    /// pattern to simulate; may be given more than once (default: all, bursts of 1 to 6)
    #[argh(option)]
    pattern: Vec<Pattern>,
    /// policy to simulate it with; may be given more than once (default: all, no-queue)
    #[argh(option)]
    policy: Vec<Policy>,
    /// number of seeds (default 10)
    #[argh(option, default = "10")]
    seeds: u64,
    /// file for an SVG plot of goodput over load
    #[argh(option)]
    plot: Option<String>,
}

/// Loads of the plot's points, as multiples of the capacity.
const PLOT_LOADS: [f64; 7] = [0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 6.0];

/// Prints one table, and writes the plot if a file is given.
///
/// # Errors
///
/// Returns an error if the plot can't be written.
pub fn print(args: &Args) -> io::Result<()> {
    let patterns = or_default(&args.pattern, default_patterns());
    let policies = or_default(&args.policy, vec![Policy::All, Policy::NoQueue]);
    let mut rows = Vec::new();
    for pattern in patterns {
        for policy in &policies {
            rows.push(row(
                pattern,
                *policy,
                &simulate_seeds(pattern, *policy, args.seeds),
            ));
        }
    }
    println!("{} seeds; median (worst)\n", args.seeds);
    table::print(
        &[
            "pattern",
            "policy",
            "in time, of 100",
            "late",
            "refused",
            "failed",
            "in time a second",
            "least kind, of the mean",
            "hit by a loss, in time, of 100",
            "read in vain, %",
        ],
        &rows,
    );
    let Some(path) = &args.plot else {
        return Ok(());
    };
    fs::write(path, draw(&policies, args.seeds))
}

fn or_default<T: Clone>(given: &[T], default: Vec<T>) -> Vec<T> {
    match given.is_empty() {
        true => default,
        false => given.to_vec(),
    }
}

fn default_patterns() -> Vec<Pattern> {
    vec![
        Pattern::Burst(1.0),
        Pattern::Burst(3.0),
        Pattern::Burst(6.0),
        Pattern::OneKey,
        Pattern::OneTeam,
        Pattern::Impatient,
        Pattern::DataCentre,
        Pattern::OneOfThree,
    ]
}

fn simulate_seeds(pattern: Pattern, policy: Policy, seeds: u64) -> Vec<Summary> {
    let setup = pattern.setup();
    (0..seeds)
        .map(|seed| simulate(&setup, pattern, policy, seed))
        .collect()
}

fn row(pattern: Pattern, policy: Policy, summaries: &[Summary]) -> Vec<String> {
    let sample = |figure: fn(&Summary) -> f64| Sample::of(summaries.iter().map(figure));
    let percent =
        |count: fn(&Summary) -> u32| {
            let requests = summaries.iter();
            Sample::of(requests.map(|summary| {
                100.0 * f64::from(count(summary)) / f64::from(summary.requests.max(1))
            }))
        };
    let in_time_after_loss = |summary: &Summary| {
        100.0 * f64::from(summary.interrupted.1) / f64::from(summary.interrupted.0.max(1))
    };
    let after_loss = match summaries.iter().all(|summary| summary.interrupted.0 == 0) {
        true => "-".to_string(),
        false => sample(in_time_after_loss).lowest_is_worst(0),
    };
    vec![
        pattern.name(),
        policy.name().to_string(),
        percent(|summary| summary.in_time).lowest_is_worst(0),
        percent(|summary| summary.late).highest_is_worst(0),
        percent(|summary| summary.refused).highest_is_worst(0),
        percent(|summary| summary.failed).highest_is_worst(0),
        sample(Summary::goodput).lowest_is_worst(1),
        sample(Summary::lowest_share).lowest_is_worst(2),
        after_loss,
        sample(|summary| 100.0 * summary.wasted_share()).highest_is_worst(1),
    ]
}

/// Returns the SVG of the goodput over the load, with one line per policy.
fn draw(policies: &[Policy], seeds: u64) -> String {
    let mut lines = Vec::new();
    for policy in policies {
        let points = PLOT_LOADS.iter().map(|load| {
            let summaries = simulate_seeds(Pattern::Steady(*load), *policy, seeds);
            let goodput = Sample::of(summaries.iter().map(Summary::goodput)).median();
            (*load, goodput)
        });
        lines.push(Line {
            name: policy.name().to_string(),
            points: points.collect(),
        });
    }
    plot::line_plot(
        &lines,
        "load, multiple of the capacity",
        "answers in time a second",
    )
}
