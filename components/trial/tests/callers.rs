//! Callers' interface of a whole system: refusals and complete answers.

mod support;

use std::time::Duration;

use fakes::engine;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use support::{
    expected_tokens,
    start_single_entry, //
};
use tokio::time::Instant;
use trial::stream::Stream;

/// Time limit of an immediate refusal, well below any deadline.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Formats a refusal for a snapshot.
async fn format_refusal(response: reqwest::Response) -> String {
    let status = response.status();
    let retry = response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok())
        .map(str::to_string);
    let body: Value = response.json().await.expect("the refusal is JSON");
    format!("{status}\nretry-after: {retry:?}\n{body:#}")
}

#[rstest]
#[case::not_json("not_json", "{\"model\":\"m\"")]
#[case::not_json_midway("not_json_midway", "{\"model\":\"m\",\n\"prompt\": x}")]
#[case::no_prompt("no_prompt", "{\"model\":\"m\"}")]
#[case::empty_prompt("empty_prompt", "{\"model\":\"m\",\"prompt\":\"\"}")]
#[case::wrong_type(
    "wrong_type",
    "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":\"many\"}"
)]
#[case::unknown("unknown", "{\"model\":\"m\",\"prompt\":\"p\",\"stop\":[\".\"]}")]
#[case::two_answers("two_answers", "{\"model\":\"m\",\"prompt\":\"p\",\"n\":2}")]
#[case::temperature("temperature", "{\"model\":\"m\",\"prompt\":\"p\",\"temperature\":9}")]
#[case::other_model("other_model", "{\"model\":\"nobody\",\"prompt\":\"p\"}")]
#[tokio::test]
async fn an_invalid_body_is_refused_with_the_name_of_its_field(
    #[case] name: &str,
    #[case] body: &str,
) {
    let trial = start_single_entry(1).await;
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let response = trial
        .client
        .post(address)
        .body(body.to_string())
        .send()
        .await;
    let refusal = format_refusal(response.expect("the entry responds")).await;
    insta::assert_snapshot!(format!("bad_body_{name}"), refusal);
}

#[tokio::test]
async fn invalid_paths_headers_and_sizes_are_refused() {
    let trial = start_single_entry(1).await;
    let base = trial.callers_url(0);
    let post = |path: &str, body: String| trial.client.post(format!("{base}{path}")).body(body);
    let valid = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":2}";

    let unknown_path = post("/v2/completions", String::new())
        .send()
        .await
        .expect("the entry responds");
    insta::assert_snapshot!("bad_path", format_refusal(unknown_path).await);

    let event_id = post("/v1/completions", valid.into()).header("last-event-id", "seven");
    insta::assert_snapshot!(
        "bad_last_event_id",
        format_refusal(event_id.send().await.expect("the entry responds")).await
    );

    let unknown_service = post("/svc/nobody/x", String::new())
        .send()
        .await
        .expect("the entry responds");
    insta::assert_snapshot!("bad_service", format_refusal(unknown_service).await);

    let too_large = post("/v1/completions", "x".repeat((4 << 20) + 1));
    insta::assert_snapshot!(
        "too_large",
        format_refusal(too_large.send().await.expect("the entry responds")).await
    );
}

#[tokio::test]
async fn a_streamed_answer_is_complete_and_its_event_ids_count_tokens() {
    let trial = start_single_entry(1).await;
    let body = json!({"model": "m", "prompt": "p", "max_tokens": 12, "seed": 3, "stream": true});
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let response = trial
        .client
        .post(address)
        .json(&body)
        .send()
        .await
        .expect("the entry responds");
    let mut stream = Stream::new(response);
    let mut tokens = Vec::new();
    let mut finish_reason = None;
    while let Some(event) = stream.next().await.expect("the stream continues") {
        finish_reason = event.finish_reason().or(finish_reason);
        let Some(token) = event.token() else {
            continue;
        };
        assert!(
            event.id.starts_with(&format!("{}-", tokens.len())),
            "{}",
            event.id
        );
        tokens.push(token);
    }
    assert_eq!(tokens, expected_tokens("p", 3, 12));
    assert!(finish_reason.is_some());
}

#[tokio::test]
async fn a_chat_answer_is_complete_and_reports_usage() {
    let trial = start_single_entry(1).await;
    let body = json!({
        "model": "m", "max_tokens": 5, "seed": 3,
        "messages": [{"role": "user", "content": "When is my turn?"}],
    });
    let address = format!("{}/v1/chat/completions", trial.callers_url(0));
    let response = trial
        .client
        .post(address)
        .json(&body)
        .send()
        .await
        .expect("the entry responds");
    let body: Value = response.json().await.expect("the body is JSON");
    let prompt = "user: When is my turn?\nassistant:";
    let text = expected_tokens(prompt, 3, 5).concat();
    assert_eq!(body["choices"][0]["message"]["content"], text);
    let length = engine::answer_length(prompt, 3, 5);
    assert_eq!(body["usage"]["completion_tokens"], length);
}

/// The version has no replica. The caller must not wait until its deadline: it gets `not_run` and a
/// `Retry-After` at once.
#[tokio::test]
async fn without_a_replica_a_request_is_refused_at_once_with_retry_after() {
    let trial = start_single_entry(0).await;
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let body = json!({"model": "m", "prompt": "p", "stream": true});
    let started = Instant::now();
    let response = trial
        .client
        .post(address)
        .json(&body)
        .send()
        .await
        .expect("the entry responds");
    assert!(started.elapsed() < REFUSAL_TIMEOUT);
    let retry = response.headers().get("retry-after");
    let seconds: u64 = retry
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .expect("Retry-After is a number of seconds");
    assert!((1..=30).contains(&seconds), "{seconds}");
    let refusal = format_refusal(response).await;
    // The retry time is randomized, so that refused callers don't retry at the same moment. The
    // snapshot leaves it out.
    let lines: Vec<&str> = refusal
        .lines()
        .filter(|line| !line.contains("retry"))
        .collect();
    insta::assert_snapshot!("no_replica", lines.join("\n"));
}
