//! Everything that is wrong with the shape of a settings file, each with its line.
//!
//! A deserializer stops at the first fault. Here the value at fault is replaced by that of a sample
//! that is fine, so that the next fault shows, until none is left.

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

/// Most faults that are told; what follows is hardly a settings file.
const MOST: usize = 50;

/// How the library for durations says what it wanted.
const DURATION: &str = "expected a duration";

/// How the library for messages begins where a field is missing, and where it is unknown.
const MISSING: &str = "missing field `";
const UNKNOWN: &str = "unknown field `";

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line of the field, from 1; that of what it belongs to when the field is missing.
    pub line: Option<usize>,
    /// The field, such as `times.idle` or `seeds[1]`; empty for the file as a whole.
    pub field: String,
    /// What is wrong, and what is accepted.
    pub message: String,
}

/// What follows a file's name and a colon.
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

/// Lines of a file's fields.
pub struct Lines(HashMap<String, usize>);

impl Lines {
    /// Finds the fields of a text; none in one that isn't YAML.
    pub fn new(text: &str) -> Lines {
        let mut lines = HashMap::new();
        let documents = MarkedYaml::load_from_str(text).unwrap_or_default();
        if let Some(document) = documents.first() {
            note(document, String::new(), &mut lines);
        }
        Lines(lines)
    }

    /// Line of a field, or of the nearest one that it belongs to.
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

fn note(node: &MarkedYaml<'_>, field: String, lines: &mut HashMap<String, usize>) {
    match &node.data {
        YamlData::Mapping(map) => {
            for (key, value) in map {
                let Some(name) = key.data.as_str() else {
                    continue;
                };
                let inner = join(&field, name);
                lines.insert(inner.clone(), key.span.start.line());
                note(value, inner, lines);
            }
        }
        YamlData::Sequence(items) => {
            for (index, item) in items.iter().enumerate() {
                let inner = format!("{field}[{index}]");
                lines.insert(inner.clone(), item.span.start.line());
                note(item, inner, lines);
            }
        }
        _ => {}
    }
}

/// Reads a text. Gives what it says, with the sample's values in place of those at fault, and the
/// faults; nothing when it isn't YAML, or when the sample doesn't help.
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
    while faults.len() < MOST {
        let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(read) => return (Some(read), faults),
            Err(error) => error,
        };
        let message = error.inner().to_string();
        let mut path: Vec<Segment> = error.path().iter().cloned().collect();
        let named = |prefix| message.strip_prefix(prefix)?.split('`').next();
        if let Some(name) = named(MISSING).or_else(|| named(UNKNOWN))
            && !matches!(path.last(), Some(Segment::Map { key }) if key == name)
        {
            path.push(Segment::Map { key: name.into() });
        }
        let field = path.iter().fold(String::new(), extend);
        faults.push(Fault {
            line: lines.get_or_insert_with(|| Lines::new(text)).of(&field),
            field,
            message: explain(&message),
        });
        let known = named(UNKNOWN).is_none();
        if !mend(&mut value, &path, Some(sample).filter(|_| known)) {
            break;
        }
    }
    (None, faults)
}

fn extend(field: String, segment: &Segment) -> String {
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

/// Puts the sample's value in place of the one at a path, or takes that away where the sample has
/// none; tells whether that changed anything.
fn mend(value: &mut Value, path: &[Segment], sample: Option<&Value>) -> bool {
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
                return mend(value, rest, inner);
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
                return mend(&mut items[*index], rest, inner);
            }
            items.remove(*index);
            true
        }
        _ => false,
    }
}

/// Adds what is accepted where the libraries' messages leave it out.
fn explain(message: &str) -> String {
    message.replacen(
        DURATION,
        "expected a duration with its unit, such as `500ms` or `3s`",
        1,
    )
}
