//! Reading and validation of settings files.

use std::{
    fs,
    path::Path, //
};

use garde::Validate;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::lenient::{
    self,
    Fault,
    Lines, //
};

/// Why a settings file was refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{path}: can't be read: {source}")]
    Unreadable {
        /// Path of the settings file.
        path: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Fields are missing, unknown, of the wrong type or out of range.
    #[error("{}", format_faults(path, faults))]
    Faulty {
        /// Path of the settings file.
        path: String,
        /// All faults of the file, ordered by line.
        faults: Vec<Fault>,
    },
}

/// Formats each fault as a line: file, line number, field, and what is wrong.
fn format_faults(path: &str, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults
        .iter()
        .map(|fault| format!("{path}:{fault}"))
        .collect();
    lines.join("\n")
}

/// Reads the text of a file; returns its name for messages too.
///
/// # Errors
///
/// [`Error::Unreadable`] when the file can't be read.
pub fn read_text(path: &Path) -> Result<(String, String), Error> {
    let name = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok((name, text)),
        Err(source) => Err(Error::Unreadable { path: name, source }),
    }
}

/// Reads settings from a file and validates them. `sample` is any valid settings.
///
/// # Errors
///
/// [`Error`], with all faults of the file.
pub fn read<T>(path: &Path, sample: &T) -> Result<T, Error>
where
    T: DeserializeOwned + Serialize + Validate<Context = ()>,
{
    let (name, text) = read_text(path)?;
    parse(&name, &text, sample)
}

/// Parses and validates settings; `name` is the file name in messages. `sample` is any valid
/// settings.
///
/// # Errors
///
/// [`Error::Faulty`], with all faults of the text.
pub fn parse<T>(name: &str, text: &str, sample: &T) -> Result<T, Error>
where
    T: DeserializeOwned + Serialize + Validate<Context = ()>,
{
    let sample = serde_norway::to_value(sample).expect("settings can be serialized");
    let (settings, mut faults) = lenient::read::<T>(text, &sample);
    if let Some(settings) = &settings
        && let Err(report) = settings.validate()
    {
        let lines = Lines::new(text);
        for (field, error) in report.iter() {
            let field = field.to_string();
            faults.push(Fault {
                line: lines.of(&field),
                field,
                message: error.message().to_string(),
            });
        }
    }
    into_result(name, settings, faults)
}

/// Returns the settings, or all faults, ordered by line.
///
/// # Errors
///
/// [`Error::Faulty`] when there is a fault or no settings.
pub fn into_result<T>(name: &str, read: Option<T>, mut faults: Vec<Fault>) -> Result<T, Error> {
    match read {
        Some(read) if faults.is_empty() => Ok(read),
        _ => {
            faults.sort_by_key(|fault| fault.line);
            Err(Error::Faulty {
                path: name.to_string(),
                faults,
            })
        }
    }
}
