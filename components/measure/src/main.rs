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

mod calls;
mod idle;
mod links;
mod moves;
    let measured = match args.what {
        What::Calls(args) => {
            calls::print(&args);
            Ok(())
        }
        What::Idle(args) => live(idle::run(args)),
        What::Links(args) => live(links::run(args)),
        What::Moves(args) => {
            moves::print(&args);
            Ok(())
        }
        What::Tokens(args) => live(tokens::run(args)),
