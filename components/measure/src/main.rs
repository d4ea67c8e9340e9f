//! Measuring programs. `cargo run --release -p measure -- <what>` prints a table in Markdown.
//!
//! Each figure in the docs names the command that gave it. Baselines run in the same process and
//! over the same seeds as what they are compared with.

use argh::FromArgs;

mod moves;
mod resumes;
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
    Moves(moves::Args),
    Resumes(resumes::Args),
    Version(Version),
}

/// Prints which build is measured.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() {
    let args: Args = argh::from_env();
    match args.what {
        What::Moves(args) => moves::print(&args),
        What::Resumes(args) => resumes::print(&args),
        What::Version(_) => {
            let rows = vec![vec![env!("CARGO_PKG_VERSION").to_string()]];
            table::print(&["version"], &rows);
        }
    }
}
