//! Measures calls with at-most-once execution, poisonous requests and leaving hosts.

use argh::FromArgs;
use tokio::runtime::Runtime;

mod faults;
mod fixture;
mod latency;
mod leaving;
mod poison;

/// Measures calls with at-most-once execution, poisonous requests and leaving hosts.
#[derive(FromArgs)]
#[argh(subcommand, name = "calls")]
pub struct Args {
    /// calls per row of the latency table (default 200)
    #[argh(option, default = "200")]
    calls: usize,
    /// runs per row of the fault and leaving tables (default 5)
    #[argh(option, default = "5")]
    runs: usize,
    /// seeds per row of the poison table (default 200)
    #[argh(option, default = "200")]
    seeds: u64,
}

/// Prints the tables.
pub fn print(args: &Args) {
    println!("Poisonous requests, {} seeds per row:\n", args.seeds);
    poison::print(args.seeds);
    let runtime = Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        println!(
            "\nAdded latency and store calls, {} calls per row:\n",
            args.calls
        );
        latency::print(args.calls).await;
        println!(
            "\nResults that callers receive, {} runs per row:\n",
            args.runs
        );
        faults::print(args.runs).await;
        println!(
            "\nNew work after a leaving signal, {} runs per row:\n",
            args.runs
        );
        leaving::print(args.runs).await;
    });
}
