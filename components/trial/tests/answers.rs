//! Streamed answers under faults, with real daemons over loopback. Each answer is compared token by
//! token with the engines' expected text.

mod support;

use std::time::Duration;

use fakes::engine::{
    Fault,
    Slow,
    State, //
};
use rstest::rstest;
use support::{
    DOCUMENT,
    MAX_TOKENS,
    full_length_answer, //
    reader::{
        Reader,
        request,
        wait_for, //
    },
    relay::{
        Cut,
        Relay, //
    },
    start_system,
};
use tokio::time::Instant;
use trial::{
    Trial,
    trial::entry_settings, //
};

/// Time after a loss within which the stream must continue.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the number of the first engine with a run in progress.
fn running_engine(trial: &Trial) -> usize {
    let is_running = |number: &usize| {
        let runs = trial.engines[*number].runs();
        runs.iter().any(|run| run.state == State::Running)
    };
    let mut numbers = 0..trial.engines.len();
    numbers.find(is_running).expect("an engine runs the answer")
}

/// Returns the number of runs of all engines so far.
fn total_runs(trial: &Trial) -> usize {
    trial.engines.iter().map(|engine| engine.runs().len()).sum()
}

/// Injects a fault into every engine.
fn inject_into_all_engines(trial: &Trial, fault: Fault) {
    for engine in &trial.engines {
        engine.inject_fault(fault.clone());
    }
}

/// Component that is lost while it runs an answer.
#[derive(Clone, Debug)]
enum Loss {
    Engine(Fault),
    Sidecar,
    Host,
}

impl Loss {
    fn apply(&self, trial: &mut Trial, number: usize) {
        match self {
            Loss::Engine(fault) => trial.engines[number].inject_fault(fault.clone()),
            Loss::Sidecar => trial.sidecars[number].kill(),
            Loss::Host => {
                trial.sidecars[number].kill();
                trial.engines[number].stop();
            }
        }
    }
}

/// An engine, its sidecar or the whole host fails during an answer. The caller sees a pause, and the
/// answer must continue in a new epoch instead of ending there.
#[rstest]
#[case::engine_dies(Loss::Engine(Fault { die: true, ..Fault::default() }))]
#[case::engine_stops_and_wakes(Loss::Engine(Fault { pause_ms: Some(6000), ..Fault::default() }))]
#[case::engine_goes_silent(Loss::Engine(Fault { silence: true, ..Fault::default() }))]
#[case::sidecar_dies(Loss::Sidecar)]
#[case::host_is_gone(Loss::Host)]
#[tokio::test]
async fn an_answer_continues_after_a_loss(
    #[case] loss: Loss,
    #[values(0, 12)] tokens_before: usize,
) {
    let mut trial = start_system(1, 2, DOCUMENT).await;
    let (seed, text) = full_length_answer(1);
    if tokens_before == 0 {
        let slow = Slow {
            first_ms: 300,
            between_ms: 0,
        };
        inject_into_all_engines(
            &trial,
            Fault {
                slow: Some(slow),
                ..Fault::default()
            },
        );
    }
    let request = request(&trial, 0, seed, None);
    let task = tokio::spawn(async move {
        let mut reader = Reader::open(request).await;
        reader.read_to_end().await;
        reader
    });
    wait_for("a run to send enough tokens", || {
        let mut engines = trial.engines.iter();
        engines.any(|engine| {
            engine
                .runs()
                .iter()
                .any(|run| run.sent >= tokens_before as u64)
        })
    })
    .await;
    let number = running_engine(&trial);
    loss.apply(&mut trial, number);
    let reader = task.await.expect("the reader completes");
    assert_eq!(reader.tokens, text);
    assert_eq!((reader.restarts, reader.error), (0, None));
    assert!(reader.finish_reason.is_some());
    assert!(
        reader.longest_gap < RECOVERY_TIMEOUT,
        "{:?}",
        reader.longest_gap
    );
}

