//! Reading and checking of a settings file.

use std::{
    fs,
    path::Path, //
};

use garde::Validate;
use serde::de::DeserializeOwned;

/// How the library for durations says what it wanted.
const DURATION: &str = "expected a duration";

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
    /// The text isn't YAML of the expected shape; the message names line and field.
    #[error("{path}: {message}")]
    Shape {
        /// The file.
        path: String,
        /// What the parser said.
        message: String,
    },
    /// Values are out of bounds; each line names a field and what is accepted.
    #[error("{path}: {message}")]
    Bounds {
        /// The file.
        path: String,
        /// One line for each field.
        message: String,
    },
}

/// Reads settings from a file and checks them.
pub fn read<T>(path: &Path) -> Result<T, Error>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|source| Error::Unreadable {
        path: name.clone(),
        source,
    })?;
    parse(&name, &text)
}

/// Reads settings from a text; `name` stands for it in messages.
pub fn parse<T>(name: &str, text: &str) -> Result<T, Error>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let settings: T = serde_norway::from_str(text).map_err(|error| Error::Shape {
        path: name.to_string(),
        message: explain(&error.to_string()),
    })?;
    settings.validate().map_err(|report| Error::Bounds {
        path: name.to_string(),
        message: report.to_string().trim_end().to_string(),
    })?;
    Ok(settings)
}

/// Adds what is accepted where the libraries' messages leave it out.
fn explain(message: &str) -> String {
    message.replacen(
        DURATION,
        "expected a duration with its unit, such as `500ms` or `3s`",
        1,
    )
}
