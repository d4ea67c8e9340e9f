//! Tests of the engine's contract over HTTP.

use std::time::Duration;

use assert_matches::assert_matches;
use fakes::engine::{
    self,
    Engine,
    Fault,
    Settings,
    Slow,
    State, //
};
use futures_util::StreamExt;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use tokio::time::{
    Instant,
    timeout, //
};

/// Time limit of a step, far beyond what any step takes on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without data after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Prompt whose answer reaches `max_tokens` in these tests.
const PROMPT: &str = "write the statement of circle 5";

/// Result of one run as the client sees it.
#[derive(Debug)]
struct Answer {
    status: u16,
    /// Indices and tokens.
    tokens: Vec<(u64, String)>,
    /// The end line.
    end: Option<Value>,
    /// Whether the connection broke instead of closing cleanly.
    broken: bool,
}

impl Answer {
    fn indices(&self) -> Vec<u64> {
        self.tokens.iter().map(|(index, _)| *index).collect()
    }
}

async fn start_engine(settings: Settings) -> Engine {
    Engine::start(settings)
        .await
        .expect("loopback can be bound")
}

fn fast_settings() -> Settings {
    Settings {
        first_token: Duration::from_millis(1),
        token_interval: Duration::from_millis(1),
        report_lag: Duration::ZERO,
        ..Settings::default()
    }
}

fn generate_body(id: &str, max_tokens: u64) -> Value {
    json!({
        "id": id, "model": "m", "version": "v1", "prompt": PROMPT, "max_tokens": max_tokens,
        "seed": 3, "temperature": 0.0, "priority": 0, "continue_from": [],
    })
}

fn url(engine: &Engine, path: &str) -> String {
    format!("http://{}{path}", engine.address())
}

async fn post(engine: &Engine, path: &str, body: &Value) -> reqwest::Response {
    let request = reqwest::Client::new().post(url(engine, path)).json(body);
    request.send().await.expect("the engine responds")
}

async fn get(engine: &Engine, path: &str) -> Value {
    let response = reqwest::get(url(engine, path)).await;
    let response = response.expect("the engine responds");
    response.json().await.expect("the body is JSON")
}

async fn run(engine: &Engine, body: &Value) -> Answer {
    read(post(engine, "/generate", body).await).await
}

async fn read(response: reqwest::Response) -> Answer {
    let mut answer = Answer {
        status: response.status().as_u16(),
        tokens: Vec::new(),
        end: None,
        broken: false,
    };
    let mut text = Vec::new();
    let mut body = response.bytes_stream();
    while let Some(chunk) = timeout(STEP_TIMEOUT, body.next())
        .await
        .expect("the stream continues")
    {
        let Ok(chunk) = chunk else {
            answer.broken = true;
            break;
        };
        text.extend_from_slice(&chunk);
    }
    if answer.status != 200 {
        return answer;
    }
    for line in text.split(|byte| *byte == b'\n') {
        let Ok(line) = serde_json::from_slice::<Value>(line) else {
            continue;
        };
        if line["end"].is_string() {
            answer.end = Some(line);
            continue;
        }
        let index = line["index"].as_u64().expect("a token has an index");
        let token = line["token"].as_str().expect("a token has text");
        answer.tokens.push((index, token.to_string()));
    }
    answer
}

#[tokio::test]
async fn whole_answer_has_the_expected_tokens() {
    let engine = start_engine(fast_settings()).await;
    let answer = run(&engine, &generate_body("r/1/1", 40)).await;
    assert_eq!(
        answer.tokens.len() as u64,
        engine::answer_length(PROMPT, 3, 40)
    );
    for (index, token) in &answer.tokens {
        assert_eq!(*token, engine::token(PROMPT, 3, "v1", *index));
    }
    let end = answer.end.expect("the run ends with an end line");
    assert_eq!(end["end"], "length");
    assert_eq!(end["completion_tokens"], 40);
    assert_eq!(engine.runs()[0].state, State::Ended);
}

#[tokio::test]
async fn continued_answer_starts_at_the_next_index() {
    let engine = start_engine(fast_settings()).await;
    let mut body = generate_body("r/2/1", 40);
    body["continue_from"] = json!(["a", "b", "c"]);
    let answer = run(&engine, &body).await;
    assert_eq!(answer.indices(), (3..40).collect::<Vec<_>>());
    assert_eq!(engine.runs()[0].from, 3);
}