/// An engine sends a token twice or skips one. The sidecar must abandon the stream before the
/// caller sees the error.
#[rstest]
#[case::repeats(Fault { repeat_at: Some(20), ..Fault::default() })]
#[case::skips(Fault { skip_at: Some(20), ..Fault::default() })]
#[tokio::test]
async fn an_inconsistent_stream_is_abandoned_before_the_caller_sees_it(#[case] fault: Fault) {
    let trial = start_system(1, 2, DOCUMENT).await;
    let (seed, text) = full_length_answer(1);
    let mut reader = Reader::open(request(&trial, 0, seed, None)).await;
    reader.read(3).await;
    trial.engines[running_engine(&trial)].inject_fault(fault);
    reader.read_to_end().await;
    assert_eq!(reader.tokens, text);
    assert_eq!(reader.error, None);
    assert_eq!(
        total_runs(&trial),
        2,
        "the inconsistent stream was abandoned"
    );
}

/// An engine pauses, the answer moves to another engine, and that engine dies. The answer must
/// survive both losses.
#[tokio::test]
async fn an_answer_survives_two_losses() {
    let trial = start_system(1, 3, DOCUMENT).await;
    let (seed, text) = full_length_answer(1);
    let mut reader = Reader::open(request(&trial, 0, seed, None)).await;
    reader.read(8).await;
    let first = running_engine(&trial);
    let pause = Fault {
        pause_ms: Some(20_000),
        ..Fault::default()
    };
    trial.engines[first].inject_fault(pause);
    reader.read(16).await;
    let others = (0..3).filter(|number| *number != first);
    for number in others {
        let mut runs = trial.engines[number].runs().into_iter();
        if runs.any(|run| run.state == State::Running) {
            trial.engines[number].inject_fault(Fault {
                die: true,
                ..Fault::default()
            });
        }
    }
    let died = Instant::now();
    reader.read(17).await;
    assert!(died.elapsed() < RECOVERY_TIMEOUT, "{:?}", died.elapsed());
    reader.read_to_end().await;
    assert_eq!(reader.tokens, text);
    assert_eq!(reader.error, None);
    // The report shows one answer, whose tokens another engine had to recompute.
    let address = format!("{}/reports/resumes?format=json", trial.operators_url(0));
    let report = trial
        .client
        .get(address)
        .send()
        .await
        .expect("the entry responds");
    let rows: serde_json::Value = report.json().await.expect("the report is JSON");
    assert_eq!(rows[0]["answers"], 1, "{rows}");
    assert!(rows[0]["suspicion"].as_u64() >= Some(1), "{rows}");
    assert!(rows[0]["recomputed"].as_u64() >= Some(8), "{rows}");
    assert!(rows[0]["median_ms"].as_u64() >= Some(1), "{rows}");
}

/// All replicas die during an answer. The caller must get an error with a retry time at once instead
/// of waiting until its deadline.
#[tokio::test]
async fn an_answer_without_replicas_ends_at_once_with_retry_after() {
    let trial = start_system(1, 2, DOCUMENT).await;
    let (seed, text) = full_length_answer(1);
    let mut reader = Reader::open(request(&trial, 0, seed, None)).await;
    reader.read(8).await;
    inject_into_all_engines(
        &trial,
        Fault {
            die: true,
            ..Fault::default()
        },
    );
    reader.read_to_end().await;
    assert!(reader.tokens.len() < text.len());
    assert_eq!(reader.tokens, text[..reader.tokens.len()]);
    let error = reader.error.expect("the stream ends with an error event");
    assert!(error.contains("retry_after"), "{error}");
    assert!(
        reader.longest_gap < RECOVERY_TIMEOUT,
        "{:?}",
        reader.longest_gap
    );
}

/// An engine that can't continue from given tokens dies midway. The answer must end with an error;
/// a second text must not be appended to the first.
#[tokio::test]
async fn an_answer_that_cannot_be_continued_ends_with_an_error() {
    let document = DOCUMENT.replacen(
        "    model: m\n",
        "    model: m\n    contract: {continues: false}\n",
        1,
    );
    let trial = start_system(1, 2, &document).await;
    inject_into_all_engines(
        &trial,
        Fault {
            no_continue: true,
            ..Fault::default()
        },
    );
    let (seed, text) = full_length_answer(1);
    let mut reader = Reader::open(request(&trial, 0, seed, None)).await;
    reader.read(8).await;
    trial.engines[running_engine(&trial)].inject_fault(Fault {
        die: true,
        ..Fault::default()
    });
    reader.read_to_end().await;
    assert_eq!(reader.tokens, text[..reader.tokens.len()]);
    assert!(reader.error.is_some());
}

