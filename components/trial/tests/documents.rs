//! Documents with real daemons over loopback: put, promotion, races, outages and restarts.

use std::time::Duration;

use fakes::platform::Fault;
use reqwest::{
    Method,
    Response,
    StatusCode, //
};
use serde_json::{
    Value,
    json, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use trial::Trial;

/// Time within which an accepted document must take effect at all entries, with a margin for a busy
/// machine.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(25);

/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a document that contains a given number, to tell documents apart.
fn document(environment: &str, number: u32) -> String {
    format!(
        "environment: {environment}
services:
  - name: ledger
    kind: plain
    versions:
      - {{name: v1, servers: ['ledger-*']}}
routes:
  - {{name: ledger, match: {{path: /svc/ledger}}, service: ledger, version: v1}}
teams:
  default: {{in_flight: {number}}}
"
    )
}

/// Starts `entries` entries in each data centre and puts the first document. Returns its revision
/// once all entries hold it.
async fn start_system(data_centres: usize, entries: usize) -> (Trial, u64) {
    let mut trial = Trial::start().await.expect("the platform starts");
    for data_centre in 0..data_centres {
        for number in 0..entries {
            let name = format!("entry-{data_centre}-{number}");
            let data_centre = format!("dc{data_centre}");
            trial
                .start_entry(&name, &data_centre)
                .await
                .expect("the entry starts");
        }
    }
    let revision = trial
        .put_document(0, "production", &document("production", 1))
        .await;
    let revision = revision.expect("the first document is accepted");
    wait_for_revision(&trial, revision).await;
    (trial, revision)
}

/// Waits until all entries are ready and hold at least `revision`.
async fn wait_for_revision(trial: &Trial, revision: u64) {
    for entry in 0..trial.entries.len() {
        wait_for_entry_revision(trial, entry, revision).await;
    }
}

async fn wait_for_entry_revision(trial: &Trial, entry: usize, revision: u64) {
    let started = Instant::now();
    loop {
        let status = trial.status(entry).await.expect("the entry responds");
        if status["revision"].as_u64() >= Some(revision) && status["ready"] == true {
            return;
        }
        assert!(
            started.elapsed() < SPREAD_TIMEOUT,
            "entry {entry} doesn't hold revision {revision}: {status}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Puts a document with the given query parameters. Returns the status and body of the response.
async fn put(trial: &Trial, entry: usize, query: &str, text: String) -> (StatusCode, Value) {
    let address = format!(
        "{}/environments/production?{query}",
        trial.operators_url(entry)
    );
    read(trial.client.put(address).body(text).send().await).await
}

async fn promote(trial: &Trial, query: &str) -> (StatusCode, Value) {
    let address = format!(
        "{}/environments/production/promote?{query}",
        trial.operators_url(0)
    );
    read(trial.client.request(Method::POST, address).send().await).await
}

async fn get(trial: &Trial, path: &str) -> (StatusCode, Value) {
    let address = format!("{}/environments/{path}", trial.operators_url(0));
    read(trial.client.get(address).send().await).await
}

async fn read(response: Result<Response, reqwest::Error>) -> (StatusCode, Value) {
    let response = response.expect("the entry responds");
    let status = response.status();
    (status, response.json().await.expect("the body is JSON"))
}

/// Writes a document to the store directly, so that entries learn of it by their watches only.
async fn write_to_store(trial: &Trial, number: u32) -> u64 {
    let address = format!("http://{}/kv", trial.platform.address());
    let body =
        json!({"key": "env/production", "value": document("production", number), "expect": null});
    let (status, body) = read(trial.client.put(address).json(&body).send().await).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    body["revision"].as_u64().expect("the body has a revision")
}

fn inject_fault(trial: &Trial, fault: Fault) {
    trial.platform.inject_fault(fault);
}

fn outage() -> Fault {
    Fault {
        outage: true,
        ..Fault::default()
    }
}

fn clear_faults() -> Fault {
    Fault {
        clear: true,
        ..Fault::default()
    }
}

#[tokio::test]
async fn a_document_reaches_all_entries_and_two_entries_per_data_centre_watch() {
    let (trial, _) = start_system(2, 3).await;
    let revision = trial
        .put_document(4, "production", &document("production", 2))
        .await;
    wait_for_revision(&trial, revision.expect("the document is accepted")).await;
    let started = Instant::now();
    while trial.platform.counts().watching != 4 {
        assert!(
            started.elapsed() < SPREAD_TIMEOUT,
            "{:?}",
            trial.platform.counts()
        );
        sleep(POLL_INTERVAL).await;
    }
}

// All waiting watches fall silent for good while new ones work. The entries must still learn of a
// document that is written then.
#[tokio::test]
async fn silent_watches_do_not_hide_a_document() {
    let (trial, _) = start_system(1, 2).await;
    let started = Instant::now();
    while trial.platform.counts().watching != 2 {
        assert!(
            started.elapsed() < SPREAD_TIMEOUT,
            "{:?}",
            trial.platform.counts()
        );
        sleep(POLL_INTERVAL).await;
    }
    let silent = Fault {
        silent_watches: true,
        ..Fault::default()
    };
    inject_fault(&trial, silent);
    let revision = write_to_store(&trial, 2).await;
    wait_for_revision(&trial, revision).await;
}

// The hosts that hold the watches die. Another entry must take over the watch, or none would learn
// of the next document.
#[tokio::test]
async fn the_last_entry_takes_over_the_watch_from_dead_entries() {
    let (mut trial, _) = start_system(1, 3).await;
    trial.entries[0].kill();
    trial.entries[1].kill();
    let revision = write_to_store(&trial, 2).await;
    wait_for_entry_revision(&trial, 2, revision).await;
}

// The store applies a put and its response is lost. An operator who gets an error would repeat the
// put and overwrite what another operator has done since.
#[tokio::test]
async fn a_put_with_a_lost_store_response_is_accepted() {
    let (trial, base) = start_system(1, 1).await;
    let lose = Fault {
        lose_answers: Some(1),
        ..Fault::default()
    };
    inject_fault(&trial, lose);
    let query = format!("base={base}&edit=e1&operator=ana");
    let (status, body) = put(&trial, 0, &query, document("production", 2)).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let (_, stored) = get(&trial, "production").await;
    assert_eq!(stored["revision"], body["revision"]);
    assert_eq!(stored["edit"]["id"], "e1");
    assert_eq!(stored["history"].as_array().map(Vec::len), Some(1));
    // The operator doesn't receive this response either and repeats the same edit.
    let (status, again) = put(&trial, 0, &query, document("production", 2)).await;
    assert_eq!(
        (status, &again["revision"]),
        (StatusCode::OK, &body["revision"])
    );
}

// Two operators edit the same document. The second must get a conflict that names the first
// operator's edit.
#[tokio::test]
async fn the_second_of_two_conflicting_edits_is_refused_with_the_reason() {
    let (trial, base) = start_system(1, 1).await;
    let query = format!("base={base}&edit=e1&operator=ana");
    let (status, _) = put(&trial, 0, &query, document("production", 2)).await;
    assert_eq!(status, StatusCode::OK);
    let query = format!("base={base}&edit=e2&operator=bojan");
    let (status, body) = put(&trial, 0, &query, document("production", 3)).await;
    assert_eq!(status, StatusCode::CONFLICT);
    let message = body["error"]["message"].as_str().unwrap_or_default();
    assert!(message.contains("edit e1 of ana"), "{message}");
    let (_, stored) = get(&trial, "production").await;
    assert_eq!(stored["edit"]["id"], "e1");
}

// Several operators put edits at the same moment through different entries. All but one must get a
// conflict; otherwise an edit would be lost silently.
#[tokio::test]
async fn one_of_many_concurrent_edits_is_accepted() {
    let (trial, base) = start_system(1, 2).await;
    let edits = (0..16).map(|number| {
        let query = format!("base={base}&edit=e{number}&operator=o{number}");
        let address = format!(
            "{}/environments/production?{query}",
            trial.operators_url(number % 2)
        );
        let request = trial.client.put(address).body(document("production", 10));
        tokio::spawn(async move { read(request.send().await).await.0 })
    });
    let edits: Vec<_> = edits.collect();
    let mut accepted = 0;
    for edit in edits {
        match edit.await.expect("the edit completes") {
            StatusCode::OK => accepted += 1,
            status => assert_eq!(status, StatusCode::CONFLICT),
        }
    }
    assert_eq!(accepted, 1);
}

// During a store outage, a put must fail soon with `not_run` and have no effect, and the entries
// must keep serving.
#[tokio::test]
async fn a_put_during_an_outage_is_refused() {
    let (trial, base) = start_system(1, 2).await;
    inject_fault(&trial, outage());
    let started = Instant::now();
    let query = format!("base={base}&edit=e1&operator=ana");
    let (status, body) = put(&trial, 0, &query, document("production", 2)).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body["error"]["run"], "not_run");
    assert!(body["error"]["retry_after_ms"].is_u64(), "{body}");
    assert!(started.elapsed() < Duration::from_secs(10));
    wait_for_revision(&trial, base).await;
    inject_fault(&trial, clear_faults());
    let (_, stored) = get(&trial, "production").await;
    assert_eq!(stored["revision"].as_u64(), Some(base));
}

#[tokio::test]
async fn a_document_over_a_megabyte_is_refused() {
    let (trial, base) = start_system(1, 1).await;
    let text = document("production", 2) + "# " + &"x".repeat(1 << 20) + "\n";
    let (status, body) = put(&trial, 0, &format!("base={base}"), text).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE, "{body}");
    wait_for_revision(&trial, base).await;
}

// A trial may be promoted only in the revision that was tried; a promotion fails after the trial has
// changed.
#[tokio::test]
async fn only_the_tried_revision_of_a_trial_is_promoted() {
    let (trial, base) = start_system(1, 1).await;
    let tried = trial
        .put_document(0, "trial", &document("trial", 7))
        .await
        .expect("the trial is accepted");
    let (_, stored) = get(&trial, "trial").await;
    let digest = stored["edit"]["digest"]
        .as_u64()
        .expect("the edit has a digest");
    let query = |edit: &str, base: u64, digest: u64| {
        format!(
            "from=trial&revision={tried}&digest={digest:x}&base={base}&edit={edit}&operator=ana"
        )
    };
    let (status, body) = promote(&trial, &query("p0", base, digest ^ 1)).await;
    assert_eq!(status, StatusCode::CONFLICT, "{body}");
    let (status, body) = promote(&trial, &query("p1", base, digest)).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let promoted = body["revision"].as_u64().expect("the body has a revision");
    wait_for_revision(&trial, promoted).await;
    let (_, stored) = get(&trial, "production").await;
    assert_eq!(stored["text"], document("production", 7));
    assert_eq!(stored["edit"]["trial"]["revision"].as_u64(), Some(tried));
    trial
        .put_document(0, "trial", &document("trial", 8))
        .await
        .expect("the changed trial is accepted");
    let (status, body) = promote(&trial, &query("p2", promoted, digest)).await;
    assert_eq!(status, StatusCode::CONFLICT, "{body}");
    // If the response to the first promotion was lost, its repetition must not get a conflict.
    let (status, body) = promote(&trial, &query("p1", base, digest)).await;
    assert_eq!(
        (status, body["revision"].as_u64()),
        (StatusCode::OK, Some(promoted))
    );
}

// An entry's host is replaced during a store outage. The new entry must serve, with a document at
// least as new as that of the other entries.
#[tokio::test]
async fn an_entry_started_during_an_outage_gets_the_document_from_other_entries() {
    let (mut trial, _) = start_system(1, 3).await;
    let revision = trial
        .put_document(0, "production", &document("production", 2))
        .await;
    let revision = revision.expect("the document is accepted");
    wait_for_revision(&trial, revision).await;
    inject_fault(&trial, outage());
    trial.entries[2].kill();
    trial
        .start_entry("entry-0-2", "dc0")
        .await
        .expect("the entry starts");
    wait_for_entry_revision(&trial, 3, revision).await;
}

// The only entry is replaced during a store outage, so it can't get a document from anywhere. It must
// refuse callers at once, and serve as soon as the store is available again.
#[tokio::test]
async fn a_lone_entry_started_during_an_outage_waits_for_the_store() {
    let (mut trial, revision) = start_system(1, 1).await;
    inject_fault(&trial, outage());
    trial.entries[0].kill();
    trial
        .start_entry("entry-0-0", "dc0")
        .await
        .expect("the entry starts");
    let address = format!("{}/svc/ledger/x", trial.callers_url(1));
    let answer = trial
        .client
        .get(address)
        .send()
        .await
        .expect("the entry responds");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    sleep(Duration::from_secs(4)).await;
    let status = trial.status(1).await.expect("the entry responds");
    assert_eq!(
        (&status["ready"], &status["revision"]),
        (&json!(false), &json!(0))
    );
    inject_fault(&trial, clear_faults());
    wait_for_entry_revision(&trial, 1, revision).await;
}

// The status of an environment shows an operator which hosts hold a document and which don't
// respond.
#[tokio::test]
async fn a_survey_names_the_hosts_of_all_data_centres() {
    let (mut trial, revision) = start_system(2, 2).await;
    let started = Instant::now();
    let survey = async |trial: &Trial| {
        let (_, body) = get(trial, "production/status").await;
        assert_eq!(body["revision"].as_u64(), Some(revision));
        let mut holding = Vec::new();
        let mut silent = Vec::new();
        for data_centre in body["data_centres"].as_array().cloned().unwrap_or_default() {
            for group in data_centre["standings"]
                .as_array()
                .cloned()
                .unwrap_or_default()
            {
                if group["revision"].as_u64() == Some(revision) {
                    holding.extend(group["hosts"].as_array().cloned().unwrap_or_default());
                }
            }
            silent.extend(
                data_centre["silent"]
                    .as_array()
                    .cloned()
                    .unwrap_or_default(),
            );
        }
        (holding.len(), silent)
    };
    while survey(&trial).await.0 != 4 {
        assert!(
            started.elapsed() < SPREAD_TIMEOUT,
            "{:?}",
            survey(&trial).await
        );
    }
    trial.entries[1].kill();
    while survey(&trial).await != (3, vec![json!("entry-0-1")]) {
        assert!(
            started.elapsed() < 2 * SPREAD_TIMEOUT,
            "{:?}",
            survey(&trial).await
        );
    }
}
