//! Tests of gradual rollouts at a gateway with real connections.

mod common;

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    Kind,
    Message,
    document,
    response,
    settings,
    stream_head,
    write_events, //
};
use environment::document::Document;
use gateway::{
    Update,
    clock,
    update::Registration, //
};
use moves::rollout::Order;
use routing::placement::Spec;
use rstest::rstest;
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        sleep, //
    },
};

const SERVERS_PER_VERSION: usize = 3;

/// Time within which the traffic must move.
const ROLLOUT_TIME: Duration = Duration::from_secs(6);

/// Time of the traffic before the rollout: gateways let new versions wait until they know one
/// another.
const WARM_UP_TIME: Duration = Duration::from_secs(3);

const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Time from a request to the answer of the old version, and of a new one that is slow: longer than
/// callers wait.
const ANSWER_DELAYS: [Duration; 2] = [Duration::from_millis(40), Duration::from_secs(30)];

/// As [`ANSWER_DELAYS`], where servers are given up as silent before an answer is several times
/// slower than the old version's.
const LONG_ANSWER_DELAYS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(30)];

/// Time within which the first event is due in that case.
const SHORT_OBJECTIVE: Duration = Duration::from_secs(1);

/// Time within which an answer is due where callers leave first.
const LONG_OBJECTIVE: Duration = Duration::from_secs(5);

/// As [`ANSWER_DELAYS`], where callers leave before an answer is several times slower than the old
/// version's.
const NEAR_DEADLINE_DELAYS: [Duration; 2] = [Duration::from_millis(1500), Duration::from_secs(30)];

/// As [`ANSWER_DELAYS`], where one request is slow at every server.
const SLOW_REQUEST_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(30)];

/// Time from the order after which one request is slow at every server.
const SLOW_REQUEST_FROM: Duration = Duration::from_secs(2);

/// Time for which callers wait.
const DEADLINE_MS: u64 = 2500;

/// Returns the time from a request to its answer, by the id of the request.
type Delay = Rc<dyn Fn(&str) -> Duration>;

fn always(delay: Duration) -> Delay {
    Rc::new(move |_| delay)
}

/// Starts a server of a version, which counts its requests.
async fn start_server(kind: Kind, delay: Delay, requests: Rc<Cell<usize>>) -> Backend {
    Backend::start(move |message: Message, connection| {
        let requests = requests.clone();
        let delay = delay.clone();
        async move {
            // A status check is no request.
            if message.is_status_check() {
                connection.write(&response("", 200, "")).await;
                return true;
            }
            requests.set(requests.get() + 1);
            let id = message.header("id").unwrap_or_default();
            sleep(delay(id)).await;
            if kind == Kind::Stream {
                connection.write(&stream_head(id)).await;
                write_events(&connection, 1, 3, Duration::from_millis(5)).await;
            } else {
                connection.write(&response(id, 200, "fine")).await;
            }
            true
        }
    })
    .await
}

/// Starts and registers the servers of a version.
async fn start_version(
    harness: &Harness,
    kind: Kind,
    version: &str,
    delay: Delay,
    requests: Rc<Cell<usize>>,
) -> Vec<Backend> {
    let mut backends = Vec::new();
    for number in 0..SERVERS_PER_VERSION {
        let backend = start_server(kind, delay.clone(), requests.clone()).await;
        let spec = Spec {
            service: kind.service().into(),
            version: version.into(),
            data_centre: "a".into(),
            slots: 8,
            memory: if kind == Kind::Stream { 50_000 } else { 0 },
        };
        harness.gateway.apply(Update::Server {
            registration: Registration {
                server: format!("{version}-{number}"),
                address: backend.address,
                spec,
                leaving: false,
                started_ms: None,
                revision: 0,
            },
            since: clock::now(),
        });
        backends.push(backend);
    }
    backends
}

/// Sends requests for a time.
async fn run_traffic(harness: &Rc<Harness>, kind: Kind, time: Duration, prefix: &str) {
    let began = Instant::now();
    for number in 0.. {
        if began.elapsed() >= time {
            return;
        }
        let harness = harness.clone();
        let id = format!("{prefix}{number}");
        let path = kind.path(&id);
        let headers = format!("deadline: {DEADLINE_MS}\r\n{}", kind.headers());
        spawn_local(async move {
            let _ = harness.request(&id, &path, &headers).await;
        });
        sleep(REQUEST_INTERVAL).await;
    }
}

