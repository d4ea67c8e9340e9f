//! Moves between versions over a whole system: entry, sidecars, stand-ins.

mod support;

use std::time::Duration;

use fakes::{
    engine::{
        Fault,
        Settings, //
    },
    platform, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use trial::Trial;

/// Longest wait for a move to end.
const LIMIT: Duration = Duration::from_secs(120);

/// Requests that callers have in progress at once.
const CALLERS: u64 = 8;

/// A move that began a while ago and must be over soon, so that the test needn't wait for its
/// ramp. It has no watch time.
fn document() -> String {
    let now = std::time::SystemTime::now();
    let start = now - Duration::from_secs(40);
    let by = now + Duration::from_secs(30);
    format!(
        "\
environment: production
services:
  - name: draft
    kind: engine
    model: m
    versions:
      - {{name: v1, servers: ['old-*']}}
      - {{name: v2, servers: ['new-*']}}
routes:
  - {{name: letters, match: {{path: /v1/}}, service: draft, version: v1}}
levels:
  - {{service: draft, first: 1s, objective: 0.95}}
moves:
  - {{name: up, service: draft, from: v1, to: v2, start: {}, by: {}, watch: 1s}}
",
        humantime::format_rfc3339_seconds(start),
        humantime::format_rfc3339_seconds(by)
    )
}

async fn engines() -> Trial {
    let mut trial = Trial::start().await.expect("a platform");
    for (name, version) in [
        ("old-0", "v1"),
        ("old-1", "v1"),
        ("new-0", "v2"),
        ("new-1", "v2"),
    ] {
        let settings = Settings {
            token_interval: Duration::from_millis(1),
            first_token: Duration::from_millis(2),
            version: version.into(),
            ..Settings::default()
        };
        trial
            .start_engine(name, "dc1", settings)
            .await
            .expect("an engine");
    }
    trial
}

async fn system() -> Trial {
    let mut trial = engines().await;
    trial.start_entry("entry-0", "dc1").await.expect("an entry");
    let revision = trial
        .put_document(0, "production", &document())
        .await
        .expect("put");
    trial.wait_ready(revision).await.expect("ready");
    trial
}

async fn ask(trial: &Trial, number: u64) {
    let body = json!({
        "model": "m", "prompt": format!("letter {number}"), "max_tokens": 4, "seed": number,
    });
    let address = format!("{}/v1/completions", trial.callers_url(0));
    let answer = trial.client.post(address).json(&body).send().await;
    let _ = answer.expect("an answer").bytes().await;
}

async fn progress(trial: &Trial, entry: usize) -> Value {
    let address = format!("{}/reports/moves", trial.operators_url(entry));
    let answer = trial.client.get(address).send().await.expect("a report");
    let moves: Value = answer.json().await.expect("JSON");
    moves[0].clone()
}

/// Runs of engines of the new version.
fn runs(trial: &Trial) -> usize {
    trial.engines[2..]
        .iter()
        .map(|engine| engine.runs().len())
        .sum()
}

/// Sends requests until the move has ended; gives the move as operators see it.
async fn ended(trial: &Trial) -> Value {
    let limit = Instant::now() + LIMIT;
    let mut number = 0;
    while Instant::now() < limit {
        for _ in 0..5 {
            let requests = (0..CALLERS).map(|caller| ask(trial, number + caller));
            futures_util::future::join_all(requests).await;
            number += CALLERS;
        }
        let seen = progress(trial, 0).await;
        if seen["state"] != "running" && !seen["state"].is_null() {
            return seen;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the move has not ended: {}", progress(trial, 0).await);
}

/// The engines of a new version leave out a token, or answer nothing but errors. Callers get
/// broken answers until the traffic goes back, which needs nobody's hand.
#[rstest]
#[case::a_token_left_out(Fault { skip_at: Some(1), ..Fault::default() })]
#[case::errors(Fault { fail_share: Some(1.0), ..Fault::default() })]
#[tokio::test]
async fn a_bad_version_is_taken_back(#[case] fault: Fault) {
    let trial = system().await;
    for engine in &trial.engines[2..] {
        engine.inject_fault(fault.clone());
    }
    let seen = ended(&trial).await;
    assert_eq!(seen["permille"], 0, "{seen}");
    let limit = Instant::now() + LIMIT;
    while progress(&trial, 0).await["state"] != "reverted" {
        assert!(Instant::now() < limit, "the outcome is not written");
        sleep(Duration::from_millis(50)).await;
    }
    let before = runs(&trial);
    for number in 0..50 {
        ask(&trial, 1_000_000 + number).await;
    }
    assert_eq!(
        runs(&trial),
        before,
        "no request reaches a version taken back"
    );
}

/// One entry gets all the requests of a bad version, and its neighbour none, while the store is
/// out. The neighbour's first callers must not be the next to try the version, and the store's
/// outage must not delay that.
#[tokio::test]
async fn a_veto_reaches_the_other_entry_without_the_store() {
    let mut trial = system().await;
    trial.start_entry("entry-1", "dc1").await.expect("an entry");
    let revision = trial
        .put_document(1, "production", &document())
        .await
        .expect("put");
    trial.wait_ready(revision).await.expect("ready");
    let limit = Instant::now() + LIMIT;
    while progress(&trial, 1).await["permille"] == 0 {
        assert!(Instant::now() < limit, "the second entry takes no part");
        sleep(Duration::from_millis(50)).await;
    }
    trial.platform.inject_fault(platform::Fault {
        outage: true,
        ..platform::Fault::default()
    });
    for engine in &trial.engines[2..] {
        engine.inject_fault(Fault {
            skip_at: Some(1),
            ..Fault::default()
        });
    }
    let seen = ended(&trial).await;
    assert_eq!(seen["state"], "reverting", "{seen}");
    let limit = Instant::now() + Duration::from_secs(15);
    while progress(&trial, 1).await["state"] != "reverting" {
        assert!(Instant::now() < limit, "the second entry hears nothing");
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(progress(&trial, 1).await["permille"], 0);
    trial.platform.inject_fault(platform::Fault {
        clear: true,
        ..platform::Fault::default()
    });
    let limit = Instant::now() + LIMIT;
    for entry in 0..2 {
        while progress(&trial, entry).await["state"] != "reverted" {
            assert!(Instant::now() < limit, "the outcome is not written");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test]
async fn a_good_version_has_all_traffic_in_the_end() {
    let trial = system().await;
    let seen = ended(&trial).await;
    assert_eq!(seen["state"], "done", "{seen}");
    assert_eq!(seen["permille"], 1000);
    let before = runs(&trial);
    for number in 0..50 {
        ask(&trial, 1_000_000 + number).await;
    }
    assert_eq!(runs(&trial), before + 50);
    let moves = report(&trial, "moves?format=text").await;
    assert!(moves.contains("up: v1 -> v2, done, 100.0%"), "{moves}");
    let burn = report(&trial, "burn?format=text").await;
    assert!(burn.contains("version v2"), "{burn}");
    let page = report(&trial, "burn?format=html").await;
    assert!(page.contains("<table>") && page.contains("route letters"));
}

/// The processor that all of this runs on is taken away for most of the time as soon as the new
/// version has all the traffic. Every answer is slow then, and there is no old version beside it to
/// show that the version isn't the cause.
#[tokio::test]
async fn a_host_that_runs_late_takes_no_good_version_back() {
    let trial = system().await;
    let operators = trial.operators_url(0);
    let client = trial.client.clone();
    let stalls = tokio::spawn(async move {
        loop {
            let asked = client.get(format!("{operators}/reports/moves")).send();
            let seen: Value = asked.await.expect("a report").json().await.expect("JSON");
            if seen[0]["permille"] == 1000 {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        loop {
            std::thread::sleep(Duration::from_millis(15));
            sleep(Duration::from_millis(2)).await;
        }
    });
    let seen = ended(&trial).await;
    stalls.abort();
    assert_eq!(seen["state"], "done", "{seen}");
}

/// Every entry sees that a move has begun and that it has ended. If each wrote that to the store, a
/// fleet of hundreds would take all its writes at once, and edits of documents would wait.
#[tokio::test]
async fn three_entries_write_a_move_twice() {
    let mut trial = engines().await;
    for entry in ["entry-0", "entry-1", "entry-2"] {
        trial.start_entry(entry, "dc1").await.expect("an entry");
    }
    let before = trial.platform.counts().writes;
    let revision = trial
        .put_document(0, "production", &document())
        .await
        .expect("put");
    trial.wait_ready(revision).await.expect("ready");
    let limit = Instant::now() + LIMIT;
    for entry in 0..3 {
        while progress(&trial, entry).await["state"] != "done" {
            assert!(Instant::now() < limit, "the move doesn't end at {entry}");
            sleep(Duration::from_millis(50)).await;
        }
    }
    let writes = trial.platform.counts().writes - before;
    assert_eq!(writes, 3, "the document, the begin and the end");
}

async fn report(trial: &Trial, what: &str) -> String {
    let address = format!("{}/reports/{what}", trial.operators_url(0));
    let answer = trial.client.get(address).send().await.expect("a report");
    answer.text().await.expect("text")
}
