//! Benchmarks and simulations: `cargo run --release -p measure -- <command>` prints Markdown
//! tables.
//!
//! Every figure in the docs names the command that produced it. Baselines run in the same process
//! and over the same seeds as the variant that they are compared with.

use std::{
    future::Future,
    io,
    process::ExitCode, //
};

use argh::FromArgs;

mod admission;
mod calls;
mod experiment;
mod idle;
mod links;
mod load;
mod moves;
mod plot;
mod process;
mod resumes;
mod routing;
mod sample;
mod slopes;
mod spread;
mod table;
mod tokens;

/// Measures parts of medlarhatch and prints tables in Markdown.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Admission(admission::Args),
    Calls(calls::Args),
    Experiment(experiment::Args),
    Idle(idle::Args),
    Links(links::Args),
    Load(load::Args),
    Moves(moves::Args),
    Resumes(resumes::Args),
    Routing(routing::Args),
    Slopes(slopes::Args),
    Spread(spread::Args),
    Tokens(tokens::Args),
    Version(Version),
}

/// Prints the version of this build.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Admission(args) => {
            admission::print(&args);
            Ok(())
        }
        Command::Calls(args) => {
            calls::print(&args);
            Ok(())
        }
        Command::Experiment(args) => experiment::print(&args),
        Command::Idle(args) => block_on(idle::run(args)),
        Command::Links(args) => block_on(links::run(args)),
        Command::Load(args) => block_on(load::run(args)),
        Command::Moves(args) => {
            moves::print(&args);
            Ok(())
        }
        Command::Resumes(args) => {
            resumes::print(&args);
            Ok(())
        }
        Command::Routing(args) => {
            routing::print(&args);
            Ok(())
        }
        Command::Slopes(args) => slopes::print(&args),
        Command::Spread(args) => {
            spread::print(&args);
            Ok(())
        }
        Command::Tokens(args) => block_on(tokens::run(args)),
        Command::Version(_) => {
            let rows = vec![vec![env!("CARGO_PKG_VERSION").to_string()]];
            table::print(&["version"], &rows);
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a measurement that uses sockets and real time.
fn block_on(measurement: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(measurement)
}
