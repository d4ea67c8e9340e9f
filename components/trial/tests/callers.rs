//! The callers' interface, over a whole system: what is refused, how, and that it loses nothing.

mod support;

use std::time::Duration;

use fakes::engine;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use support::{
    known,
    system, //
};
use tokio::time::Instant;
use trial::stream::Stream;

/// Time within which an answer counts as given at once; well below any deadline.
const AT_ONCE: Duration = Duration::from_secs(1);

/// A refusal as the snapshot shows it.
async fn refusal(response: reqwest::Response) -> String {
    let status = response.status();
    let retry = response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok())
        .map(str::to_string);
    let body: Value = response.json().await.expect("a typed refusal");
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
#[case::too_hot("too_hot", "{\"model\":\"m\",\"prompt\":\"p\",\"temperature\":9}")]
#[case::other_model("other_model", "{\"model\":\"nobody\",\"prompt\":\"p\"}")]
#[tokio::test]
async fn a_bad_body_is_refused_by_the_name_of_its_field(#[case] name: &str, #[case] body: &str) {
    let trial = system(1).await;
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let response = trial
        .client
        .post(address)
        .body(body.to_string())
        .send()
        .await;
    let seen = refusal(response.expect("an answer")).await;
    insta::assert_snapshot!(format!("bad_body_{name}"), seen);
}

#[tokio::test]
async fn paths_headers_and_sizes_are_refused_by_name() {
    let trial = system(1).await;
    let base = trial.callers_url(0);
    let post = |path: &str, body: String| trial.client.post(format!("{base}{path}")).body(body);
    let good = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":2}";

    let nowhere = post("/v2/completions", String::new())
        .send()
        .await
        .expect("an answer");
    insta::assert_snapshot!("bad_path", refusal(nowhere).await);

    let mark = post("/v1/completions", good.into()).header("last-event-id", "seven");
    insta::assert_snapshot!(
        "bad_mark",
        refusal(mark.send().await.expect("an answer")).await
    );

    let service = post("/svc/nobody/x", String::new())
        .send()
        .await
        .expect("an answer");
    insta::assert_snapshot!("bad_service", refusal(service).await);

    let large = post("/v1/completions", "x".repeat((4 << 20) + 1));
    insta::assert_snapshot!(
        "too_large",
        refusal(large.send().await.expect("an answer")).await
    );
}

#[tokio::test]
async fn a_streamed_answer_is_whole_and_its_ids_count_its_tokens() {
    let trial = system(1).await;
    let body = json!({"model": "m", "prompt": "p", "max_tokens": 12, "seed": 3, "stream": true});
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let response = trial
        .client
        .post(address)
        .json(&body)
        .send()
        .await
        .expect("an answer");
    let mut stream = Stream::new(response);
    let mut tokens = Vec::new();
    let mut finish = None;
    while let Some(event) = stream.next().await.expect("the stream goes on") {
        finish = event.finish().or(finish);
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
    assert_eq!(tokens, known("p", 3, 12));
    assert!(finish.is_some());
}

#[tokio::test]
async fn a_chat_is_answered_whole_with_its_usage() {
    let trial = system(1).await;
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
        .expect("an answer");
    let body: Value = response.json().await.expect("a body");
    let prompt = "user: When is my turn?\nassistant:";
    let text = known(prompt, 3, 5).concat();
    assert_eq!(body["choices"][0]["message"]["content"], text);
    let length = engine::answer_length(prompt, 3, 5);
    assert_eq!(body["usage"]["completion_tokens"], length);
}

/// Every replica of the version is gone. The caller must not be held until its deadline: it is
/// told at once that nothing was run, and when to come back.
#[tokio::test]
async fn without_a_replica_the_refusal_comes_at_once_with_a_time_to_come_back() {
    let trial = system(0).await;
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let body = json!({"model": "m", "prompt": "p", "stream": true});
    let begun = Instant::now();
    let response = trial
        .client
        .post(address)
        .json(&body)
        .send()
        .await
        .expect("an answer");
    assert!(begun.elapsed() < AT_ONCE);
    let retry = response.headers().get("retry-after");
    let seconds: u64 = retry
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .expect("a time to come back in seconds");
    assert!((1..=30).contains(&seconds), "{seconds}");
    let seen = refusal(response).await;
    // The time is spread at random, so that refused callers don't come back together.
    let kept: Vec<&str> = seen
        .lines()
        .filter(|line| !line.contains("retry"))
        .collect();
    insta::assert_snapshot!("no_replica", kept.join("\n"));
}
