//! Parses log lines.

use serde_json::{
    Map,
    Value, //
};

/// Names of the fields that every line has.
const COMMON_FIELDS: [&str; 7] = ["at", "up", "process", "run", "level", "message", "event"];

/// A log line of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Name of the process, which is that of its host.
    pub process: String,
    /// Number that identifies the run of the process.
    pub run: u64,
    /// Wall clock time, in milliseconds since 1970.
    pub wall_ms: i64,
    /// Time on the monotonic clock of the host, in milliseconds.
    pub monotonic_ms: i64,
    /// Number of the event.
    pub event: u64,
    /// Meaning of the event.
    pub message: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses one line, ignoring everything before the JSON object. Returns `None` if it isn't a
    /// log line of this system.
    pub fn parse(text: &str) -> Option<Line> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(text[start..].trim()).ok()?;
        Some(Line {
            process: fields.get("process")?.as_str()?.to_string(),
            run: fields.get("run").and_then(Value::as_u64).unwrap_or(0),
            wall_ms: fields.get("at")?.as_i64()?,
            monotonic_ms: fields.get("up")?.as_i64()?,
            event: fields.get("event").and_then(Value::as_u64).unwrap_or(0),
            message: fields.get("message")?.as_str()?.to_string(),
            fields,
        })
    }

    /// Returns the id of the request that the line is about.
    pub fn id(&self) -> Option<&str> {
        self.text("id").filter(|id| !id.is_empty())
    }

    /// Returns a string field.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns an unsigned integer field.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns the process and its run.
    pub fn origin(&self) -> (String, u64) {
        (self.process.clone(), self.run)
    }

    /// Returns the fields that not every line has, without those that are null.
    pub fn details(&self) -> impl Iterator<Item = (&String, &Value)> {
        let specific = |(name, value): &(&String, &Value)| {
            !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null()
        };
        self.fields.iter().filter(specific)
    }
}

/// Parses all log lines of a text and skips other lines.
pub fn read(text: &str) -> Vec<Line> {
    text.lines().filter_map(Line::parse).collect()
}
