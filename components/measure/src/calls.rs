//! `measure calls`: calls that run at most once, poisonous requests, leaving hosts.

use argh::FromArgs;
use tokio::runtime::Runtime;

mod desk;
mod faults;
mod latency;
mod leaving;
mod poison;

/// Measures calls that run at most once, poisonous requests and leaving hosts.
#[derive(FromArgs)]
#[argh(subcommand, name = "calls")]
pub struct Args {
    /// calls per row of the latency table
    #[argh(option, default = "200")]
    calls: usize,
    /// runs per row of the fault table
    #[argh(option, default = "5")]
    runs: usize,
    /// seeds per row of the poison table
    #[argh(option, default = "200")]
    seeds: u64,
}

/// Prints the tables.
pub fn print(args: &Args) {
    println!("Poisonous requests, {} seeds a row:\n", args.seeds);
    poison::print(args.seeds);
    let runtime = Runtime::new().expect("a runtime can be made");
    runtime.block_on(async {
        println!(
            "\nAdded latency and store calls, {} calls a row:\n",
            args.calls
        );
        latency::print(args.calls).await;
        println!("\nWhat callers are told, {} runs a row:\n", args.runs);
        faults::print(args.runs).await;
        println!(
            "\nNew work after a leaving sign, {} runs a row:\n",
            args.runs
        );
        leaving::print(args.runs).await;
    });
}