#[test]
fn adjacent_tokens_differ_and_most_answers_reach_max_tokens() {
    let mut full = 0;
    for seed in 0..200 {
        let index = seed * 7;
        let (token, next) = (
            engine::token(PROMPT, seed, "v1", index),
            engine::token(PROMPT, seed, "v1", index + 1),
        );
        assert_ne!(token, next);
        if engine::answer_length(PROMPT, seed, 100) == 100 {
            full += 1;
        }
    }
    assert!((150..200).contains(&full), "{full} of 200 reach max_tokens");
}

#[rstest]
#[case::version("version", json!("v9"), 409)]
#[case::model("model", json!("other"), 409)]
#[case::no_tokens("max_tokens", json!(0), 400)]
#[case::wrong_type("max_tokens", json!("many"), 400)]
#[case::temperature("temperature", json!(-1.0), 400)]
#[tokio::test]
async fn invalid_requests_are_refused(
    #[case] field: &str,
    #[case] value: Value,
    #[case] status: u16,
) {
    let engine = start_engine(fast_settings()).await;
    let mut body = generate_body("r/1/1", 5);
    body[field] = value;
    assert_eq!(run(&engine, &body).await.status, status);
    assert!(engine.runs().is_empty());
}

// A faulty engine repeats or skips a token. Without a check at the sidecar, the client's answer
// would have a word twice or lack one.
#[rstest]
#[case::repeat(Fault { repeat_at: Some(2), ..Fault::default() }, vec![0, 1, 2, 2, 3, 4])]
#[case::skip(Fault { skip_at: Some(2), ..Fault::default() }, vec![0, 1, 3, 4])]
#[case::none(Fault::default(), vec![0, 1, 2, 3, 4])]
#[case::cleared(Fault { clear: true, ..Fault::default() }, vec![0, 1, 2, 3, 4])]
#[tokio::test]
async fn faults_of_token_indices(#[case] fault: Fault, #[case] indices: Vec<u64>) {
    let engine = start_engine(fast_settings()).await;
    engine.inject_fault(fault);
    assert_eq!(
        run(&engine, &generate_body("r/1/1", 5)).await.indices(),
        indices
    );
}

// An engine fails runs before the first token, breaks them midway, or can't continue an answer.
// The client sees an error, a truncated stream or a refusal.
#[rstest]
#[case::fail(json!({"fail_share": 1.0}), 500, 0, false)]
#[case::broken(json!({"break_share": 1.0}), 200, 10, true)]
#[case::no_continue(json!({"no_continue": true}), 200, 20, false)]
#[tokio::test]
async fn faults_of_runs(
    #[case] fault: Value,
    #[case] status: u16,
    #[case] tokens: usize,
    #[case] broken: bool,
) {
    let engine = start_engine(fast_settings()).await;
    assert_eq!(post(&engine, "/fault", &fault).await.status(), 200);
    let answer = run(&engine, &generate_body("r/1/1", 20)).await;
    assert_eq!((answer.status, answer.tokens.len()), (status, tokens));
    assert_eq!(answer.broken, broken);
    assert_eq!(answer.end.is_some(), status == 200 && !broken);
    let mut continued = generate_body("r/2/1", 20);
    continued["continue_from"] = json!(["a"]);
    let refused = run(&engine, &continued).await.status == 400;
    assert_eq!(refused, fault["no_continue"] == true);
    assert_eq!(
        post(&engine, "/fault", &json!({"clear": true}))
            .await
            .status(),
        200
    );
    assert_eq!(
        run(&engine, &generate_body("r/3/1", 5))
            .await
            .indices()
            .len(),
        5
    );
}

#[tokio::test]
async fn unknown_faults_are_refused() {
    let engine = start_engine(fast_settings()).await;
    let answer = post(&engine, "/fault", &json!({"dye": true})).await;
    assert_eq!(answer.status(), 400);
}

// The engine's process dies during a run. Its clients see their connections break, and the listener
// is closed.
#[rstest]
#[case::die(json!({"die": true, "after_tokens": 4}), 4)]
#[case::crash(json!({"crash_on": "circle 5"}), 2)]
#[tokio::test]
async fn death_breaks_connections(#[case] fault: Value, #[case] max_tokens: usize) {
    let engine = start_engine(fast_settings()).await;
    post(&engine, "/fault", &fault).await;
    let answer = run(&engine, &generate_body("r/1/1", 1000)).await;
    assert!(answer.broken, "{answer:?}");
    assert!(answer.tokens.len() <= max_tokens, "{answer:?}");
    timeout(STEP_TIMEOUT, engine.dead())
        .await
        .expect("the engine is dead");
    wait_for_closed_listener(&engine).await;
}

