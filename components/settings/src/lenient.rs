//! Finds all fields of a settings file that can't be deserialized, each with its line.
//!
//! A deserializer stops at the first fault. Here the faulty value is replaced by that of a valid
//! sample, and the file is deserialized again, until no fault is left.

use std::{
    collections::HashMap,
    fmt, //
};

use saphyr::{
    LoadableYamlNode,
    MarkedYaml,
    YamlData, //
};
use serde::de::DeserializeOwned;
use serde_norway::Value;
use serde_path_to_error::Segment;

/// Maximum number of reported faults. A file with more of them is probably not a settings file.
const MAX_FAULTS: usize = 50;

/// Start of the `humantime_serde` library's message for a value that isn't a duration.
const DURATION_MESSAGE: &str = "expected a duration";

/// Start of `serde`'s message for a missing field.
const MISSING_PREFIX: &str = "missing field `";

/// Start of `serde`'s message for an unknown field.
const UNKNOWN_PREFIX: &str = "unknown field `";

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line of the field, from 1; that of the enclosing field when the field is missing.
    pub line: Option<usize>,
    /// Path of the field, such as `times.idle` or `seeds[1]`; empty for the file as a whole.
    pub field: String,
    /// What is wrong, and what is accepted instead.
    pub message: String,
}

/// Formats the part that follows the file's name and a colon.
impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(out, "{line}: ")?,
            None => out.write_str(" ")?,
        }
        if !self.field.is_empty() {
            write!(out, "{}: ", self.field)?;
        }
        out.write_str(&self.message)
    }
}

/// Line numbers of a file's fields.
pub struct Lines(HashMap<String, usize>);

impl Lines {
    /// Indexes the fields of a text; empty when it isn't YAML.
    pub fn new(text: &str) -> Lines {
        let mut lines = HashMap::new();
        let documents = MarkedYaml::load_from_str(text).unwrap_or_default();
        if let Some(document) = documents.first() {
            index_lines(document, String::new(), &mut lines);
        }
        Lines(lines)
    }

    /// Returns the line of a field, or of the nearest enclosing field.
    pub fn of(&self, field: &str) -> Option<usize> {
        let mut field = field;
        loop {
            if let Some(line) = self.0.get(field) {
                return Some(*line);
            }
            field = &field[..field.rfind(['.', '['])?];
        }
    }
}

fn index_lines(node: &MarkedYaml<'_>, field: String, lines: &mut HashMap<String, usize>) {
    match &node.data {
        YamlData::Mapping(map) => {
            for (key, value) in map {
                let Some(name) = key.data.as_str() else {
                    continue;
                };
                let inner = join(&field, name);
                lines.insert(inner.clone(), key.span.start.line());
                index_lines(value, inner, lines);
            }
        }
        YamlData::Sequence(items) => {
            for (index, item) in items.iter().enumerate() {
                let inner = format!("{field}[{index}]");
                lines.insert(inner.clone(), item.span.start.line());
                index_lines(item, inner, lines);
            }
        }
        _ => {}
    }
}

/// Deserializes a text. Returns the value, in which the sample's values replace faulty ones, and
/// the faults. Returns no value when the text isn't YAML, or when the sample's values don't resolve
/// the faults.
pub fn read<T>(text: &str, sample: &Value) -> (Option<T>, Vec<Fault>)
where
    T: DeserializeOwned,
{
    let mut value: Value = match serde_norway::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            let fault = Fault {
                line: error.location().map(|at| at.line()),
                field: String::new(),
                message: error.to_string(),
            };
            return (None, vec![fault]);
        }
    };
    let mut lines = None;
    let mut faults = Vec::new();
    while faults.len() < MAX_FAULTS {
        let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(read) => return (Some(read), faults),
            Err(error) => error,
        };
        let message = error.inner().to_string();
        let mut path: Vec<Segment> = error.path().iter().cloned().collect();
        let field_after = |prefix| message.strip_prefix(prefix)?.split('`').next();
        if let Some(name) = field_after(MISSING_PREFIX).or_else(|| field_after(UNKNOWN_PREFIX))
            && !matches!(path.last(), Some(Segment::Map { key }) if key == name)
        {
            path.push(Segment::Map { key: name.into() });
        }
        let field = path.iter().fold(String::new(), append);
        faults.push(Fault {
            line: lines.get_or_insert_with(|| Lines::new(text)).of(&field),
            field,
            message: add_example(&message),
        });
        let is_known = field_after(UNKNOWN_PREFIX).is_none();
        if !replace_with_sample(&mut value, &path, Some(sample).filter(|_| is_known)) {
            break;
        }
    }
    (None, faults)
}

fn append(field: String, segment: &Segment) -> String {
    match segment {
        Segment::Seq { index } => format!("{field}[{index}]"),
        Segment::Map { key } => join(&field, key),
        Segment::Enum { variant } => join(&field, variant),
        Segment::Unknown => field,
    }
}

fn join(field: &str, name: &str) -> String {
    match field.is_empty() {
        true => name.to_string(),
        false => format!("{field}.{name}"),
    }
}

/// Replaces the value at a path with the sample's, or removes it where the sample has none; returns
/// whether that changed the value.
fn replace_with_sample(value: &mut Value, path: &[Segment], sample: Option<&Value>) -> bool {
    let Some((first, rest)) = path.split_first() else {
        let Some(sample) = sample.filter(|sample| **sample != *value) else {
            return false;
        };
        *value = sample.clone();
        return true;
    };
    match (first, value) {
        (Segment::Map { key }, Value::Mapping(map)) => {
            let inner = sample.and_then(|sample| sample.get(key));
            if let (Some(value), false) = (map.get_mut(key), rest.is_empty()) {
                return replace_with_sample(value, rest, inner);
            }
            match inner {
                Some(inner) => {
                    map.insert(key.as_str().into(), inner.clone()).as_ref() != Some(inner)
                }
                None => map.remove(key).is_some(),
            }
        }
        (Segment::Seq { index }, Value::Sequence(items)) if *index < items.len() => {
            if !rest.is_empty() {
                let inner = sample.and_then(|sample| sample.get(0));
                return replace_with_sample(&mut items[*index], rest, inner);
            }
            items.remove(*index);
            true
        }
        _ => false,
    }
}

/// Adds an example of accepted values where the library's message gives none.
fn add_example(message: &str) -> String {
    message.replacen(
        DURATION_MESSAGE,
        "expected a duration with its unit, such as `500ms` or `3s`",
        1,
    )
}