/// Guards against a rollout to a version that answers so late that none of its answers is waited
/// for: if only the answers that arrive are judged, nothing speaks against it.
#[rstest]
fn a_version_whose_answers_are_not_waited_for_is_taken_back(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(roll_out_slow_version(kind, document(), ANSWER_DELAYS));
}

/// Guards against a rollout to a version whose runs are all given up before their answers count as
/// overdue: a run that the gateway gives up as too slow is a result too.
#[test]
fn a_version_whose_runs_are_given_up_early_is_taken_back() {
    let document = document_with_objective(SHORT_OBJECTIVE);
    common::run(roll_out_slow_version(
        Kind::Stream,
        document,
        LONG_ANSWER_DELAYS,
    ));
}

/// Guards against a rollout to a version whose answers no caller waits for, where callers leave
/// before an answer counts as overdue: a request that its deadline cuts off is a result too.
#[rstest]
fn a_version_that_misses_every_deadline_is_taken_back(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    let document = document_with_objective(LONG_OBJECTIVE);
    common::run(roll_out_slow_version(kind, document, NEAR_DEADLINE_DELAYS));
}

/// Guards against a good version that is taken back for one request that is slow at every server:
/// its attempts are one event.
#[test]
fn a_request_that_is_slow_at_every_server_counts_once() {
    common::run(async {
        let kind = Kind::Stream;
        let harness = Harness::start(settings());
        harness.put_document(1, document_with_objective(SHORT_OBJECTIVE));
        let harness = Rc::new(harness);
        let [usual, slow] = SLOW_REQUEST_DELAYS;
        let slow_id: Rc<RefCell<Option<String>>> = Rc::default();
        let known = slow_id.clone();
        let old_delay = move |id: &str| match known.borrow().as_deref() == Some(id) {
            true => slow,
            false => usual,
        };
        let _old = start_version(&harness, kind, "v1", Rc::new(old_delay), Rc::default()).await;
        run_traffic(&harness, kind, WARM_UP_TIME, "before").await;
        let ordered = Instant::now();
        let known = slow_id.clone();
        let attempts: Rc<Cell<usize>> = Rc::default();
        let counted = attempts.clone();
        let new_delay = move |id: &str| {
            let mut known = known.borrow_mut();
            if known.is_none() && ordered.elapsed() > SLOW_REQUEST_FROM {
                *known = Some(id.to_string());
            }
            if known.as_deref() != Some(id) {
                return usual;
            }
            counted.set(counted.get() + 1);
            slow
        };
        let requests: Rc<Cell<usize>> = Rc::default();
        let new_delay = Rc::new(new_delay);
        let _new = start_version(&harness, kind, "v2", new_delay, requests.clone()).await;
        order_rollout(&harness, kind);
        run_traffic(&harness, kind, ROLLOUT_TIME, "during").await;
        assert!(attempts.get() >= 2, "{} attempts", attempts.get());
        let during = requests.get();
        run_traffic(&harness, kind, Duration::from_secs(1), "after").await;
        assert!(requests.get() > during, "the new version was taken back");
    });
}

/// Orders that a service moves to its new version.
fn order_rollout(harness: &Harness, kind: Kind) {
    harness.gateway.apply(Update::Rollout {
        service: kind.service().into(),
        order: Some(Order {
            revision: 7,
            to: "v2".into(),
            within: ROLLOUT_TIME,
        }),
    });
}

/// Returns a document whose routes have an objective.
fn document_with_objective(objective: Duration) -> Document {
    let mut document = document();
    for rule in &mut document.routes {
        if let Some(pass) = &mut rule.pass {
            pass.objective = objective;
        }
    }
    document
}

/// Rolls out a version that is too slow, and checks that it is taken back.
async fn roll_out_slow_version(kind: Kind, document: Document, delays: [Duration; 2]) {
    let harness = Harness::start(settings());
    harness.put_document(1, document);
    let harness = Rc::new(harness);
    let [old_delay, new_delay] = delays;
    let _old = start_version(&harness, kind, "v1", always(old_delay), Rc::default()).await;
    run_traffic(&harness, kind, WARM_UP_TIME, "before").await;
    let requests: Rc<Cell<usize>> = Rc::default();
    let _new = start_version(&harness, kind, "v2", always(new_delay), requests.clone()).await;
    order_rollout(&harness, kind);
    run_traffic(&harness, kind, ROLLOUT_TIME, "during").await;
    let during = requests.get();
    run_traffic(&harness, kind, Duration::from_secs(2), "after").await;
    assert!(during > 0, "the new version got no sample");
    assert_eq!(requests.get(), during, "the new version is still used");
}
