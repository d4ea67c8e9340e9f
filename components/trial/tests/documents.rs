//! Documents with real daemons over loopback: put, promote, races, outages, restarts.

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

/// Time within which an accepted document must be in force everywhere, with room for a busy
/// machine.
const BOUND: Duration = Duration::from_secs(25);

/// Pace at which conditions are looked at.
const PACE: Duration = Duration::from_millis(20);

/// A document whose text differs by a number.
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

/// So many entries in each of the data centres, all with the first document.
async fn system(data_centres: usize, each: usize) -> (Trial, u64) {
    let mut trial = Trial::start().await.expect("a platform");
    for data_centre in 0..data_centres {
        for number in 0..each {
            let name = format!("entry-{data_centre}-{number}");
            let data_centre = format!("dc{data_centre}");
            trial
                .start_entry(&name, &data_centre)
                .await
                .expect("an entry");
        }
    }
    let revision = trial
        .put_document(0, "production", &document("production", 1))
        .await;
    let revision = revision.expect("the first document is accepted");
    holds(&trial, revision).await;
    (trial, revision)
}

/// Waits until all entries are ready with a revision.
async fn holds(trial: &Trial, revision: u64) {
    for entry in 0..trial.entries.len() {
        entry_holds(trial, entry, revision).await;
    }
}

async fn entry_holds(trial: &Trial, entry: usize, revision: u64) {
    let begun = Instant::now();
    loop {
        let status = trial.status(entry).await.expect("a status");
        if status["revision"].as_u64() >= Some(revision) && status["ready"] == true {
            return;
        }
        assert!(
            begun.elapsed() < BOUND,
            "entry {entry}: {status}, not {revision}"
        );
        sleep(PACE).await;
    }
}

/// Puts with a query; gives the status and the body.
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

async fn read(answer: Result<Response, reqwest::Error>) -> (StatusCode, Value) {
    let answer = answer.expect("an answer");
    let status = answer.status();
    (status, answer.json().await.expect("JSON"))
}

/// Writes to the store beside the entries, as their watches must tell them of it.
async fn write(trial: &Trial, number: u32) -> u64 {
    let address = format!("http://{}/kv", trial.platform.address());
    let body =
        json!({"key": "env/production", "value": document("production", number), "expect": null});
    let (status, body) = read(trial.client.put(address).json(&body).send().await).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    body["revision"].as_u64().expect("a revision")
}

fn fault(trial: &Trial, fault: Fault) {
    trial.platform.inject_fault(fault);
}

fn outage() -> Fault {
    Fault {
        outage: true,
        ..Fault::default()
    }
}

fn clear() -> Fault {
    Fault {
        clear: true,
        ..Fault::default()
    }
}

#[tokio::test]
async fn a_document_reaches_all_entries_and_two_a_data_centre_watch() {
    let (trial, _) = system(2, 3).await;
    let revision = trial
        .put_document(4, "production", &document("production", 2))
        .await;
    holds(&trial, revision.expect("accepted")).await;
    let begun = Instant::now();
    while trial.platform.counts().watching != 4 {
        assert!(begun.elapsed() < BOUND, "{:?}", trial.platform.counts());
        sleep(PACE).await;
    }
}

// Every watch that waits went silent for good, while new ones work, and a document is written.
#[tokio::test]
async fn silent_watches_do_not_hide_a_document() {
    let (trial, _) = system(1, 2).await;
    let begun = Instant::now();
    while trial.platform.counts().watching != 2 {
        assert!(begun.elapsed() < BOUND, "{:?}", trial.platform.counts());
        sleep(PACE).await;
    }
    let silent = Fault {
        silent_watches: true,
        ..Fault::default()
    };
    fault(&trial, silent);
    let revision = write(&trial, 2).await;
    holds(&trial, revision).await;
}

// The hosts that hold the watches die. Nobody would hear of the next document.
#[tokio::test]
async fn the_last_entry_takes_over_from_dead_readers() {
    let (mut trial, _) = system(1, 3).await;
    trial.entries[0].kill();
    trial.entries[1].kill();
    let revision = write(&trial, 2).await;
    entry_holds(&trial, 2, revision).await;
}

