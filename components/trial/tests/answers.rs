//! Answers fault by fault, with real daemons over loopback: token by token the engines' known text.

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
    LENGTH,
    desk,
    letter::{
        Letter,
        request,
        until, //
    },
    relay::{
        Cut,
        Relay, //
    },
    whole_letter, //
};
use tokio::time::Instant;
use trial::{
    Trial,
    trial::entry_settings, //
};

/// Output goes on within this time of a loss.
const SOON: Duration = Duration::from_secs(3);

/// The engine that runs a generation now.
fn running(trial: &Trial) -> usize {
    let runs = |number: &usize| {
        let runs = trial.engines[*number].runs();
        runs.iter().any(|run| run.state == State::Running)
    };
    let mut numbers = 0..trial.engines.len();
    numbers.find(runs).expect("an engine runs the answer")
}

/// Runs of all engines so far.
fn runs(trial: &Trial) -> usize {
    trial.engines.iter().map(|engine| engine.runs().len()).sum()
}

/// Sets a fault at every engine.
fn everywhere(trial: &Trial, fault: Fault) {
    for engine in &trial.engines {
        engine.inject_fault(fault.clone());
    }
}

/// What happens to the engine, the sidecar or both that run an answer.
#[derive(Clone, Debug)]
enum Loss {
    Engine(Fault),
    Sidecar,
    Host,
}