#[tokio::test]
async fn stop_closes_listener_and_connections() {
    let engine = start_engine(fast_settings()).await;
    let response = post(&engine, "/generate", &generate_body("r/1/1", 100_000)).await;
    engine.stop();
    let answer = read(response).await;
    assert!(answer.broken);
    wait_for_closed_listener(&engine).await;
}

/// Waits until the engine's address refuses connections.
async fn wait_for_closed_listener(engine: &Engine) {
    let end = Instant::now() + STEP_TIMEOUT;
    while tokio::net::TcpStream::connect(engine.address())
        .await
        .is_ok()
    {
        assert!(Instant::now() < end, "the listener is still open");
        tokio::task::yield_now().await;
    }
}

// A connection to an engine falls silent for good while new connections work. The stream neither
// continues nor closes, so only the silence reveals the fault.
#[tokio::test]
async fn silence_affects_only_open_connections() {
    let engine = start_engine(Settings {
        token_interval: Duration::from_millis(5),
        ..fast_settings()
    })
    .await;
    let response = post(&engine, "/generate", &generate_body("r/1/1", 100_000)).await;
    let mut body = response.bytes_stream();
    let first = timeout(STEP_TIMEOUT, body.next()).await;
    assert_matches!(first, Ok(Some(Ok(_))));
    engine.inject_fault(Fault {
        silence: true,
        ..Fault::default()
    });
    // Data that was in flight may still arrive.
    let mut silent = false;
    for _ in 0..3 {
        silent = timeout(SILENCE_TIMEOUT, body.next()).await.is_err();
        if silent {
            break;
        }
    }
    assert!(silent, "the connection is silent and open");
    assert_eq!(
        run(&engine, &generate_body("r/2/1", 5))
            .await
            .indices()
            .len(),
        5
    );
}

// An engine pauses for a while, as a host under memory pressure does, and then resumes.
#[tokio::test]
async fn pause_delays_the_answer() {
    let engine = start_engine(fast_settings()).await;
    engine.inject_fault(Fault {
        pause_ms: Some(300),
        ..Fault::default()
    });
    let started = Instant::now();
    let answer = run(&engine, &generate_body("r/1/1", 5)).await;
    assert_eq!(answer.indices().len(), 5);
    assert!(started.elapsed() >= Duration::from_millis(300));
}

#[tokio::test]
async fn slow_delays_tokens() {
    let engine = start_engine(fast_settings()).await;
    engine.inject_fault(Fault {
        slow: Some(Slow {
            first_ms: 100,
            between_ms: 20,
        }),
        ..Fault::default()
    });
    let started = Instant::now();
    run(&engine, &generate_body("r/1/1", 6)).await;
    assert!(started.elapsed() >= Duration::from_millis(200));
}

// An engine whose sampling isn't reproducible returns a different text in each run. The text then
// reveals an answer that mixes two runs.
#[tokio::test]
async fn vary_makes_the_text_depend_on_the_run() {
    let engine = start_engine(fast_settings()).await;
    engine.inject_fault(Fault {
        vary: true,
        ..Fault::default()
    });
    let answer = run(&engine, &generate_body("r/1/77", 3)).await;
    assert!(answer.tokens[0].1.ends_with("-r/1/77"));
}

#[tokio::test]
async fn cancel_ends_a_run_without_end_line() {
    let engine = start_engine(fast_settings()).await;
    let response = post(&engine, "/generate", &generate_body("r/1/1", 100_000)).await;
    assert_eq!(
        post(&engine, "/cancel", &json!({"id": "r/1/1"}))
            .await
            .status(),
        200
    );
    let answer = read(response).await;
    assert!(answer.end.is_none());
    assert_eq!(engine.runs()[0].state, State::Cancelled);
    assert_eq!(
        post(&engine, "/cancel", &json!({"id": "none"}))
            .await
            .status(),
        200
    );
}