// The store takes a put and its answer is lost. An operator who is told "no" puts it again, over
// what somebody else has done since.
#[tokio::test]
async fn a_put_whose_answer_is_lost_is_known_as_accepted() {
    let (trial, base) = system(1, 1).await;
    let lose = Fault {
        lose_answers: Some(1),
        ..Fault::default()
    };
    fault(&trial, lose);
    let query = format!("base={base}&edit=e1&operator=ana");
    let (status, body) = put(&trial, 0, &query, document("production", 2)).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let (_, kept) = get(&trial, "production").await;
    assert_eq!(kept["revision"], body["revision"]);
    assert_eq!(kept["edit"]["id"], "e1");
    assert_eq!(kept["history"].as_array().map(Vec::len), Some(1));
    // The operator didn't see that answer either, and repeats the same edit.
    let (status, again) = put(&trial, 0, &query, document("production", 2)).await;
    assert_eq!(
        (status, &again["revision"]),
        (StatusCode::OK, &body["revision"])
    );
}

// Two operators start from the same document; the second must learn of the first, by name.
#[tokio::test]
async fn the_second_of_two_racing_operators_is_refused_and_told_why() {
    let (trial, base) = system(1, 1).await;
    let query = format!("base={base}&edit=e1&operator=ana");
    let (status, _) = put(&trial, 0, &query, document("production", 2)).await;
    assert_eq!(status, StatusCode::OK);
    let query = format!("base={base}&edit=e2&operator=bojan");
    let (status, body) = put(&trial, 0, &query, document("production", 3)).await;
    assert_eq!(status, StatusCode::CONFLICT);
    let message = body["error"]["message"].as_str().unwrap_or_default();
    assert!(message.contains("edit e1 of ana"), "{message}");
    let (_, kept) = get(&trial, "production").await;
    assert_eq!(kept["edit"]["id"], "e1");
}

// Several operators press the button at the same moment, at different entries. All but one must be
// told that they came too late; otherwise somebody's edit is gone without a word.
#[tokio::test]
async fn of_many_edits_at_once_one_is_accepted() {
    let (trial, base) = system(1, 2).await;
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
        match edit.await.expect("an edit ends") {
            StatusCode::OK => accepted += 1,
            status => assert_eq!(status, StatusCode::CONFLICT),
        }
    }
    assert_eq!(accepted, 1);
}

// The store is out. The operator must get a clear no, soon, with nothing half done; entries go on.
#[tokio::test]
async fn a_put_in_an_outage_is_a_clear_no() {
    let (trial, base) = system(1, 2).await;
    fault(&trial, outage());
    let begun = Instant::now();
    let query = format!("base={base}&edit=e1&operator=ana");
    let (status, body) = put(&trial, 0, &query, document("production", 2)).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body["error"]["run"], "not_run");
    assert!(body["error"]["retry_after_ms"].is_u64(), "{body}");
    assert!(begun.elapsed() < Duration::from_secs(10));
    holds(&trial, base).await;
    fault(&trial, clear());
    let (_, kept) = get(&trial, "production").await;
    assert_eq!(kept["revision"].as_u64(), Some(base));
}

#[tokio::test]
async fn a_document_past_a_megabyte_is_refused() {
    let (trial, base) = system(1, 1).await;
    let text = document("production", 2) + "# " + &"x".repeat(1 << 20) + "\n";
    let (status, body) = put(&trial, 0, &format!("base={base}"), text).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE, "{body}");
    holds(&trial, base).await;
}

