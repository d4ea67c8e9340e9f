//! `medlarhatch sidecar`: runs a sidecar.

use sidecar::Sidecar;

use super::stop;
use crate::{
    cli,
    messages::Failure, //
};

/// Runs a sidecar until SIGTERM or SIGINT, or only checks its files with `--check`.
pub async fn run(args: cli::Sidecar) -> Result<(), Failure> {
    let settings = settings::read(&args.settings, &settings::Sidecar::sample())?;
    let keys = super::keys::read(args.keys.as_deref(), args.check)?;
    let Some(keys) = keys else {
        println!("{}: fine", args.settings.display());
        return Ok(());
    };
    let sidecar = Sidecar::start(settings, &keys, stop::on_signal()?)
        .await
        .map_err(|error| Failure::Failed(error.to_string()))?;
    super::print_addresses([("links", sidecar.links), ("operators", sidecar.operators)]);
    sidecar.stopped().await;
    Ok(())
}
