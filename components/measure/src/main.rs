//! Measuring programs. `cargo run --release -p measure -- <what>` prints a table in Markdown.
//!
//! Each figure in the docs names the command that gave it. Baselines run in the same process and
//! over the same seeds as what they are compared with.

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
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
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

/// Prints which build is measured.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let measured = match args.what {
        What::Admission(args) => {
            admission::print(&args);
            Ok(())
        }
        What::Calls(args) => {
            calls::print(&args);
            Ok(())
        }
        What::Experiment(args) => experiment::print(&args),
        What::Idle(args) => live(idle::run(args)),
        What::Links(args) => live(links::run(args)),
        What::Load(args) => live(load::run(args)),
        What::Moves(args) => {
            moves::print(&args);
            Ok(())
        }
        What::Resumes(args) => {
            resumes::print(&args);
            Ok(())
        }
        What::Routing(args) => {
            routing::print(&args);
            Ok(())
        }
        What::Slopes(args) => slopes::print(&args),
        What::Spread(args) => {
            spread::print(&args);
            Ok(())
        }
        What::Tokens(args) => live(tokens::run(args)),
        What::Version(_) => {
            let rows = vec![vec![env!("CARGO_PKG_VERSION").to_string()]];
            table::print(&["version"], &rows);
            Ok(())
        }
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a measurement that needs sockets and time.
fn live(measurement: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(measurement)
}