// A trial is promoted as it was tried; once somebody has changed it, it isn't.
#[tokio::test]
async fn a_trial_is_promoted_only_as_it_was_tried() {
    let (trial, base) = system(1, 1).await;
    let tried = trial
        .put_document(0, "trial", &document("trial", 7))
        .await
        .expect("a trial");
    let (_, kept) = get(&trial, "trial").await;
    let digest = kept["edit"]["digest"].as_u64().expect("a digest");
    let pin = |edit: &str, base: u64, digest: u64| {
        format!(
            "from=trial&revision={tried}&digest={digest:x}&base={base}&edit={edit}&operator=ana"
        )
    };
    let (status, body) = promote(&trial, &pin("p0", base, digest ^ 1)).await;
    assert_eq!(status, StatusCode::CONFLICT, "{body}");
    let (status, body) = promote(&trial, &pin("p1", base, digest)).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let promoted = body["revision"].as_u64().expect("a revision");
    holds(&trial, promoted).await;
    let (_, kept) = get(&trial, "production").await;
    assert_eq!(kept["text"], document("production", 7));
    assert_eq!(kept["edit"]["trial"]["revision"].as_u64(), Some(tried));
    trial
        .put_document(0, "trial", &document("trial", 8))
        .await
        .expect("a changed trial");
    let (status, body) = promote(&trial, &pin("p2", promoted, digest)).await;
    assert_eq!(status, StatusCode::CONFLICT, "{body}");
    // The first promotion's answer was lost on the way; the repeat must not be told "changed".
    let (status, body) = promote(&trial, &pin("p1", base, digest)).await;
    assert_eq!(
        (status, body["revision"].as_u64()),
        (StatusCode::OK, Some(promoted))
    );
}

// An entry's host is replaced while the store is out: it must serve, and by nothing older than its
// neighbours do.
#[tokio::test]
async fn an_entry_started_in_an_outage_takes_its_neighbours_document() {
    let (mut trial, _) = system(1, 3).await;
    let revision = trial
        .put_document(0, "production", &document("production", 2))
        .await;
    let revision = revision.expect("accepted");
    holds(&trial, revision).await;
    fault(&trial, outage());
    trial.entries[2].kill();
    trial
        .start_entry("entry-0-2", "dc0")
        .await
        .expect("an entry");
    entry_holds(&trial, 3, revision).await;
}

// The only entry is replaced while the store is out. It knows nothing and can ask nobody: serving
// would be guessing. Callers are told at once, and it serves as soon as the store is back.
#[tokio::test]
async fn a_lone_entry_started_in_an_outage_waits_for_the_store() {
    let (mut trial, revision) = system(1, 1).await;
    fault(&trial, outage());
    trial.entries[0].kill();
    trial
        .start_entry("entry-0-0", "dc0")
        .await
        .expect("an entry");
    let address = format!("{}/svc/ledger/x", trial.callers_url(1));
    let answer = trial.client.get(address).send().await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    sleep(Duration::from_secs(4)).await;
    let status = trial.status(1).await.expect("a status");
    assert_eq!(
        (&status["ready"], &status["revision"]),
        (&json!(false), &json!(0))
    );
    fault(&trial, clear());
    entry_holds(&trial, 1, revision).await;
}

// An operator wants to know whether a document is in force everywhere, and where it isn't.
#[tokio::test]
async fn a_survey_names_the_hosts_of_all_data_centres() {
    let (mut trial, revision) = system(2, 2).await;
    let begun = Instant::now();
    let told = async |trial: &Trial| {
        let (_, body) = get(trial, "production/status").await;
        assert_eq!(body["revision"].as_u64(), Some(revision));
        let mut holding = Vec::new();
        let mut silent = Vec::new();
        for data_centre in body["data_centres"].as_array().cloned().unwrap_or_default() {
            for standing in data_centre["standings"]
                .as_array()
                .cloned()
                .unwrap_or_default()
            {
                if standing["revision"].as_u64() == Some(revision) {
                    holding.extend(standing["hosts"].as_array().cloned().unwrap_or_default());
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
    while told(&trial).await.0 != 4 {
        assert!(begun.elapsed() < BOUND, "{:?}", told(&trial).await);
    }
    trial.entries[1].kill();
    while told(&trial).await != (3, vec![json!("entry-0-1")]) {
        assert!(begun.elapsed() < 2 * BOUND, "{:?}", told(&trial).await);
    }
}
