//! `medlarhatch keys`: creates keys for hosts. Also reads keys files for other commands.

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

/// File name of the authority.
const AUTHORITY_FILE: &str = "authority.yaml";

/// Issues keys for hosts, one file each, and prints the paths of the files.
pub fn run(args: &cli::Keys) -> Result<(), Failure> {
    if args.hosts.is_empty() {
        return Err(Failure::Failed("give at least one host".into()));
    }
    fs::create_dir_all(&args.out).map_err(|error| file_error(&args.out, &error))?;
    let authority = load_or_create_authority(&args.out.join(AUTHORITY_FILE))?;
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

/// Reads a keys file. With `check`, the path is optional, and the keys are validated but not
/// returned.
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

/// Reads the authority from a file, or creates one and writes it there.
fn load_or_create_authority(path: &Path) -> Result<Authority, Failure> {
    if path.exists() {
        let text = fs::read_to_string(path).map_err(|error| file_error(path, &error))?;
        return serde_norway::from_str(&text)
            .map_err(|error| Failure::Failed(format!("{}: {error}", path.display())));
    }
    let authority = Authority::new().map_err(|error| Failure::Failed(error.to_string()))?;
    write(path, &authority)?;
    Ok(authority)
}

/// Writes a value as YAML.
fn write(path: &Path, value: &impl serde::Serialize) -> Result<(), Failure> {
    let text = serde_norway::to_string(value)
        .map_err(|error| Failure::Failed(format!("{}: {error}", path.display())))?;
    fs::write(path, text).map_err(|error| file_error(path, &error))
}

/// Returns the failure of a file operation.
fn file_error(path: &Path, error: &std::io::Error) -> Failure {
    Failure::Failed(format!("{}: {error}", path.display()))
}
