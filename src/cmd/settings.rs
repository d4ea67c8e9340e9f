//! `medlarhatch settings`: checks settings files.

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

/// Checks all files and reports the errors of all of them.
pub fn run(command: SettingsCommand) -> Result<(), Failure> {
    let SettingsCommand::Check(args) = command;
    if args.files.is_empty() {
        return Err(Failure::Failed("no settings file was given".into()));
    }
    let mut errors = Vec::new();
    for path in &args.files {
        match check(path) {
            Ok(()) => println!("{}: fine", path.display()),
            Err(error) => errors.push(error.to_string()),
        }
    }
    match errors.is_empty() {
        true => Ok(()),
        false => Err(Failure::Failed(errors.join("\n"))),
    }
}

/// Checks one file as settings of a sidecar, keys or settings of an entry, by its top-level fields.
fn check(path: &Path) -> Result<(), Error> {
    let (name, text) = settings::read_text(path)?;
    // Text that isn't YAML counts as settings of an entry, whose parser reports the error.
    let value: Value = serde_norway::from_str(&text).unwrap_or_default();
    if value.get("server").is_some() {
        return settings::parse(&name, &text, &Sidecar::sample()).map(drop);
    }
    if value.get("authority").is_some() {
        return settings::parse(&name, &text, &Keys::sample()).map(drop);
    }
    settings::parse(&name, &text, &Entry::sample()).map(drop)
}
