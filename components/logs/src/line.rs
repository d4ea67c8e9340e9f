//! Formats a log record as a line of JSON.

use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use log::{
    Record,
    kv::{
        Error,
        Key,
        Value,
        VisitSource,
        VisitValue, //
    },
};

/// The process that writes a line, and when.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// Name of the process's host.
    pub process: &'a str,
    /// Random number of the process's run, because a restart resets its monotonic clock.
    pub run: u32,
    /// Wall-clock time, which may be off by seconds and may jump.
    pub at: SystemTime,
    /// Monotonic clock of the host, by which lines of different processes are ordered.
    pub up: Duration,
}

/// Formats a record as a JSON object with a trailing newline.
pub fn line(record: &Record<'_>, origin: &Origin<'_>) -> String {
    let millis = origin
        .at
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let mut line = String::with_capacity(256);
    line.push_str("{\"at\":");
    line.push_str(&millis.to_string());
    push_field_name(&mut line, "up");
    line.push_str(&origin.up.as_millis().to_string());
    push_field_name(&mut line, "process");
    push_text(&mut line, origin.process);
    push_field_name(&mut line, "run");
    line.push_str(&origin.run.to_string());
    push_field_name(&mut line, "level");
    push_text(&mut line, &record.level().as_str().to_ascii_lowercase());
    push_field_name(&mut line, "message");
    match record.args().as_str() {
        Some(message) => push_text(&mut line, message),
        None => push_text(&mut line, &record.args().to_string()),
    }
    // Writing to a string can't fail.
    let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
    line.push_str("}\n");
    line
}

fn push_field_name(line: &mut String, name: &str) {
    line.push(',');
    push_text(line, name);
    line.push(':');
}

fn push_text(line: &mut String, text: &str) {
    line.push_str(&serde_json::Value::from(text).to_string());
}

struct FieldVisitor<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        push_field_name(self.0, key.as_str());
        value.visit(ValueVisitor(self.0))
    }
}

struct ValueVisitor<'a>(&'a mut String);

impl<'v> VisitValue<'v> for ValueVisitor<'_> {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), Error> {
        push_text(self.0, &value.to_string());
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), Error> {
        self.0.push_str("null");
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.0.push_str(&value.to_string());
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        self.0.push_str(&value.to_string());
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), Error> {
        self.0.push_str(&serde_json::Value::from(value).to_string());
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        self.0.push_str(if value { "true" } else { "false" });
        Ok(())
    }

    fn visit_str(&mut self, value: &str) -> Result<(), Error> {
        push_text(self.0, value);
        Ok(())
    }
}
