//! Parsing of documents from YAML, with errors that name the line and the accepted values.

use serde::de::{
    DeserializeSeed,
    IgnoredAny, //
};
use thiserror::Error as ThisError;

use crate::{
    check::{
        Problem,
        check, //
    },
    document::Document,
    path::Path, //
};

/// Maximum size of a document, in bytes. The platform's store accepts values of up to 1 MiB; 64 KiB
/// of it are reserved for the envelope with the document's history, which the entry adds.
pub const MAX_DOCUMENT_BYTES: usize = (1 << 20) - (64 << 10);

/// Why a text can't be parsed as a document.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The text is larger than [`MAX_DOCUMENT_BYTES`].
    #[error("the document has {bytes} bytes; at most {MAX_DOCUMENT_BYTES} are accepted")]
    TooLarge {
        /// Size of the text in bytes.
        bytes: usize,
    },
    /// The text isn't YAML, or a field is unknown, missing or of the wrong type.
    #[error("line {line}, {field}: {message}")]
    Field {
        /// Line in the text, counted from 1.
        line: usize,
        /// Path of the field, such as `services[0].kind`.
        field: String,
        /// Description of the error and of what is accepted.
        message: String,
    },
}

/// Parses a document without checking its consistency, see [`check`]. Unknown fields are rejected.
///
/// # Errors
///
/// [`Error::TooLarge`] above [`MAX_DOCUMENT_BYTES`], [`Error::Field`] for the first syntax error.
pub fn parse(text: &str) -> Result<Document, Error> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(Error::TooLarge { bytes: text.len() });
    }
    serde_norway::from_str(text).map_err(|error| field_error(&error))
}

/// Parses and checks a document.
///
/// # Errors
///
/// All problems, sorted by line.
pub fn parse_checked(text: &str) -> Result<Document, Vec<Problem>> {
    let document = match parse(text) {
        Ok(document) => document,
        Err(error) => return Err(vec![Problem::from(error)]),
    };
    let mut problems = check(&document);
    if problems.is_empty() {
        return Ok(document);
    }
    for problem in &mut problems {
        problem.line = problem.path.line(text);
    }
    problems.sort_by_key(|problem| problem.line);
    Err(problems)
}

/// Replaces the environment's name in a document's text and leaves everything else unchanged,
/// including comments.
///
/// Returns `None` if the text isn't a document or the name can't be replaced unambiguously.
pub fn replace_environment(text: &str, environment: &str) -> Option<String> {
    let document = parse(text).ok()?;
    let line = Path::root().field("environment").line(text)?;
    let mut lines: Vec<_> = text.lines().map(str::to_string).collect();
    let line = lines.get_mut(line - 1)?;
    let (name, value) = line.split_once(':')?;
    let value = value.replacen(&document.environment, environment, 1);
    *line = format!("{name}:{value}");
    let mut replaced = lines.join("\n");
    replaced.push('\n');
    // If the name also occurs elsewhere on the line, fail instead of corrupting the text.
    let expected = Document {
        environment: environment.into(),
        ..document
    };
    (parse(&replaced).ok()? == expected).then_some(replaced)
}

/// Expectations in the YAML library's messages and their replacements in terms of the document.
const EXPECTATIONS: [(&str, &str); 6] = [
    (
        "expected a timestamp",
        "expected a time such as `2026-12-03T11:00:00Z`",
    ),
    (
        "expected a duration",
        "expected a duration such as `15m` or `54ms`",
    ),
    ("expected u32", "expected a whole number"),
    ("expected u8", "expected a whole number up to 255"),
    ("expected f64", "expected a number"),
    ("expected a sequence", "expected a list"),
];

/// Converts an error of the YAML library. Its message has the form `services[0].kind: unknown
/// variant .. at line 3 column 5`, where the path and the position are optional.
fn field_error(error: &serde_norway::Error) -> Error {
    let text = error.to_string();
    let text = match text.rfind(" at line ") {
        Some(end) => &text[..end],
        None => &text,
    };
    let (field, message) = match text.split_once(": ") {
        Some((field, message)) if !field.contains([' ', '`', '"']) => (field, message),
        _ => ("document", text),
    };
    let mut message = message.to_string();
    for (original, replacement) in EXPECTATIONS {
        if message.ends_with(original) {
            message = message.replace(original, replacement);
        }
    }
    Error::Field {
        line: error.location().map_or(1, |location| location.line()),
        field: field.to_string(),
        message,
    }
}

impl From<Error> for Problem {
    fn from(error: Error) -> Self {
        match error {
            Error::TooLarge { .. } => Problem::new(Path::root(), error.to_string()),
            Error::Field {
                line,
                field,
                message,
            } => Problem {
                path: Path::root().field(field),
                line: Some(line),
                message,
            },
        }
    }
}

impl Path {
    /// Returns the line, counted from 1, at which the value at this path begins in a text.
    fn line(&self, text: &str) -> Option<usize> {
        // The seed fails on purpose at the value, and the library's error contains the position.
        let result: Result<IgnoredAny, _> = self
            .seek()
            .deserialize(serde_norway::Deserializer::from_str(text));
        let error = result.err()?;
        error.location().map(|location| location.line())
    }
}
