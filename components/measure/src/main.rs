//! Measuring programs. `cargo run --release -p measure -- <what>` prints a table in Markdown.
//!
//! Each figure in the docs names the command that gave it. Baselines run in the same process and
//! over the same seeds as what they are compared with.

use argh::FromArgs;

mod calls;
mod moves;
mod table;

/// Measures parts of medlarhatch and prints tables in Markdown.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Calls(calls::Args),
    Moves(moves::Args),
    Version(Version),
}

/// Prints which build is measured.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() {
    let args: Args = argh::from_env();
    match args.what {
        What::Calls(args) => calls::print(&args),
        What::Moves(args) => moves::print(&args),
        What::Version(_) => {
            let rows = vec![vec![env!("CARGO_PKG_VERSION").to_string()]];
            table::print(&["version"], &rows);
        }
    }
}