/// A middlebox between entry and sidecar loses the state of their connection: it stays open and
/// carries nothing in one or both directions, while new connections work. The engine continues, so
/// no token may be generated twice, and the caller must not wait for the connection's timeout.
#[rstest]
#[case::both_ways(Cut::Both)]
#[case::to_the_entry(Cut::ToEntry)]
#[case::to_the_sidecar(Cut::ToSidecar)]
#[tokio::test]
async fn an_answer_continues_on_a_new_link_if_its_link_is_silent(#[case] cut: Cut) {
    let mut trial = start_system(0, 1, DOCUMENT).await;
    let relay = Relay::start(trial.link_address(0)).await;
    trial.set_sidecar_address(0, relay.address);
    // Heartbeats alone would detect the silence only after this time.
    let mut settings = entry_settings("entry-0", "dc1", trial.platform.address());
    settings.times.silence = Duration::from_secs(20);
    trial
        .start_entry_with(settings)
        .await
        .expect("the entry starts");
    let revision = trial
        .put_document(0, "production", DOCUMENT)
        .await
        .expect("the document is accepted");
    trial
        .wait_ready(revision)
        .await
        .expect("the system becomes ready");
    let (seed, text) = full_length_answer(1);
    let mut reader = Reader::open(request(&trial, 0, seed, None)).await;
    reader.read(8).await;
    relay.cut_flows(cut);
    reader.read_to_end().await;
    assert_eq!(reader.tokens, text);
    assert_eq!((reader.restarts, reader.error), (0, None));
    assert!(
        reader.longest_gap < RECOVERY_TIMEOUT,
        "{:?}",
        reader.longest_gap
    );
    assert_eq!(total_runs(&trial), 1, "no second run");
}

/// The entry dies, or is alive and doesn't know that its caller is gone. The caller retries through
/// the other entry and must get the rest of the same text, although no two runs of these engines
/// return the same text.
#[rstest]
#[case::entry_dies(true)]
#[case::entry_lives(false)]
#[tokio::test]
async fn a_retry_through_the_other_entry_gets_the_rest(#[case] dies: bool) {
    let mut trial = start_system(2, 3, DOCUMENT).await;
    inject_into_all_engines(
        &trial,
        Fault {
            vary: true,
            ..Fault::default()
        },
    );
    let (seed, text) = full_length_answer(1);
    let mut first = Reader::open(request(&trial, 0, seed, Some("letter-1"))).await;
    first.read(10).await;
    if dies {
        trial.entries[0].kill();
    }
    let retry = request(&trial, 1, seed, Some("letter-1"));
    let mut second = Reader::resume(retry, &first).await;
    second.read_to_end().await;
    assert_eq!(second.tokens.len(), text.len());
    assert_eq!((second.restarts, second.error), (0, None));
    assert_eq!(total_runs(&trial), 1, "no second run");
    if !dies {
        first.read_to_end().await;
        assert_eq!(first.tokens, second.tokens);
    }
}

/// No entry knows the pointer to the run. The retry starts the whole answer again; if its text
/// differs, the caller gets a `restart` event and never sees a mix of two texts.
#[rstest]
#[case::same_text(false)]
#[case::other_text(true)]
#[tokio::test]
async fn a_retry_without_a_pointer_restarts_the_answer(#[case] vary: bool) {
    let trial = start_system(2, 2, DOCUMENT).await;
    inject_into_all_engines(
        &trial,
        Fault {
            vary,
            ..Fault::default()
        },
    );
    let (seed, text) = full_length_answer(1);
    // Without an idempotency key no pointer is stored.
    let mut first = Reader::open(request(&trial, 0, seed, None)).await;
    first.read(10).await;
    let mut second = Reader::resume(request(&trial, 1, seed, None), &first).await;
    second.read_to_end().await;
    assert_eq!(second.tokens.len(), text.len());
    assert_eq!(second.restarts, usize::from(vary));
    if vary {
        assert_ne!(second.tokens[..10], first.tokens[..10]);
    } else {
        assert_eq!(second.tokens, text);
    }
}

