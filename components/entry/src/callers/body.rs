//! Request bodies of `POST /v1/completions` and `POST /v1/chat/completions`.
//!
//! To ignore an unsupported parameter would change the answer without notice, so requests with
//! unknown parameters are refused with an error that names the parameter.

use serde::Deserialize;

use crate::problem::{
    Code,
    Problem, //
};

/// Validated request body of either endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Body {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) seed: Option<u64>,
    /// Sampling temperature in thousandths.
    pub(crate) temperature: u32,
    /// Whether the answer is streamed as server-sent events.
    pub(crate) stream: bool,
}

/// Fields of both endpoints. `n` and `top_p` are accepted only with the values that don't affect the
/// answer, and `user` is ignored.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Fields {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u64>,
    seed: Option<u64>,
    temperature: Option<f64>,
    #[serde(default)]
    stream: bool,
    n: Option<u64>,
    top_p: Option<f64>,
    #[serde(rename = "user")]
    _user: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Message {
    role: String,
    content: String,
}

/// Maximum sampling temperature.
const MAX_TEMPERATURE: f64 = 2.0;

/// Parses the body of `POST /v1/completions`.
pub(crate) fn completion(bytes: &[u8]) -> Result<Body, Problem> {
    let mut fields = parse(bytes)?;
    if fields.messages.is_some() {
        return Err(Problem::invalid(
            "messages",
            "`messages` is a field of chat completions",
        ));
    }
    let prompt = fields.prompt.take().unwrap_or_default();
    if prompt.is_empty() {
        return Err(Problem::invalid("prompt", "`prompt` is missing or empty"));
    }
    validate(fields, prompt)
}

/// Parses the body of `POST /v1/chat/completions`.
pub(crate) fn chat(bytes: &[u8]) -> Result<Body, Problem> {
    let mut fields = parse(bytes)?;
    if fields.prompt.is_some() {
        return Err(Problem::invalid(
            "prompt",
            "`prompt` is a field of completions",
        ));
    }
    let messages = fields.messages.take().unwrap_or_default();
    if messages.is_empty() {
        return Err(Problem::invalid(
            "messages",
            "`messages` is missing or empty",
        ));
    }
    let mut prompt = String::new();
    for message in &messages {
        prompt.push_str(&format!("{}: {}\n", message.role, message.content));
    }
    prompt.push_str("assistant:");
    validate(fields, prompt)
}

/// Parses the fields of a body.
fn parse(bytes: &[u8]) -> Result<Fields, Problem> {
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let fields = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let inner = error.into_inner();
        let message = format!("the body can't be read: {inner}");
        let mut problem = Problem::new(Code::Invalid, message);
        // An unknown or missing field has no path; the message has its name in backticks.
        let named = inner.to_string().split('`').nth(1).map(str::to_string);
        problem.field = (path != ".").then_some(path).or(named);
        problem
    })?;
    json.end()
        .map_err(|error| Problem::new(Code::Invalid, format!("the body can't be read: {error}")))?;
    Ok(fields)
}

/// Checks the fields that both endpoints have.
fn validate(fields: Fields, prompt: String) -> Result<Body, Problem> {
    if fields.n.is_some_and(|n| n != 1) {
        return Err(Problem::invalid(
            "n",
            "`n` must be 1: one request has one answer",
        ));
    }
    if fields.top_p.is_some_and(|top_p| top_p != 1.0) {
        return Err(Problem::invalid(
            "top_p",
            "`top_p` must be 1: it is not supported",
        ));
    }
    if fields.max_tokens == Some(0) {
        return Err(Problem::invalid(
            "max_tokens",
            "`max_tokens` must be at least 1",
        ));
    }
    let temperature = fields.temperature.unwrap_or(1.0);
    if !(0.0..=MAX_TEMPERATURE).contains(&temperature) {
        let message = format!("`temperature` must be between 0 and {MAX_TEMPERATURE}");
        return Err(Problem::invalid("temperature", message));
    }
    Ok(Body {
        model: fields.model,
        prompt,
        max_tokens: fields.max_tokens,
        seed: fields.seed,
        temperature: (temperature * 1000.0).round() as u32,
        stream: fields.stream,
    })
}
