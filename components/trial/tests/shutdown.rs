//! Graceful shutdowns: what is in progress is finished, what is new is sent elsewhere.

mod support;

use reqwest::StatusCode;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use support::{
    known,
    system, //
};
use trial::{
    Trial,
    stream::Stream, //
};

const SEED: u64 = 5;
const TOKENS: u64 = 200;
const PROMPT: &str = "Write the rota statement.";

/// Which process is told to stop while an answer is under way.
#[derive(Clone, Copy, Debug)]
enum Stopped {
    Entry,
    Sidecar,
}

async fn ask(trial: &Trial) -> reqwest::Response {
    let body = json!({
        "model": "m", "prompt": PROMPT, "max_tokens": TOKENS, "seed": SEED, "stream": true,
    });
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let request = trial.client.post(address).json(&body);
    request.send().await.expect("an answer")
}

fn stop(trial: &Trial, stopped: Stopped) {
    match stopped {
        Stopped::Entry => trial.entries[0].stop(),
        Stopped::Sidecar => {
            let busy = trial
                .engines
                .iter()
                .position(|engine| !engine.runs().is_empty());
            trial.sidecars[busy.expect("an engine that runs")].stop();
        }
    }
}

/// A host is replaced while it works. A process that simply ended would cut the letter off; its
/// caller would see a broken connection in the midst of a sentence.
#[rstest]
#[case::entry(Stopped::Entry)]
#[case::sidecar(Stopped::Sidecar)]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_progress_is_finished(#[case] stopped: Stopped) {
    let trial = system(2).await;
    let mut stream = Stream::new(ask(&trial).await);
    let mut tokens = Vec::new();
    let mut done = false;
    while let Some(event) = stream.next().await.expect("the stream goes on") {
        done = done || event.data == "[DONE]";
        tokens.extend(event.token());
        if tokens.len() == 5 {
            stop(&trial, stopped);
        }
    }
    assert!(done);
    assert_eq!(tokens, known(PROMPT, SEED, TOKENS));
    // It was finished where it ran, and not begun again.
    let runs: usize = trial.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// A caller comes to an entry that is leaving, before the balancer has noticed. It is told at once
/// that nothing was run, so that it can go to another entry without fear of a second run.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_entry_refuses_new_requests_at_once() {
    let trial = system(1).await;
    let mut under_way = Stream::new(ask(&trial).await);
    under_way.next().await.expect("the stream goes on");
    stop(&trial, Stopped::Entry);
    let refused = loop {
        let response = ask(&trial).await;
        // The sign reaches the entry a moment after it is given.
        if response.status() != StatusCode::OK {
            break response;
        }
    };
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    let body: Value = refused.json().await.expect("a typed refusal");
    assert_eq!(body["error"]["run"], "not_run");
}
