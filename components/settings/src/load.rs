//! Reading and checking of a settings file.

use std::{
    fs,
    path::Path, //
};

use garde::Validate;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::shape::{
    self,
    Fault,
    Lines, //
};

/// Why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{path}: can't be read: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// Fields are missing, unknown, of the wrong kind or out of bounds.
    #[error("{}", lines(path, faults))]
    Faulty {
        /// The file.
        path: String,
        /// All that is wrong with it, by line.
        faults: Vec<Fault>,
    },
}

/// A line for each fault: file, line, field, and what is accepted.
fn lines(path: &str, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults
        .iter()
        .map(|fault| format!("{path}:{fault}"))
        .collect();
    lines.join("\n")
}

/// Reads the text of a file; gives its name too, as it stands in messages.
///
/// # Errors
///
/// [`Error::Unreadable`].
pub fn text(path: &Path) -> Result<(String, String), Error> {
    let name = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok((name, text)),
        Err(source) => Err(Error::Unreadable { path: name, source }),
    }
}

/// Reads settings from a file and checks them. `sample` is any settings that are fine.
///
/// # Errors
///
/// [`Error`], with everything that is wrong.
pub fn read<T>(path: &Path, sample: &T) -> Result<T, Error>
where
    T: DeserializeOwned + Serialize + Validate<Context = ()>,
{
    let (name, text) = text(path)?;
    parse(&name, &text, sample)
}

/// Reads settings from a text; `name` stands for it in messages.
///
/// # Errors
///
/// As [`read`].
pub fn parse<T>(name: &str, text: &str, sample: &T) -> Result<T, Error>
where
    T: DeserializeOwned + Serialize + Validate<Context = ()>,
{
    let sample = serde_norway::to_value(sample).expect("settings can be written");
    let (settings, mut faults) = shape::read::<T>(text, &sample);
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
    finish(name, settings, faults)
}

/// What was read, or everything that is wrong with it, by line.
///
/// # Errors
///
/// [`Error::Faulty`] when there is a fault.
pub fn finish<T>(name: &str, read: Option<T>, mut faults: Vec<Fault>) -> Result<T, Error> {
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
