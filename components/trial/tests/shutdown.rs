//! Graceful shutdown: requests in progress complete, and new ones are refused.

mod support;

use std::time::Duration;

use reqwest::StatusCode;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use support::{
    expected_tokens,
    start_draining_within,
    start_single_entry, //
};
use tokio::time::{
    sleep,
    timeout, //
};
use trial::{
    Trial,
    stream::Stream, //
};

const SEED: u64 = 5;
const TOKEN_COUNT: u64 = 200;
const PROMPT: &str = "Write the rota statement.";

/// Process that is stopped during an answer.
#[derive(Clone, Copy, Debug)]
enum Stopped {
    Entry,
    Sidecar,
}

async fn send_request(trial: &Trial) -> reqwest::Response {
    let body = json!({
        "model": "m", "prompt": PROMPT, "max_tokens": TOKEN_COUNT, "seed": SEED, "stream": true,
    });
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let request = trial.client.post(address).json(&body);
    request.send().await.expect("the entry responds")
}

fn stop(trial: &Trial, stopped: Stopped) {
    match stopped {
        Stopped::Entry => trial.entries[0].stop(),
        Stopped::Sidecar => {
            let busy = trial
                .engines
                .iter()
                .position(|engine| !engine.runs().is_empty());
            trial.sidecars[busy.expect("an engine runs the answer")].stop();
        }
    }
}

/// A host is replaced while it serves an answer. A process that exited at once would cut the answer
/// off, and its caller would see a broken connection.
#[rstest]
#[case::entry(Stopped::Entry)]
#[case::sidecar(Stopped::Sidecar)]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_progress_completes(#[case] stopped: Stopped) {
    let trial = start_single_entry(2).await;
    let mut stream = Stream::new(send_request(&trial).await);
    let mut tokens = Vec::new();
    let mut done = false;
    while let Some(event) = stream.next().await.expect("the stream continues") {
        done = done || event.data == "[DONE]";
        tokens.extend(event.token());
        if tokens.len() == 5 {
            stop(&trial, stopped);
        }
    }
    assert!(done);
    assert_eq!(tokens, expected_tokens(PROMPT, SEED, TOKEN_COUNT));
    // The answer completed in its first run.
    let runs: usize = trial.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// A caller reaches an entry that is shutting down, before the load balancer has noticed. It must get
/// `not_run` at once, so that it can send the request to another entry without a second run.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_shuts_down_refuses_new_requests_at_once() {
    let trial = start_single_entry(1).await;
    let mut in_progress = Stream::new(send_request(&trial).await);
    in_progress.next().await.expect("the stream continues");
    stop(&trial, Stopped::Entry);
    let refused = loop {
        let response = send_request(&trial).await;
        // The entry handles the signal asynchronously.
        if response.status() != StatusCode::OK {
            break response;
        }
    };
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    let body: Value = refused.json().await.expect("the refusal is JSON");
    assert_eq!(body["error"]["run"], "not_run");
}

/// Guards against answers without an event that are cut off at the end of an entry's drain time.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_outlasts_the_drain_ends_with_a_response() {
    let drain = Duration::from_millis(300);
    let trial = start_draining_within(1, Some(drain)).await;
    let body = json!({"model": "m", "prompt": PROMPT, "max_tokens": 20_000, "seed": SEED});
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let request = trial.client.post(address).json(&body).send();
    let request = tokio::spawn(request);
    while trial.engines[0].runs().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    stop(&trial, Stopped::Entry);
    let response = timeout(Duration::from_secs(5), request).await;
    let response = response.expect("a response in time").expect("no panic");
    let status = response.expect("a whole response").status();
    assert!(status.is_server_error(), "{status}");
}
