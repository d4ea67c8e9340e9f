//! Reading a document from YAML, with errors that a person can act on.

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

/// Largest document, in bytes: the platform's store takes values up to a megabyte, and the entry
/// wraps a document in an envelope with its history; the last 64 KiB are kept for that.
pub const MAX_DOCUMENT_BYTES: usize = (1 << 20) - (64 << 10);

/// Why a text isn't a document.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The text is larger than the store takes.
    #[error("the document has {bytes} bytes; at most {MAX_DOCUMENT_BYTES} are accepted")]
    TooLarge {
        /// Size of the text in bytes.
        bytes: usize,
    },
    /// The text isn't YAML, or a field is unknown, missing or of the wrong kind.
    #[error("line {line}, {field}: {message}")]
    Field {
        /// Line in the text, from 1.
        line: usize,
        /// Path of the field, such as `services[0].kind`.
        field: String,
        /// What is wrong, and what is accepted.
        message: String,
    },
}

/// Reads a document's shape. Unknown fields are refused; [`check`] tells whether it makes sense.
pub fn parse(text: &str) -> Result<Document, Error> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(Error::TooLarge { bytes: text.len() });
    }
    serde_norway::from_str(text).map_err(|error| field(&error))
}

/// Reads a document and checks it; every problem that is found comes with its line.
pub fn read(text: &str) -> Result<Document, Vec<Problem>> {
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

/// Gives a document's text another environment; everything else stays as it is, comments too.
pub fn replace_environment(text: &str, environment: &str) -> Option<String> {
    let document = parse(text).ok()?;
    let line = Path::root().field("environment").line(text)?;
    let mut lines: Vec<_> = text.lines().map(str::to_string).collect();
    let line = lines.get_mut(line - 1)?;
    let (name, value) = line.split_once(':')?;
    let value = value.replacen(&document.environment, environment, 1);
    *line = format!("{name}:{value}");
    let mut renamed = lines.join("\n");
    renamed.push('\n');
    // A text in which the name stands elsewhere on the line is refused rather than spoilt.
    let wanted = Document {
        environment: environment.into(),
        ..document
    };
    (parse(&renamed).ok()? == wanted).then_some(renamed)
}

/// What the library expects, and how a person would put it.
const EXPECTED: [(&str, &str); 6] = [
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

/// Takes the library's message apart: it reads `services[0].kind: unknown variant .. at line 3
/// column 5`, with the path and the place left out where they aren't known.
fn field(error: &serde_norway::Error) -> Error {
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
    for (said, meant) in EXPECTED {
        if message.ends_with(said) {
            message = message.replace(said, meant);
        }
    }
    Error::Field {
        line: error.location().map_or(1, |place| place.line()),
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
    /// Finds the line at which this path's value begins in a text.
    fn line(&self, text: &str) -> Option<usize> {
        // The search ends with an error on purpose: the library says where it was.
        let result: Result<IgnoredAny, _> = self
            .seek()
            .deserialize(serde_norway::Deserializer::from_str(text));
        let error = result.err()?;
        error.location().map(|place| place.line())
    }
}
