//! `medlarhatch entry`: runs an entry.

use entry::Entry;

use super::stop;
use crate::{
    cli,
    messages::Failure, //
};

/// Runs an entry until SIGTERM or SIGINT, or only checks its files with `--check`.
pub async fn run(args: cli::Entry) -> Result<(), Failure> {
    let settings = settings::read(&args.settings, &settings::Entry::sample())?;
    let keys = super::keys::read(args.keys.as_deref(), args.check)?;
    let Some(keys) = keys else {
        println!("{}: fine", args.settings.display());
        return Ok(());
    };
    let entry = Entry::start(settings, &keys, stop::on_signal()?)
        .await
        .map_err(|error| Failure::Failed(error.to_string()))?;
    super::print_addresses([
        ("callers", entry.callers),
        ("operators", entry.operators),
        ("links", entry.links),
    ]);
    entry.stopped().await;
    Ok(())
}
