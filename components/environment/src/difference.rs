//! Differences between two documents, shown to an operator before an edit.

use std::{
    collections::BTreeSet,
    fmt, //
};

use serde_json::Value;

use crate::document::Document;

/// One difference between two documents, displayed as one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Path of the value, with list elements by name, such as `services[draft].versions[2]`.
    pub path: String,
    /// Change of the value.
    pub change: Change,
}

/// Change of a value. Values are given as JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The value was added.
    Added {
        /// Value in the new document.
        after: String,
    },
    /// The value was removed.
    Removed {
        /// Value in the old document.
        before: String,
    },
    /// The value was replaced.
    Changed {
        /// Value in the old document.
        before: String,
        /// Value in the new document.
        after: String,
    },
    /// The elements of a list changed their order, which matters for routes: the first match wins.
    Reordered {
        /// Names of the elements in the new order, separated by commas.
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

/// Returns the differences between two documents; empty if they have the same content.
pub fn diff(before: &Document, after: &Document) -> Vec<Difference> {
    diff_values(&json(before), &json(after))
}

/// Returns the differences between two JSON values, matching the elements of lists by name.
pub fn diff_values(before: &Value, after: &Value) -> Vec<Difference> {
    let mut differences = Vec::new();
    compare("", before, after, &mut differences);
    differences
}

fn json(document: &Document) -> Value {
    serde_json::to_value(document).unwrap_or(Value::Null)
}

fn compare(path: &str, before: &Value, after: &Value, differences: &mut Vec<Difference>) {
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
                compare_optional(&path, old.get(key), new.get(key), differences);
            }
        }
        (Value::Array(old), Value::Array(new)) if all_named(old) && all_named(new) => {
            compare_elements(path, old, new, differences);
        }
        _ => differences.push(Difference {
            path: path.into(),
            change: Change::Changed {
                before: before.to_string(),
                after: after.to_string(),
            },
        }),
    }
}

fn compare_optional(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<Difference>,
) {
    let change = match (before, after) {
        (Some(before), Some(after)) => return compare(path, before, after, differences),
        (None, None) => return,
        (None, Some(after)) => Change::Added {
            after: after.to_string(),
        },
        (Some(before), None) => Change::Removed {
            before: before.to_string(),
        },
    };
    differences.push(Difference {
        path: path.into(),
        change,
    });
}

/// Compares two lists of named elements, matching the elements by name.
fn compare_elements(path: &str, old: &[Value], new: &[Value], differences: &mut Vec<Difference>) {
    for value in old {
        let Some(name) = name(value) else { continue };
        let path = format!("{path}[{name}]");
        compare_optional(&path, Some(value), find(new, name), differences);
    }
    for value in new {
        let Some(name) = name(value) else { continue };
        if find(old, name).is_none() {
            compare_optional(&format!("{path}[{name}]"), None, Some(value), differences);
        }
    }
    let common = |list: &[Value], other: &[Value]| -> Vec<String> {
        list.iter()
            .filter_map(name)
            .filter(|name| find(other, name).is_some())
            .map(String::from)
            .collect()
    };
    let order = common(new, old);
    if common(old, new) != order {
        let names: Vec<_> = new.iter().filter_map(name).collect();
        differences.push(Difference {
            path: path.into(),
            change: Change::Reordered {
                after: names.join(", "),
            },
        });
    }
}

/// Returns the name of an element: its `name` field, its `service` field for levels, or the text
/// itself.
fn name(value: &Value) -> Option<&str> {
    let named = value.get("name").or_else(|| value.get("service"));
    named.unwrap_or(value).as_str()
}

fn all_named(list: &[Value]) -> bool {
    list.iter().all(|value| name(value).is_some())
}

fn find<'a>(list: &'a [Value], wanted: &str) -> Option<&'a Value> {
    list.iter().find(|value| name(value) == Some(wanted))
}
