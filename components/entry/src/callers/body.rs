//! Bodies of `POST /v1/completions` and `POST /v1/chat/completions`.
//!
//! A parameter that isn't honoured would change the answer without a word, so unknown ones are
//! refused by name.

use serde::Deserialize;

use crate::problem::{
    Code,
    Problem, //
};

/// A request for an answer, of either kind.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Body {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) seed: Option<u64>,
    /// Sampling temperature in thousandths.
    pub(crate) temperature: u32,
    pub(crate) stream: bool,
}

/// The fields of both kinds of body. `n`, `top_p` and `user` are taken with the only values that
/// leave the answer as it is.
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

/// Highest sampling temperature.
const HOTTEST: f64 = 2.0;

/// Reads the body of `POST /v1/completions`.
pub(crate) fn completion(bytes: &[u8]) -> Result<Body, Problem> {
    let mut fields = read(bytes)?;
    if fields.messages.is_some() {
        return Err(Problem::invalid(
            "messages",
            "`messages` belongs to chat completions",
        ));
    }
    let prompt = fields.prompt.take().unwrap_or_default();
    if prompt.is_empty() {
        return Err(Problem::invalid("prompt", "`prompt` is missing or empty"));
    }
    finish(fields, prompt)
}

/// Reads the body of `POST /v1/chat/completions`.
pub(crate) fn chat(bytes: &[u8]) -> Result<Body, Problem> {
    let mut fields = read(bytes)?;
    if fields.prompt.is_some() {
        return Err(Problem::invalid(
            "prompt",
            "`prompt` belongs to completions",
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
    finish(fields, prompt)
}

fn read(bytes: &[u8]) -> Result<Fields, Problem> {
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let fields = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let inner = error.into_inner();
        let message = format!("the body can't be read: {inner}");
        let mut problem = Problem::new(Code::Invalid, message);
        // An unknown or missing field has no path; the message names it in back quotes.
        let named = inner.to_string().split('`').nth(1).map(str::to_string);
        problem.field = (path != ".").then_some(path).or(named);
        problem
    })?;
    json.end()
        .map_err(|error| Problem::new(Code::Invalid, format!("the body can't be read: {error}")))?;
    Ok(fields)
}

fn finish(fields: Fields, prompt: String) -> Result<Body, Problem> {
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
    if !(0.0..=HOTTEST).contains(&temperature) {
        let message = format!("`temperature` must be between 0 and {HOTTEST}");
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
