//! The subcommands, one per module.

mod demo;
mod entry;
mod env;
mod explain;
mod keys;
mod report;
mod settings;
mod sidecar;
mod stop;

use std::{
    io::Write,
    net::SocketAddr, //
};

use crate::{
    cli::Command,
    messages::Failure, //
};

/// Runs a subcommand.
pub async fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Entry(args) => entry::run(args).await,
        Command::Sidecar(args) => sidecar::run(args).await,
        Command::Env(args) => env::run(args.command).await,
        Command::Keys(args) => keys::run(&args),
        Command::Report(args) => report::run(args.command).await,
        Command::Explain(args) => explain::run(&args),
        Command::Settings(args) => settings::run(args.command),
        Command::Demo(args) => demo::run(args).await,
    }
}

/// Prints the addresses of a daemon, one a line. The daemon also runs when nobody reads them.
fn print_addresses(addresses: impl IntoIterator<Item = (&'static str, SocketAddr)>) {
    let mut output = std::io::stdout().lock();
    for (name, address) in addresses {
        // Fails when the reader has closed the output.
        let _ = writeln!(output, "{name} {address}");
    }
    let _ = output.flush();
}
