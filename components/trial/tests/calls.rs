//! Calls that run at most once, with real daemons and stand-ins over loopback, fault by fault.

use std::time::Duration;

use fakes::{
    platform,
    service::{
        self,
        Service, //
    }, //
};
use reqwest::StatusCode;
use serde_json::{
    Value,
    json, //
};
use settings::sidecar::Kind;
use tokio::time::{
    Instant,
    sleep, //
};
use trial::{
    Trial,
    trial::{
        entry_settings,
        sidecar_settings, //
    },
};

const DOCUMENT: &str = "\
environment: production
services:
  - name: ledger
    kind: plain
    versions:
      - {name: v1, servers: ['ledger-*']}
routes:
  - {name: ledger, match: {path: /svc/ledger}, service: ledger, version: v1}
";

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(20);

/// A refusal must come long before a caller's deadline.
const AT_ONCE: Duration = Duration::from_secs(8);

/// Longest times of a call.
struct Times {
    entry: Duration,
    sidecar: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            entry: Duration::from_secs(30),
            sidecar: Duration::from_secs(30),
        }
    }
}

/// Two entries, and replicas of the ledger that share no state.
struct Desk(Trial);

/// What a caller got.
#[derive(Debug)]
struct Told {
    status: StatusCode,
    body: Value,
    replayed: bool,
    retry_after: bool,
    took: Duration,
}

impl Told {
    fn run(&self) -> &str {
        match self.body["error"]["run"].as_str() {
            Some(run) => run,
            None => "ran",
        }
    }
}

impl Desk {
    async fn open(replicas: usize) -> Self {
        Self::open_with(replicas, Times::default()).await
    }

    async fn open_with(replicas: usize, times: Times) -> Self {
        let mut trial = Trial::start().await.unwrap();
        for number in 0..replicas {
            let name = format!("ledger-{number}");
            let service = Service::start(service::Settings::default()).await.unwrap();
            let mut settings = sidecar_settings(&name, "dc1", trial.platform.address());
            settings.server.address = format!("http://{}", service.address());
            settings.server.kind = Kind::Plain;
            settings.server.service = "ledger".into();
            settings.times.call = times.sidecar;
            trial.services.push(service);
            trial.sidecar(settings).await.unwrap();
        }
        for name in ["entry-a", "entry-b"] {
            let mut settings = entry_settings(name, "dc1", trial.platform.address());
            settings.times.call = times.entry;
            trial.entry_with(settings).await.unwrap();
        }
        let revision = trial.put(0, "production", DOCUMENT).await.unwrap();
        trial.ready(revision).await.unwrap();
        Self(trial)
    }

    /// Sends a deposit; the returned task ends with what the caller was told.
    fn send(&self, entry: usize, key: Option<&str>, amount: i64) -> tokio::task::JoinHandle<Told> {
        let address = format!("{}/svc/ledger/deposits", self.0.callers(entry));
        let body = json!({"account": "a", "amount": amount}).to_string();
        let mut request = self.0.client.post(address).body(body);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        tokio::spawn(async move {
            let begun = Instant::now();
            let response = request.send().await.unwrap();
            Told {
                status: response.status(),
                replayed: response.headers().contains_key("x-medlarhatch-replayed"),
                retry_after: response.headers().contains_key("retry-after"),
                body: response.json().await.unwrap(),
                took: begun.elapsed(),
            }
        })
    }

    async fn deposit(&self, entry: usize, key: Option<&str>) -> Told {
        self.send(entry, key, 5).await.unwrap()
    }

    async fn ask(&self, entry: usize, path: &str) -> Value {
        let address = format!("{}{path}", self.0.callers(entry));
        let answer = self.0.client.get(address).send().await.unwrap();
        answer.json().await.unwrap()
    }

    /// Deposits that any replica took.
    fn taken(&self) -> u64 {
        let services = self.0.services.iter();
        services.map(|service| service.account("a").1).sum()
    }

    /// The replica that was handed a call, once there is one.
    async fn handed(&self) -> usize {
        until("a call reaches a service", async || {
            let mut services = self.0.services.iter();
            services.position(|service| !service.calls().is_empty())
        })
        .await
    }

    fn services(&self, fault: &service::Fault) {
        for service in &self.0.services {
            service.fault(fault.clone());
        }
    }

    async fn store_writes(&self, more_than: u64) {
        until("the store is asked to write", async || {
            (self.0.platform.counts().writes > more_than).then_some(())
        })
        .await;
    }
}