/// An engine pauses while it serves many callers. Each must get its own answer and not another
/// one's, and none may wait because the others have spent the retry budget.
#[tokio::test]
async fn concurrent_callers_get_their_own_answers() {
    let trial = start_system(1, 3, DOCUMENT).await;
    let mut tasks = Vec::new();
    for number in 0..16 {
        let (seed, text) = full_length_answer(number * 100);
        let request = request(&trial, 0, seed, None);
        tasks.push(tokio::spawn(async move {
            let mut reader = Reader::open(request).await;
            reader.read_to_end().await;
            (reader, text)
        }));
    }
    wait_for("all runs to start", || total_runs(&trial) >= 16).await;
    let paused = Instant::now();
    trial.engines[0].inject_fault(Fault {
        pause_ms: Some(20_000),
        ..Fault::default()
    });
    for task in tasks {
        let (reader, text) = task.await.expect("the reader completes");
        assert_eq!(reader.tokens, text);
        assert_eq!(reader.error, None);
        assert!(
            reader.longest_gap < RECOVERY_TIMEOUT,
            "{:?}",
            reader.longest_gap
        );
    }
    assert!(
        paused.elapsed() < Duration::from_secs(15),
        "no answer is delayed"
    );
}

/// A caller disconnects for good. Its run must end, or engines would waste capacity.
#[rstest]
#[case::without_a_key(None, Duration::from_secs(60))]
#[case::after_the_grace_time(Some("letter-1"), Duration::from_millis(600))]
#[tokio::test]
async fn a_run_without_a_caller_is_cancelled(#[case] key: Option<&str>, #[case] grace: Duration) {
    let mut trial = Trial::start().await.expect("the platform starts");
    let settings = fakes::engine::Settings {
        token_interval: Duration::from_millis(200),
        ..fakes::engine::Settings::default()
    };
    trial
        .start_engine_with(settings, |sidecar| sidecar.times.grace = grace)
        .await
        .expect("the engine starts");
    trial
        .start_entry("entry-0", "dc1")
        .await
        .expect("the entry starts");
    let revision = trial
        .put_document(0, "production", DOCUMENT)
        .await
        .expect("the document is accepted");
    trial
        .wait_ready(revision)
        .await
        .expect("the system becomes ready");
    let (seed, _) = full_length_answer(1);
    let mut reader = Reader::open(request(&trial, 0, seed, key)).await;
    reader.read(2).await;
    drop(reader);
    wait_for("the run to be cancelled", || {
        let runs = trial.engines[0].runs();
        runs.iter().all(|run| run.state == State::Cancelled)
    })
    .await;
    assert!(trial.engines[0].runs()[0].sent < MAX_TOKENS);
}

/// An answer is longer than the sidecar's log of it may be. Tokens that the caller has received are
/// removed from the log, and the answer continues.
#[tokio::test]
async fn an_answer_may_be_longer_than_its_log() {
    let mut trial = Trial::start().await.expect("the platform starts");
    let settings = fakes::engine::Settings {
        token_interval: Duration::from_millis(2),
        ..fakes::engine::Settings::default()
    };
    trial
        .start_engine_with(settings, |sidecar| sidecar.limits.log = 1024)
        .await
        .expect("the engine starts");
    trial
        .start_entry("entry-0", "dc1")
        .await
        .expect("the entry starts");
    let revision = trial
        .put_document(0, "production", DOCUMENT)
        .await
        .expect("the document is accepted");
    trial
        .wait_ready(revision)
        .await
        .expect("the system becomes ready");
    let (seed, text) = full_length_answer(1);
    let mut reader = Reader::open(request(&trial, 0, seed, None)).await;
    reader.read_to_end().await;
    assert_eq!(reader.tokens, text);
    assert_eq!(total_runs(&trial), 1, "no second run");
}