#[tokio::test]
async fn closed_connection_cancels_the_run() {
    let engine = start_engine(fast_settings()).await;
    drop(post(&engine, "/generate", &generate_body("r/1/1", 100_000)).await);
    let end = Instant::now() + STEP_TIMEOUT;
    while engine.runs()[0].state == State::Running {
        assert!(Instant::now() < end, "the run is still in progress");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(engine.runs()[0].state, State::Cancelled);
}

#[tokio::test]
async fn full_engine_refuses_with_retry_after() {
    let engine = start_engine(Settings {
        max_runs: Some(1),
        ..fast_settings()
    })
    .await;
    let _first = post(&engine, "/generate", &generate_body("r/1/1", 100_000)).await;
    let second = post(&engine, "/generate", &generate_body("r/2/1", 5)).await;
    assert_eq!(second.status(), 429);
    assert!(second.headers().contains_key("retry-after"));
    assert_eq!(engine.runs().len(), 1);
}

#[tokio::test]
async fn load_reports_running_and_queued() {
    let engine = start_engine(Settings {
        capacity: 1,
        ..fast_settings()
    })
    .await;
    let _first = post(&engine, "/generate", &generate_body("r/1/1", 100_000)).await;
    let _second = post(&engine, "/generate", &generate_body("r/2/1", 100_000)).await;
    let load = get(&engine, "/load").await;
    assert_eq!((&load["running"], &load["queued"]), (&json!(1), &json!(1)));
    assert_eq!(load["versions"], json!(["v1"]));
}

// Load reports are delayed: a router that trusts them sends a burst to a replica that is full by
// then.
#[tokio::test]
async fn load_report_lags() {
    let engine = start_engine(Settings {
        report_lag: Duration::from_secs(3600),
        ..fast_settings()
    })
    .await;
    let _run = post(&engine, "/generate", &generate_body("r/1/1", 100_000)).await;
    let load = get(&engine, "/load").await;
    assert_eq!(load["running"], 0);
    assert_eq!(load["age_ms"], 3_600_000);
}

#[tokio::test]
async fn cache_events_have_gaps_and_cached_prompts_count() {
    let engine = start_engine(Settings {
        cached_prompts: 4,
        ..fast_settings()
    })
    .await;
    for number in 0..12 {
        let mut body = generate_body(&format!("r/{number}/1"), 1);
        body["prompt"] = json!(format!("{number} {PROMPT}"));
        run(&engine, &body).await;
    }
    let events = get(&engine, "/cache-events?after=1").await;
    let events = events["events"]
        .as_array()
        .expect("events is a list")
        .clone();
    let seqs: Vec<u64> = events.iter().map(|e| e["seq"].as_u64().unwrap()).collect();
    assert!(!seqs.contains(&7) && seqs.contains(&8) && !seqs.contains(&1));
    let stored = format!("{:016x}", engine::prefix_hash(&format!("11 {PROMPT}")));
    assert!(
        events
            .iter()
            .any(|e| e["prefix"] == stored && e["kind"] == "stored")
    );
    assert!(events.iter().any(|e| e["kind"] == "evicted"));
    let mut again = generate_body("r/again/1", 1);
    again["prompt"] = json!(format!("11 {PROMPT}"));
    let end = run(&engine, &again)
        .await
        .end
        .expect("the run ends with an end line");
    assert!(end["cached_tokens"].as_u64() > Some(0));
}

// An operator's old order arrives after a newer one. An engine that checks the fencing token
// refuses it; one that doesn't unloads the version that was just loaded.
#[rstest]
#[case::checks(false, 409)]
#[case::ignores(true, 200)]
#[tokio::test]
async fn orders_are_fenced(#[case] ignore: bool, #[case] status: u16) {
    let engine = start_engine(fast_settings()).await;
    engine.inject_fault(Fault {
        ignore_fence: ignore,
        ..Fault::default()
    });
    let load = json!({"fence": 17, "order": {"load": {"model": "m", "version": "v2"}}});
    assert_eq!(post(&engine, "/orders", &load).await.status(), 200);
    assert_eq!(get(&engine, "/load").await["versions"], json!(["v1", "v2"]));
    let stale = json!({"fence": 16, "order": {"unload": {"model": "m", "version": "v2"}}});
    let answer = post(&engine, "/orders", &stale).await;
    assert_eq!(answer.status(), status);
    if status == 409 {
        let body: Value = answer.json().await.expect("the body is JSON");
        assert_eq!(body, json!({"highest": 17}));
    }
    let role = json!({"fence": 18, "order": {"role": {"role": "prefill"}}});
    assert_eq!(post(&engine, "/orders", &role).await.status(), 200);
    assert_eq!(get(&engine, "/load").await["role"], "prefill");
}

#[tokio::test]
async fn loading_version_responds_503() {
    let engine = start_engine(Settings {
        load_time: Duration::from_secs(3600),
        ..fast_settings()
    })
    .await;
    let load = json!({"fence": 1, "order": {"load": {"model": "m", "version": "v2"}}});
    post(&engine, "/orders", &load).await;
    let mut body = generate_body("r/1/1", 5);
    body["version"] = json!("v2");
    assert_eq!(run(&engine, &body).await.status, 503);
    let unload = json!({"fence": 2, "order": {"unload": {"model": "m", "version": "v1"}}});
    post(&engine, "/orders", &unload).await;
    let health = reqwest::get(url(&engine, "/health"))
        .await
        .expect("the engine responds");
    assert_eq!(health.status(), 503);
}