impl Loss {
    fn strike(&self, trial: &mut Trial, number: usize) {
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

/// An engine, its sidecar or the whole host fails while a letter is being written. The caller
/// notices a pause; without the next epoch the letter would stop there.
#[rstest]
#[case::engine_dies(Loss::Engine(Fault { die: true, ..Fault::default() }))]
#[case::engine_stops_and_wakes(Loss::Engine(Fault { pause_ms: Some(6000), ..Fault::default() }))]
#[case::engine_goes_silent(Loss::Engine(Fault { silence: true, ..Fault::default() }))]
#[case::sidecar_dies(Loss::Sidecar)]
#[case::host_is_gone(Loss::Host)]
#[tokio::test]
async fn an_answer_goes_on_after_a_loss(#[case] loss: Loss, #[values(0, 12)] before: usize) {
    let mut trial = desk(1, 2, DOCUMENT).await;
    let (seed, text) = whole_letter(1);
    if before == 0 {
        let slow = Slow {
            first_ms: 300,
            between_ms: 0,
        };
        everywhere(
            &trial,
            Fault {
                slow: Some(slow),
                ..Fault::default()
            },
        );
    }
    let sent = request(&trial, 0, seed, None);
    let reader = tokio::spawn(async move {
        let mut letter = Letter::open(sent).await;
        letter.rest().await;
        letter
    });
    until("a run", || {
        let mut engines = trial.engines.iter();
        engines.any(|engine| engine.runs().iter().any(|run| run.sent >= before as u64))
    })
    .await;
    let number = running(&trial);
    loss.strike(&mut trial, number);
    let letter = reader.await.expect("the reader ends");
    assert_eq!(letter.tokens, text);
    assert_eq!((letter.restarts, letter.error), (0, None));
    assert!(letter.finish.is_some());
    assert!(letter.gap < SOON, "{:?}", letter.gap);
}

/// An engine sends a token twice, or leaves one out. A caller would read a word twice, or miss one.
#[rstest]
#[case::repeats(Fault { repeat_at: Some(20), ..Fault::default() })]
#[case::skips(Fault { skip_at: Some(20), ..Fault::default() })]
#[tokio::test]
async fn a_wrong_stream_is_left_before_its_error_shows(#[case] fault: Fault) {
    let trial = desk(1, 2, DOCUMENT).await;
    let (seed, text) = whole_letter(1);
    let mut letter = Letter::open(request(&trial, 0, seed, None)).await;
    letter.read(3).await;
    trial.engines[running(&trial)].inject_fault(fault);
    letter.rest().await;
    assert_eq!(letter.tokens, text);
    assert_eq!(letter.error, None);
    assert_eq!(runs(&trial), 2, "the wrong stream was left");
}

/// An engine stops, the answer moves, the next engine dies. Each loss alone is mended; both
/// together must be as well.
#[tokio::test]
async fn two_faults_in_one_answer_are_mended() {
    let trial = desk(1, 3, DOCUMENT).await;
    let (seed, text) = whole_letter(1);
    let mut letter = Letter::open(request(&trial, 0, seed, None)).await;
    letter.read(8).await;
    let first = running(&trial);
    let pause = Fault {
        pause_ms: Some(20_000),
        ..Fault::default()
    };
    trial.engines[first].inject_fault(pause);
    letter.read(16).await;
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
    letter.read(17).await;
    assert!(died.elapsed() < SOON, "{:?}", died.elapsed());
    letter.rest().await;
    assert_eq!(letter.tokens, text);
    assert_eq!(letter.error, None);
    // Operators see it as one answer, whose tokens another engine had to read in once more.
    let address = format!("{}/reports/resumes?format=json", trial.operators_url(0));
    let report = trial.client.get(address).send().await.expect("a report");
    let rows: serde_json::Value = report.json().await.expect("JSON");
    assert_eq!(rows[0]["answers"], 1, "{rows}");
    assert!(rows[0]["suspicion"].as_u64() >= Some(1), "{rows}");
    assert!(rows[0]["recomputed"].as_u64() >= Some(8), "{rows}");
    assert!(rows[0]["median_ms"].as_u64() >= Some(1), "{rows}");
}

/// All replicas are gone. A caller that is held to its deadline waits for nothing; it must be told
/// at once, and when to come back.
#[tokio::test]
async fn without_replicas_the_answer_ends_at_once_with_a_time_to_come_back() {
    let trial = desk(1, 2, DOCUMENT).await;
    let (seed, text) = whole_letter(1);
    let mut letter = Letter::open(request(&trial, 0, seed, None)).await;
    letter.read(8).await;
    everywhere(
        &trial,
        Fault {
            die: true,
            ..Fault::default()
        },
    );
    letter.rest().await;
    assert!(letter.tokens.len() < text.len());
    assert_eq!(letter.tokens, text[..letter.tokens.len()]);
    let error = letter.error.expect("a typed end");
    assert!(error.contains("retry_after"), "{error}");
    assert!(letter.gap < SOON, "{:?}", letter.gap);
}

/// An engine that can't go on from given tokens dies midway. A second text must not be spliced on.
#[tokio::test]
async fn without_continuation_a_begun_letter_ends_typed() {
    let document = DOCUMENT.replacen(
        "    model: m\n",
        "    model: m\n    contract: {continues: false}\n",
        1,
    );
    let trial = desk(1, 2, &document).await;
    everywhere(
        &trial,
        Fault {
            no_continue: true,
            ..Fault::default()
        },
    );
    let (seed, text) = whole_letter(1);
    let mut letter = Letter::open(request(&trial, 0, seed, None)).await;
    letter.read(8).await;
    trial.engines[running(&trial)].inject_fault(Fault {
        die: true,
        ..Fault::default()
    });
    letter.rest().await;
    assert_eq!(letter.tokens, text[..letter.tokens.len()]);
    assert!(letter.error.is_some());
}

/// Something between entry and sidecar loses track of the connection: it stays open and carries
/// nothing, one way or both, while new connections work. The engine goes on, so no token may be
/// made twice, and the caller must not wait for the connection's time-out.
#[rstest]
#[case::both_ways(Cut::Both)]
#[case::to_the_entry(Cut::ToEntry)]
#[case::to_the_sidecar(Cut::ToSidecar)]
#[tokio::test]
async fn a_silent_link_is_read_anew(#[case] cut: Cut) {
    let mut trial = desk(0, 1, DOCUMENT).await;
    let relay = Relay::start(trial.link_address(0)).await;
    trial.set_sidecar_address(0, relay.address);
    // Heartbeats alone would tell only after this time.
    let mut settings = entry_settings("entry-0", "dc1", trial.platform.address());
    settings.times.silence = Duration::from_secs(20);
    trial.start_entry_with(settings).await.expect("an entry");
    let revision = trial
        .put_document(0, "production", DOCUMENT)
        .await
        .expect("put");
    trial.wait_ready(revision).await.expect("ready");
    let (seed, text) = whole_letter(1);
    let mut letter = Letter::open(request(&trial, 0, seed, None)).await;
    letter.read(8).await;
    relay.forget(cut);
    letter.rest().await;
    assert_eq!(letter.tokens, text);
    assert_eq!((letter.restarts, letter.error), (0, None));
    assert!(letter.gap < SOON, "{:?}", letter.gap);
    assert_eq!(runs(&trial), 1, "no second run");
}

/// The entry dies, or still lives and doesn't know that its caller is gone. The caller comes back
/// through the other entry, and gets the rest of the same text, though no two runs of these engines
/// give the same one.
#[rstest]
#[case::entry_dies(true)]
#[case::entry_lives(false)]
#[tokio::test]
async fn a_retry_through_the_other_entry_gets_the_rest(#[case] dies: bool) {
    let mut trial = desk(2, 3, DOCUMENT).await;
    everywhere(
        &trial,
        Fault {
            vary: true,
            ..Fault::default()
        },
    );
    let (seed, text) = whole_letter(1);
    let mut first = Letter::open(request(&trial, 0, seed, Some("letter-1"))).await;
    first.read(10).await;
    if dies {
        trial.entries[0].kill();
    }
    let again = request(&trial, 1, seed, Some("letter-1"));
    let mut second = Letter::resume(again, &first).await;
    second.rest().await;
    assert_eq!(second.tokens.len(), text.len());
    assert_eq!((second.restarts, second.error), (0, None));
    assert_eq!(runs(&trial), 1, "no second run");
    if !dies {
        first.rest().await;
        assert_eq!(first.tokens, second.tokens);
    }
}

/// The pointer is lost with its holders. The answer begins again as a whole; when the text differs
/// the caller is told to drop what it has, and never gets two texts mixed.
#[rstest]
#[case::same_text(false)]
#[case::other_text(true)]
#[tokio::test]
async fn without_a_pointer_a_retry_is_whole(#[case] vary: bool) {
    let trial = desk(2, 2, DOCUMENT).await;
    everywhere(
        &trial,
        Fault {
            vary,
            ..Fault::default()
        },
    );
    let (seed, text) = whole_letter(1);
    // Without a key no pointer is kept.
    let mut first = Letter::open(request(&trial, 0, seed, None)).await;
    first.read(10).await;
    let mut second = Letter::resume(request(&trial, 1, seed, None), &first).await;
    second.rest().await;
    assert_eq!(second.tokens.len(), text.len());
    assert_eq!(second.restarts, usize::from(vary));
    if vary {
        assert_ne!(second.tokens[..10], first.tokens[..10]);
    } else {
        assert_eq!(second.tokens, text);
    }
}

/// Many callers write at once and the engine under them stops. Each must get its own letter, not
/// another one's, and none may wait because the retry budget was spent on the others.
#[tokio::test]
async fn crossed_callers_get_their_own_letters() {
    let trial = desk(1, 3, DOCUMENT).await;
    let mut readers = Vec::new();
    for number in 0..16 {
        let (seed, text) = whole_letter(number * 100);
        let sent = request(&trial, 0, seed, None);
        readers.push(tokio::spawn(async move {
            let mut letter = Letter::open(sent).await;
            letter.rest().await;
            (letter, text)
        }));
    }
    until("runs", || runs(&trial) >= 16).await;
    let begun = Instant::now();
    trial.engines[0].inject_fault(Fault {
        pause_ms: Some(20_000),
        ..Fault::default()
    });
    for reader in readers {
        let (letter, text) = reader.await.expect("the reader ends");
        assert_eq!(letter.tokens, text);
        assert_eq!(letter.error, None);
        assert!(letter.gap < SOON, "{:?}", letter.gap);
    }
    assert!(begun.elapsed() < Duration::from_secs(15), "no letter waits");
}

/// A caller goes away for good. What runs for it must end, or engines would write for nobody.
#[rstest]
#[case::without_a_key(None, Duration::from_secs(60))]
#[case::after_the_grace_time(Some("letter-1"), Duration::from_millis(600))]
#[tokio::test]
async fn nothing_runs_for_nobody(#[case] key: Option<&str>, #[case] grace: Duration) {
    let mut trial = Trial::start().await.expect("a platform");
    let slow = fakes::engine::Settings {
        token_interval: Duration::from_millis(200),
        ..fakes::engine::Settings::default()
    };
    trial
        .start_engine_with(slow, |settings| settings.times.grace = grace)
        .await
        .expect("an engine");
    trial.start_entry("entry-0", "dc1").await.expect("an entry");
    let revision = trial
        .put_document(0, "production", DOCUMENT)
        .await
        .expect("put");
    trial.wait_ready(revision).await.expect("ready");
    let (seed, _) = whole_letter(1);
    let mut letter = Letter::open(request(&trial, 0, seed, key)).await;
    letter.read(2).await;
    drop(letter);
    until("the run's end", || {
        let runs = trial.engines[0].runs();
        runs.iter().all(|run| run.state == State::Cancelled)
    })
    .await;
    assert!(trial.engines[0].runs()[0].sent < LENGTH);
}

/// A letter is longer than its log may be. What the caller has makes room; the letter goes on.
#[tokio::test]
async fn a_letter_may_be_longer_than_its_log() {
    let mut trial = Trial::start().await.expect("a platform");
    let quick = fakes::engine::Settings {
        token_interval: Duration::from_millis(2),
        ..fakes::engine::Settings::default()
    };
    trial
        .start_engine_with(quick, |settings| settings.limits.log = 1024)
        .await
        .expect("an engine");
    trial.start_entry("entry-0", "dc1").await.expect("an entry");
    let revision = trial
        .put_document(0, "production", DOCUMENT)
        .await
        .expect("put");
    trial.wait_ready(revision).await.expect("ready");
    let (seed, text) = whole_letter(1);
    let mut letter = Letter::open(request(&trial, 0, seed, None)).await;
    letter.rest().await;
    assert_eq!(letter.tokens, text);
    assert_eq!(runs(&trial), 1, "no second run");
}
