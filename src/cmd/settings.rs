//! `medlarhatch settings`.

use std::path::Path;

use serde_norway::Value;
use settings::{
    Entry,
    Error,
    Keys,
    Sidecar, //
};

use crate::{
    cli::SettingsCommand,
    messages::Failure, //
};

/// Checks every file, also behind one that is at fault.
pub fn run(command: SettingsCommand) -> Result<(), Failure> {
    let SettingsCommand::Check(args) = command;
    if args.files.is_empty() {
        return Err(Failure::Failed("no file is named".into()));
    }
    let mut faults = Vec::new();
    for path in &args.files {
        match check(path) {
            Ok(()) => println!("{}: fine", path.display()),
            Err(error) => faults.push(error.to_string()),
        }
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(Failure::Failed(faults.join("\n"))),
    }
}

fn check(path: &Path) -> Result<(), Error> {
    let (name, text) = settings::read_text(path)?;
    // A text that isn't YAML is a fault of any kind of settings.
    let value: Value = serde_norway::from_str(&text).unwrap_or_default();
    if value.get("server").is_some() {
        return settings::parse(&name, &text, &Sidecar::sample()).map(drop);
    }
    if value.get("authority").is_some() {
        return settings::parse(&name, &text, &Keys::sample()).map(drop);
    }
    settings::parse(&name, &text, &Entry::sample()).map(drop)
}
