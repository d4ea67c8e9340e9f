//! Response bodies in the format of the OpenAI API.

use answer::{
    Finish,
    resume::Interruption, //
};
use serde_json::{
    Value,
    json, //
};
use wire::frame::Usage;

use crate::problem::{
    Code,
    Problem,
    Run, //
};

/// Endpoint whose request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Completion,
    Chat,
}

/// Returns a chunk of a streamed answer.
pub(crate) fn chunk(
    kind: Kind,
    id: &str,
    model: &str,
    text: &str,
    finish: Option<Finish>,
) -> Value {
    let finish_reason = finish.map(finish_reason);
    let (object, choice) = match kind {
        Kind::Completion => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": finish_reason}),
        ),
        Kind::Chat => (
            "chat.completion.chunk",
            json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}),
        ),
    };
    json!({"id": id, "object": object, "model": model, "choices": [choice]})
}

/// Returns a complete answer.
pub(crate) fn complete(
    kind: Kind,
    id: &str,
    model: &str,
    text: &str,
    finish: Finish,
    usage: Usage,
) -> Value {
    let finish_reason = finish_reason(finish);
    let (object, choice) = match kind {
        Kind::Completion => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": finish_reason}),
        ),
        Kind::Chat => (
            "chat.completion",
            json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish_reason,
            }),
        ),
    };
    json!({
        "id": id,
        "object": object,
        "model": model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": usage.prompt,
            "completion_tokens": usage.completion,
            "total_tokens": usage.prompt + usage.completion,
        },
    })
}

/// Returns the problem for an answer that ends incomplete. `delivered` is set when a part of it has
/// reached the caller.
pub(crate) fn interrupted(reason: Interruption, delivered: bool) -> Problem {
    let message = match reason {
        Interruption::NoReplica => "no replica of the version is available",
        Interruption::Refused => "all replicas refused the request",
        Interruption::NotContinuable => "the engine was lost, and no other can continue the text",
        Interruption::TooManyEpochs => "the engine was lost too many times",
        Interruption::Deadline => "the answer exceeded the time limit `times.answer`",
    };
    let started = delivered || reason != Interruption::NoReplica && reason != Interruption::Refused;
    if started {
        return Problem::new(Code::Interrupted, message).run(Run::Ran);
    }
    Problem::new(Code::Unavailable, message)
}

/// Returns the OpenAI name of a finish.
fn finish_reason(finish: Finish) -> &'static str {
    match finish {
        Finish::Stop => "stop",
        Finish::Length => "length",
        // Not reached: a broken generation never completes an answer.
        Finish::Broken(_) => "error",
    }
}
