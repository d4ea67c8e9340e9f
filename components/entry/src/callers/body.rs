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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Completion {
    model: String,
    prompt: String,
    #[serde(flatten)]
    common: Common,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Chat {
    model: String,
    messages: Vec<Message>,
    #[serde(flatten)]
    common: Common,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Message {
    role: String,
    content: String,
}

/// Parameters that both kinds have. `n`, `top_p` and `user` are taken with the only values that
/// leave the answer as it is.
#[derive(Deserialize)]
struct Common {
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

/// Highest sampling temperature.
const HOTTEST: f64 = 2.0;

/// Reads the body of `POST /v1/completions`.
pub(crate) fn completion(bytes: &[u8]) -> Result<Body, Problem> {
    let completion: Completion = read(bytes)?;
    finish(completion.model, completion.prompt, completion.common)
}

/// Reads the body of `POST /v1/chat/completions`.
pub(crate) fn chat(bytes: &[u8]) -> Result<Body, Problem> {
    let chat: Chat = read(bytes)?;
    if chat.messages.is_empty() {
        return Err(Problem::invalid("messages", "`messages` is empty"));
    }
    let mut prompt = String::new();
    for message in &chat.messages {
        prompt.push_str(&format!("{}: {}\n", message.role, message.content));
    }
    prompt.push_str("assistant:");
    finish(chat.model, prompt, chat.common)
}

fn read<'a, T>(bytes: &'a [u8]) -> Result<T, Problem>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(bytes).map_err(|error| {
        let message = error.to_string();
        let mut problem = Problem::new(Code::Invalid, format!("the body can't be read: {message}"));
        // The library names the field between the first two back quotes, when it is about one.
        problem.field = message.split('`').nth(1).map(str::to_string);
        problem
    })
}

fn finish(model: String, prompt: String, common: Common) -> Result<Body, Problem> {
    if prompt.is_empty() {
        return Err(Problem::invalid("prompt", "`prompt` is empty"));
    }
    if common.n.is_some_and(|n| n != 1) {
        return Err(Problem::invalid(
            "n",
            "`n` must be 1: one request has one answer",
        ));
    }
    if common.top_p.is_some_and(|top_p| top_p != 1.0) {
        return Err(Problem::invalid(
            "top_p",
            "`top_p` must be 1: it is not supported",
        ));
    }
    if common.max_tokens == Some(0) {
        return Err(Problem::invalid(
            "max_tokens",
            "`max_tokens` must be at least 1",
        ));
    }
    let temperature = common.temperature.unwrap_or(1.0);
    if !(0.0..=HOTTEST).contains(&temperature) {
        let message = format!("`temperature` must be between 0 and {HOTTEST}");
        return Err(Problem::invalid("temperature", message));
    }
    Ok(Body {
        model,
        prompt,
        max_tokens: common.max_tokens,
        seed: common.seed,
        temperature: (temperature * 1000.0).round() as u32,
        stream: common.stream,
    })
}
