//! `medlarhatch keys`, and the reading of keys files.

use std::{
    fs,
    path::Path, //
};

use keys::Authority;
use settings::Keys;

use crate::{
    cli,
    messages::Failure, //
};

/// Name of the authority's file.
const AUTHORITY: &str = "authority.yaml";

/// Makes keys for hosts.
pub fn run(args: &cli::Keys) -> Result<(), Failure> {
    if args.hosts.is_empty() {
        return Err(Failure::Failed("name at least one host".into()));
    }
    fs::create_dir_all(&args.out).map_err(|error| unwritten(&args.out, &error))?;
    let authority = authority(&args.out.join(AUTHORITY))?;
    for host in &args.hosts {
        let keys = authority
            .issue(host)
            .map_err(|error| Failure::Failed(error.to_string()))?;
        let path = args.out.join(format!("{host}.yaml"));
        write(&path, &keys)?;
        println!("{}", path.display());
    }
    Ok(())
}

/// Reads a keys file. With `check` there may be none, and what was read isn't given.
pub fn read(path: Option<&Path>, check: bool) -> Result<Option<Keys>, Failure> {
    let Some(path) = path else {
        if check {
            return Ok(None);
        }
        return Err(Failure::Failed(
            "--keys is missing: see `medlarhatch keys --help`".into(),
        ));
    };
    let keys = settings::read(path, &Keys::sample())?;
    Ok((!check).then_some(keys))
}

/// The authority in a file, or a new one, written there.
fn authority(path: &Path) -> Result<Authority, Failure> {
    if path.exists() {
        let text = fs::read_to_string(path).map_err(|error| unwritten(path, &error))?;
        return serde_norway::from_str(&text)
            .map_err(|error| Failure::Failed(format!("{}: {error}", path.display())));
    }
    let authority = Authority::new().map_err(|error| Failure::Failed(error.to_string()))?;
    write(path, &authority)?;
    Ok(authority)
}

fn write(path: &Path, value: &impl serde::Serialize) -> Result<(), Failure> {
    let text = serde_norway::to_string(value)
        .map_err(|error| Failure::Failed(format!("{}: {error}", path.display())))?;
    fs::write(path, text).map_err(|error| unwritten(path, &error))
}

fn unwritten(path: &Path, error: &std::io::Error) -> Failure {
    Failure::Failed(format!("{}: {error}", path.display()))
}