async fn until<T>(what: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = condition().await {
            return found;
        }
        assert!(begun.elapsed() < LIMIT, "not in time: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

fn slow(millis: u64) -> service::Fault {
    service::Fault {
        slow_ms: Some(millis),
        ..service::Fault::default()
    }
}

/// A clerk books a deposit, loses the connection and books it again at another entry. Were it
/// taken again, an account would be charged twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_gets_the_same_answer_from_any_entry() {
    let desk = Desk::open(2).await;
    let first = desk.deposit(0, Some("k")).await;
    assert_eq!(first.status, StatusCode::CREATED, "{first:?}");
    assert!(!first.replayed);
    let again = until("the outcome is recorded", async || {
        let again = desk.deposit(1, Some("k")).await;
        (again.run() == "ran").then_some(again)
    })
    .await;
    assert!(again.replayed);
    assert_eq!(again.body, first.body);
    assert_eq!(desk.taken(), 1);
    let other = desk.send(1, Some("k"), 6).await.unwrap();
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.body["error"]["code"], "key_reused");
    let asked = desk.ask(1, "/v1/calls/k").await;
    assert_eq!(asked["outcome"], "ran");
}

/// Two entries get the same key at the same time, many times over.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_at_two_entries_at_once_runs_once() {
    let desk = Desk::open(2).await;
    for round in 0..20 {
        let key = format!("k{round}");
        let (one, other) = (desk.send(0, Some(&key), 5), desk.send(1, Some(&key), 5));
        let told = [one.await.unwrap(), other.await.unwrap()];
        let ran = told
            .iter()
            .filter(|told| told.status == StatusCode::CREATED);
        assert!(ran.count() >= 1, "{told:?}");
        let denied = told.iter().any(|told| told.run() == "not_run");
        assert!(!denied, "the call was run: {told:?}");
        assert_eq!(desk.taken(), round + 1);
    }
}

/// The store goes out before a call. Its caller is told at once that nothing was run, and when to
/// come back; the same key then runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_is_out_refuses_at_once() {
    let desk = Desk::open(1).await;
    let outage = platform::Fault {
        outage: true,
        ..platform::Fault::default()
    };
    desk.0.platform.fault(outage);
    let told = desk.deposit(0, Some("k")).await;
    assert_eq!(
        (told.run(), told.retry_after),
        ("not_run", true),
        "{told:?}"
    );
    assert!(told.took < AT_ONCE);
    assert_eq!(desk.taken(), 0);
    let asked = desk.ask(0, "/v1/calls/k?service=ledger").await;
    assert_eq!(asked["error"]["run"], "unknown");
    // Calls that need no record go on.
    assert_eq!(desk.deposit(0, None).await.status, StatusCode::CREATED);
    clear(&desk);
    runs_in_the_end(&desk, "k", 2).await;
}

/// The store takes writes and never answers; later it comes back. Whatever became of the write
/// that wasn't answered, `not_run` was said, and the key must run when it is sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_is_silent_refuses_and_the_key_stays_usable() {
    let desk = Desk::open(1).await;
    let silence = platform::Fault {
        silence: true,
        ..platform::Fault::default()
    };
    desk.0.platform.fault(silence);
    let told = desk.deposit(0, Some("k")).await;
    assert_eq!(
        (told.run(), told.retry_after),
        ("not_run", true),
        "{told:?}"
    );
    assert!(told.took < AT_ONCE);
    clear(&desk);
    runs_in_the_end(&desk, "k", 1).await;
}

/// The store's writes time out and take effect only afterwards. The caller was told `not_run`, so
/// nothing may run, and the late record must not make the key unusable.
#[tokio::test(flavor = "multi_thread")]
async fn a_record_written_after_its_timeout_runs_nothing() {
    let desk = Desk::open(1).await;
    desk.deposit(0, Some("first")).await;
    let slow = platform::Fault {
        slow_ms: Some(2500),
        ..platform::Fault::default()
    };
    desk.0.platform.fault(slow);
    let told = desk.deposit(0, Some("k")).await;
    assert_eq!(told.run(), "not_run", "{told:?}");
    assert!(told.took < AT_ONCE);
    assert_eq!(desk.taken(), 1);
    clear(&desk);
    runs_in_the_end(&desk, "k", 2).await;
}

/// The store's answer to a record is lost after the write. Reading it back shows whose it is.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_the_store_is_read_back() {
    let desk = Desk::open(1).await;
    desk.deposit(0, Some("first")).await;
    recorded(&desk, "first").await;
    let lose = platform::Fault {
        lose_answers: Some(1),
        ..platform::Fault::default()
    };
    desk.0.platform.fault(lose);
    let told = desk.deposit(0, Some("k")).await;
    assert_eq!(told.status, StatusCode::CREATED, "{told:?}");
    assert_eq!(desk.taken(), 2);
    // The same for the record of the outcome.
    desk.0.platform.fault(platform::Fault {
        lose_answers: Some(2),
        ..platform::Fault::default()
    });
    desk.deposit(0, Some("l")).await;
    recorded(&desk, "l").await;
    assert_eq!(desk.taken(), 3);
}

