//! Shapes of answers, as OpenAI-style clients expect them.

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

/// Which of the two kinds of request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Completion,
    Chat,
}

/// A part of a streamed answer.
pub(crate) fn chunk(kind: Kind, id: &str, model: &str, text: &str, end: Option<Finish>) -> Value {
    let finish_reason = end.map(reason);
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

/// A whole answer.
pub(crate) fn whole(
    kind: Kind,
    id: &str,
    model: &str,
    text: &str,
    finish: Finish,
    usage: Usage,
) -> Value {
    let finish_reason = reason(finish);
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

/// What a caller is told when its answer ends before it is whole.
pub(crate) fn interrupted(reason: Interruption, delivered: bool) -> Problem {
    let message = match reason {
        Interruption::NoReplica => "no replica of the version is to be had",
        Interruption::Refused => "every replica that was asked refused",
        Interruption::NotContinuable => "the engine was lost, and its kind can't continue a text",
        Interruption::TooManyEpochs => "the answer was lost too many times",
        Interruption::Deadline => "the answer took longer than `times.answer` allows",
    };
    let started = delivered || reason != Interruption::NoReplica && reason != Interruption::Refused;
    if started {
        return Problem::new(Code::Interrupted, message).run(Run::Ran);
    }
    Problem::new(Code::Unavailable, message)
}

fn reason(finish: Finish) -> &'static str {
    match finish {
        Finish::Stop => "stop",
        Finish::Length => "length",
        // A broken generation is never the end of an answer.
        Finish::Broken(_) => "error",
    }
}
