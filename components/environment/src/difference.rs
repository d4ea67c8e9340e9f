//! What changes between two documents, as shown to an operator before a put.

use std::{
    collections::BTreeSet,
    fmt, //
};

use serde_json::Value;

use crate::document::Document;

/// One difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Where, with list elements by name, such as `services[draft].versions[2]`.
    pub path: String,
    /// What happened there.
    pub change: Change,
}

/// What happened to a value; values are given as JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new.
    Added {
        /// What stands there now.
        after: String,
    },
    /// It is gone.
    Removed {
        /// What stood there.
        before: String,
    },
    /// It is another one.
    Changed {
        /// What stood there.
        before: String,
        /// What stands there now.
        after: String,
    },
    /// The same elements stand in another order; for routes the first that matches wins.
    Reordered {
        /// The order now.
        after: String,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match &self.change {
            Change::Added { after } => write!(out, "+ {path}: {after}"),
            Change::Removed { before } => write!(out, "- {path}: {before}"),
            Change::Changed { before, after } => write!(out, "~ {path}: {before} -> {after}"),
            Change::Reordered { after } => write!(out, "~ {path}: order is now {after}"),
        }
    }
}

/// Lists what changes from one document to another; empty when they say the same.
pub fn diff(before: &Document, after: &Document) -> Vec<Difference> {
    let mut lines = Vec::new();
    compare("", &json(before), &json(after), &mut lines);
    lines
}

fn json(document: &Document) -> Value {
    serde_json::to_value(document).unwrap_or(Value::Null)
}

fn compare(path: &str, before: &Value, after: &Value, lines: &mut Vec<Difference>) {
    if before == after {
        return;
    }
    match (before, after) {
        (Value::Object(old), Value::Object(new)) => {
            let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
            for key in keys {
                let path = match path {
                    "" => key.clone(),
                    _ => format!("{path}.{key}"),
                };
                either(&path, old.get(key), new.get(key), lines);
            }
        }
        (Value::Array(old), Value::Array(new)) if named(old) && named(new) => {
            elements(path, old, new, lines);
        }
        _ => lines.push(Difference {
            path: path.into(),
            change: Change::Changed {
                before: before.to_string(),
                after: after.to_string(),
            },
        }),
    }
}

fn either(path: &str, before: Option<&Value>, after: Option<&Value>, lines: &mut Vec<Difference>) {
    let change = match (before, after) {
        (Some(before), Some(after)) => return compare(path, before, after, lines),
        (None, None) => return,
        (None, Some(after)) => Change::Added {
            after: after.to_string(),
        },
        (Some(before), None) => Change::Removed {
            before: before.to_string(),
        },
    };
    lines.push(Difference {
        path: path.into(),
        change,
    });
}

/// Compares lists of things that have names, element by element of the same name.
fn elements(path: &str, old: &[Value], new: &[Value], lines: &mut Vec<Difference>) {
    for value in old {
        let Some(name) = name(value) else { continue };
        let path = format!("{path}[{name}]");
        either(&path, Some(value), find(new, name), lines);
    }
    for value in new {
        let Some(name) = name(value) else { continue };
        if find(old, name).is_none() {
            either(&format!("{path}[{name}]"), None, Some(value), lines);
        }
    }
    let kept = |list: &[Value], other: &[Value]| -> Vec<String> {
        list.iter()
            .filter_map(name)
            .filter(|name| find(other, name).is_some())
            .map(String::from)
            .collect()
    };
    let order = kept(new, old);
    if kept(old, new) != order {
        let all: Vec<_> = new.iter().filter_map(name).collect();
        lines.push(Difference {
            path: path.into(),
            change: Change::Reordered {
                after: all.join(", "),
            },
        });
    }
}

/// An element's name; a level goes by its service, a text by itself.
fn name(value: &Value) -> Option<&str> {
    let named = value.get("name").or_else(|| value.get("service"));
    named.unwrap_or(value).as_str()
}

fn named(list: &[Value]) -> bool {
    list.iter().all(|value| name(value).is_some())
}

fn find<'a>(list: &'a [Value], wanted: &str) -> Option<&'a Value> {
    list.iter().find(|value| name(value) == Some(wanted))
}