/// A sidecar is killed while it still waits for the store. The entry proves that the call can't
/// run any more, so that the buyer can go to another desk.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_killed_before_the_record_is_proven_not_run() {
    let mut desk = Desk::open(1).await;
    let before = desk.0.platform.counts().writes;
    // The first write is the lease; its answer never comes, so no record is asked for.
    desk.0.platform.fault(platform::Fault {
        slow_ms: Some(700),
        ..platform::Fault::default()
    });
    let told = desk.send(0, Some("k"), 5);
    desk.store_writes(before).await;
    desk.0.sidecars[0].kill();
    clear(&desk);
    let told = told.await.unwrap();
    assert_eq!(
        (told.run(), told.retry_after),
        ("not_run", true),
        "{told:?}"
    );
    assert!(told.took < AT_ONCE);
    assert_eq!(desk.taken(), 0);
}

/// A sidecar is killed after its record is written and before the service answers. Nobody can
/// tell whether the service took the money, so nobody says `not_run`, and no retry runs it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_killed_after_the_hand_over_is_unknown_and_never_runs_again() {
    let mut desk = Desk::open(2).await;
    desk.services(&slow(300));
    let told = desk.send(0, Some("k"), 5);
    let replica = desk.handed().await;
    desk.0.sidecars[replica].kill();
    let told = told.await.unwrap();
    assert_eq!(told.run(), "unknown", "{told:?}");
    assert!(told.took < AT_ONCE);
    let path = told.body["error"]["ask"].as_str().unwrap().to_string();
    assert_eq!(desk.ask(1, &path).await["outcome"], "unknown");
    let again = desk.deposit(1, Some("k")).await;
    assert_eq!(again.run(), "unknown", "{again:?}");
    let calls: usize = desk.0.services.iter().map(|s| s.calls().len()).sum();
    assert_eq!(calls, 1, "hand-overs");
}

/// A sidecar is killed after the answer was recorded. Every entry still knows it.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_killed_after_the_answer_changes_nothing() {
    let mut desk = Desk::open(2).await;
    let told = desk.deposit(0, Some("k")).await;
    recorded(&desk, "k").await;
    let replica = desk.handed().await;
    desk.0.sidecars[replica].kill();
    let again = until("another replica answers", async || {
        let again = desk.deposit(1, Some("k")).await;
        (again.run() == "ran").then_some(again)
    })
    .await;
    assert_eq!(again.body, told.body);
    assert_eq!(desk.taken(), 1);
}

/// An entry is killed mid-call, and the caller repeats the call at the other one.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_mid_call_leaves_the_answer_to_the_other() {
    let mut desk = Desk::open(2).await;
    desk.services(&slow(400));
    let lost = desk.send(0, Some("k"), 5);
    desk.handed().await;
    desk.0.entries[0].kill();
    lost.abort();
    let at_once = desk.deposit(1, Some("k")).await;
    assert_ne!(at_once.run(), "not_run", "{at_once:?}");
    let later = until("the answer is there", async || {
        let later = desk.deposit(1, Some("k")).await;
        (later.run() == "ran").then_some(later)
    })
    .await;
    assert_eq!(later.status, StatusCode::CREATED);
    assert_eq!(desk.taken(), 1);
}

/// The service dies with a call, before or after it took the deposit. From outside both look the
/// same, and both are `unknown`.
#[rstest::rstest]
#[case::before(service::Fault { die_before_take: true, ..service::Fault::default() }, 0)]
#[case::after(service::Fault { die_after_take: true, ..service::Fault::default() }, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_dies_mid_call_is_unknown(
    #[case] fault: service::Fault,
    #[case] taken: u64,
    #[values(Some("k"), None)] key: Option<&str>,
) {
    let desk = Desk::open(1).await;
    desk.services(&fault);
    let told = desk.deposit(0, key).await;
    assert_eq!(told.run(), "unknown", "{told:?}");
    assert_eq!(told.body["error"]["ask"].is_string(), key.is_some());
    assert_eq!(desk.taken(), taken);
}

