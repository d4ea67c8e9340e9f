//! `medlarhatch sidecar`.

use sidecar::Sidecar;

use super::stop;
use crate::{
    cli,
    messages::Failure, //
};

/// Runs a sidecar until it is told to stop.
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
    println!("links {}", sidecar.links);
    println!("operators {}", sidecar.operators);
    sidecar.stopped().await;
    Ok(())
}