/// A service is down. No byte of a call leaves, so its caller may go elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_is_down_runs_nothing() {
    let desk = Desk::open(1).await;
    desk.services(&service::Fault {
        die: true,
        ..service::Fault::default()
    });
    desk.0.services[0].dead().await;
    for key in [Some("k"), None] {
        let told = desk.deposit(0, key).await;
        assert_eq!(
            (told.run(), told.retry_after),
            ("not_run", true),
            "{told:?}"
        );
        assert!(told.took < AT_ONCE);
    }
}

/// The entry or the sidecar gives up on a slow service, and the service answers after that.
#[rstest::rstest]
#[case::entry(300, 30_000)]
#[case::sidecar(30_000, 300)]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_after_the_time_limit_is_recorded(#[case] entry: u64, #[case] sidecar: u64) {
    let times = Times {
        entry: Duration::from_millis(entry),
        sidecar: Duration::from_millis(sidecar),
    };
    let desk = Desk::open_with(1, times).await;
    desk.services(&slow(1200));
    let told = desk.deposit(0, Some("k")).await;
    assert_eq!(told.run(), "unknown", "{told:?}");
    recorded(&desk, "k").await;
    assert_eq!(desk.taken(), 1);
}

/// The store goes out while a call runs. The caller gets its answer, and the outcome is recorded
/// once the store is back, so that a repeat isn't told `unknown` for good.
#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_is_recorded_once_the_store_is_back() {
    let desk = Desk::open(1).await;
    desk.services(&slow(300));
    let running = desk.send(0, Some("k"), 5);
    desk.handed().await;
    let before = desk.0.platform.counts().writes;
    desk.0.platform.fault(platform::Fault {
        outage: true,
        ..platform::Fault::default()
    });
    assert_eq!(running.await.unwrap().status, StatusCode::CREATED);
    desk.store_writes(before).await;
    clear(&desk);
    recorded(&desk, "k").await;
    assert_eq!(desk.taken(), 1);
}

/// A sidecar leaves while a call runs. The call is answered and recorded; new calls go elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_cuts_no_call_and_takes_no_new_one() {
    let desk = Desk::open(2).await;
    desk.services(&slow(500));
    let running = desk.send(0, Some("k"), 5);
    let leaving = desk.handed().await;
    desk.0.sidecars[leaving].stop();
    let others = [desk.send(0, Some("l"), 5), desk.send(1, Some("m"), 5)];
    for other in others {
        assert_eq!(other.await.unwrap().status, StatusCode::CREATED);
    }
    assert_eq!(running.await.unwrap().status, StatusCode::CREATED);
    recorded(&desk, "k").await;
    assert_eq!(desk.taken(), 3);
    let calls = desk.0.services[leaving].calls();
    assert_eq!(calls.len(), 1, "new work after the sign");
}

/// Buyers poll a status. Each poll must reach the service after it was asked.
#[tokio::test(flavor = "multi_thread")]
async fn every_poll_is_read_afresh() {
    let desk = Desk::open(1).await;
    for reads in 1..=5 {
        let polled = desk.ask(reads % 2, "/svc/ledger/status/bird").await;
        assert_eq!(polled["reads"], reads);
    }
}

/// Two teams use the same key. Neither may see or block the other.
#[tokio::test(flavor = "multi_thread")]
async fn teams_share_no_keys() {
    let desk = Desk::open(1).await;
    for team in ["one", "other"] {
        let address = format!("{}/svc/ledger/deposits", desk.0.callers(0));
        let request = desk.0.client.post(address).header("idempotency-key", "k");
        let request = request.header("x-medlarhatch-team", team);
        let answer = request.body(r#"{"account":"a","amount":5}"#).send().await;
        let answer = answer.unwrap();
        assert!(!answer.headers().contains_key("x-medlarhatch-replayed"));
        assert_eq!(answer.status(), StatusCode::CREATED);
    }
    assert_eq!(desk.taken(), 2);
}

fn clear(desk: &Desk) {
    desk.0.platform.fault(platform::Fault {
        clear: true,
        ..platform::Fault::default()
    });
}

/// Sends a key again until it has run; nothing on the way may say `unknown` for good.
async fn runs_in_the_end(desk: &Desk, key: &str, taken: u64) {
    let told = until("the key runs", async || {
        let told = desk.deposit(1, Some(key)).await;
        (told.run() == "ran").then_some(told)
    })
    .await;
    assert_eq!(told.status, StatusCode::CREATED);
    assert_eq!(desk.taken(), taken);
}

/// Waits until the outcome of a call is recorded.
async fn recorded(desk: &Desk, key: &str) {
    let path = format!("/v1/calls/{key}?service=ledger");
    until("the outcome is recorded", async || {
        (desk.ask(1, &path).await["outcome"] == "ran").then_some(())
    })
    .await;
}
