//! Tests of servers that say in their answers that they leave, or that they want no requests for a
//! time.

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
    stream_head,
    write_events, //
};
use futures_util::future::join_all;
use rstest::rstest;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

/// Time for which a server asks for no requests.
const BACKOFF: Duration = Duration::from_millis(1500);

/// Longest time after its end until the server is used again.
const RESUME_TIME: Duration = Duration::from_millis(800);

/// Time within which a request that can't be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

/// Time for which a stream runs: events, and the time between two.
const EVENTS: (u64, Duration) = (10, Duration::from_millis(40));

/// What a server answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Serve,
    /// Declines, and asks for no requests for [`BACKOFF`].
    BackOff,
    /// Serves, and says that it leaves.
    Leave,
    /// Fails, and says that it leaves.
    FailAndLeave,
    /// Declines as full, and says that it leaves.
    DeclineAndLeave,
}

struct Server {
    backend: Backend,
    mode: Rc<Cell<Mode>>,
    arrivals: Rc<RefCell<Vec<Instant>>>,
}

impl Server {
    async fn start(kind: Kind, mode: Mode) -> Server {
        let mode = Rc::new(Cell::new(mode));
        let arrivals: Rc<RefCell<Vec<Instant>>> = Rc::default();
        let (current, log) = (mode.clone(), arrivals.clone());
        let backend = Backend::start(move |message: Message, connection| {
            let (mode, log) = (current.get(), log.clone());
            async move {
                log.borrow_mut().push(Instant::now());
                let id = message.header("id").unwrap_or_default();
                let leaving = match mode {
                    Mode::Serve | Mode::BackOff => "\r\n",
                    _ => "\r\nleaving: 1\r\n",
                };
                let (answer, header) = match mode {
                    Mode::BackOff => {
                        let seconds = BACKOFF.as_secs_f64();
                        let header = format!("\r\nnot-run: 1\r\nretry-after: {seconds}\r\n");
                        (response(id, 503, "full"), header)
                    }
                    Mode::DeclineAndLeave => {
                        let header = format!("\r\nnot-run: 1{leaving}");
                        (response(id, 503, "full"), header)
                    }
                    Mode::FailAndLeave => (response(id, 500, "failed"), leaving.to_string()),
                    Mode::Serve | Mode::Leave if kind == Kind::Stream => {
                        let head = stream_head(id).replacen("\r\n", leaving, 1);
                        connection.write(&head).await;
                        let after = message.header("after").and_then(|after| after.parse().ok());
                        write_events(&connection, after.unwrap_or(0) + 1, EVENTS.0, EVENTS.1).await;
                        return true;
                    }
                    Mode::Serve | Mode::Leave => (response(id, 200, "fine"), leaving.to_string()),
                };
                connection.write(&answer.replacen("\r\n", &header, 1)).await;
                true
            }
        })
        .await;
        Server {
            backend,
            mode,
            arrivals,
        }
    }

    fn arrivals_since(&self, since: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        arrivals.iter().filter(|at| **at >= since).count()
    }

    fn register(&self, harness: &Harness, kind: Kind, name: &str, started_ms: u64) {
        let address = self.backend.address;
        let service = kind.service();
        harness.register_started(name, service, "a", address, 8, Some(started_ms));
    }
}

/// Status of a response and its `Retry-After` in seconds.
type Answer = (Option<u16>, Option<f64>);

async fn send(harness: &Harness, id: &str, kind: Kind) -> Answer {
    let path = kind.path(id);
    let sent = harness.request(id, &path, kind.headers());
    let Ok((_, Ok(answer))) = timeout(Duration::from_secs(10), sent).await else {
        return (None, None);
    };
    let retry_after = answer.header("retry-after").map(str::parse);
    (Some(answer.status()), retry_after.and_then(Result::ok))
}

async fn send_all(harness: &Harness, name: &str, kind: Kind, count: usize) -> Vec<Answer> {
    let ids: Vec<String> = (0..count).map(|number| format!("{name}{number}")).collect();
    join_all(ids.iter().map(|id| send(harness, id, kind))).await
}

/// Sends a request until it reaches a server.
async fn send_until_reached(harness: &Harness, server: &Server, kind: Kind) -> Instant {
    let began = Instant::now();
    for number in 0.. {
        let id = format!("first{number}");
        send(harness, &id, kind).await;
        if server.arrivals_since(began) > 0 {
            break;
        }
    }
    Instant::now()
}

/// Guards against requests to a server that wants none, whatever its register entry and its
/// neighbours do meanwhile, and against a herd at the end of that time.
#[rstest]
fn a_server_that_asks_for_no_requests_gets_none(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let harness = Harness::with_document(document());
        let asking = Server::start(kind, Mode::BackOff).await;
        let other = Server::start(kind, Mode::Serve).await;
        asking.register(&harness, kind, "asking", 1);
        other.register(&harness, kind, "other", 1);
        let asked = send_until_reached(&harness, &asking, kind).await;
        asking.mode.set(Mode::Serve);
        let mut number = 0;
        while asked.elapsed() < BACKOFF - REFUSAL_TIME {
            number += 1;
            if number == 3 {
                harness
                    .gateway
                    .apply(gateway::Update::Deregistered("asking".into()));
                asking.register(&harness, kind, "asking", 1);
            }
            let answers = send_all(&harness, &format!("r{number}-"), kind, 3).await;
            assert!(answers.iter().all(|(status, _)| *status == Some(200)));
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(asking.arrivals_since(asked), 0);
        assert!(number > 2);
        sleep((asked + BACKOFF + RESUME_TIME).saturating_duration_since(Instant::now())).await;
        let resumed = Instant::now();
        send_all(&harness, "end", kind, 8).await;
        assert!(asking.arrivals_since(resumed) <= 1, "a herd at the end");
        send_all(&harness, "later", kind, 8).await;
        assert!(
            asking.arrivals_since(resumed) > 1,
            "the server isn't used again"
        );
    });
}

/// Guards against requests that wait, or return too early, while all servers want none.
#[rstest]
fn while_all_servers_ask_for_no_requests_callers_are_told_when_the_first_is_back(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let harness = Harness::with_document(document());
        let mut servers = Vec::new();
        for number in 0..2 {
            let server = Server::start(kind, Mode::BackOff).await;
            server.register(&harness, kind, &format!("s{number}"), 1);
            servers.push(server);
        }
        send_all(&harness, "first", kind, 4).await;
        let asked = Instant::now();
        for answer in send_all(&harness, "r", kind, 5).await {
            let left = (BACKOFF - asked.elapsed()).as_secs_f64();
            assert_eq!(answer.0, Some(503));
            let told = answer.1.expect("a time to return");
            assert!(told > left - 0.1, "{told} of {left}");
            assert!(told < left + RESUME_TIME.as_secs_f64(), "{told} of {left}");
        }
        assert!(asked.elapsed() < REFUSAL_TIME);
        for server in &servers {
            assert_eq!(server.arrivals_since(asked), 0);
            server.mode.set(Mode::Serve);
        }
        sleep(BACKOFF + RESUME_TIME).await;
        assert_eq!(send(&harness, "back", kind).await.0, Some(200));
    });
}

/// Guards against a server that is avoided for what its earlier run asked for.
#[rstest]
#[case::backoff(Mode::BackOff)]
#[case::leaving(Mode::DeclineAndLeave)]
fn a_server_that_starts_again_is_used_at_once(#[case] mode: Mode) {
    common::run(async move {
        let kind = Kind::Safe;
        let harness = Harness::with_document(document());
        let server = Server::start(kind, mode).await;
        server.register(&harness, kind, "s", 1);
        assert_eq!(send(&harness, "r1", kind).await.0, Some(503));
        server.mode.set(Mode::Serve);
        assert_eq!(send(&harness, "r2", kind).await.0, Some(503));
        server.register(&harness, kind, "s", 2);
        assert_eq!(send(&harness, "r3", kind).await.0, Some(200));
    });
}

/// Guards against requests to a server that said that it leaves, while its register entry doesn't,
/// and against an end of what runs there.
#[rstest]
fn a_server_that_says_that_it_leaves_gets_no_new_requests(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(Mode::Leave, Mode::FailAndLeave, Mode::DeclineAndLeave)] mode: Mode,
) {
    common::run(async move {
        let harness = Harness::with_document(document());
        let leaving = Server::start(kind, mode).await;
        leaving.register(&harness, kind, "leaving", 1);
        let first = send(&harness, "first", kind).await.0;
        let expected = match mode {
            Mode::FailAndLeave => 500,
            Mode::DeclineAndLeave => 503,
            _ => 200,
        };
        assert_eq!(first, Some(expected));
        let told = Instant::now();
        let other = Server::start(kind, Mode::Serve).await;
        other.register(&harness, kind, "other", 1);
        // The register goes on to list it as ready, also after it was missing there.
        leaving.register(&harness, kind, "leaving", 1);
        send_all(&harness, "r", kind, 8).await;
        harness
            .gateway
            .apply(gateway::Update::Deregistered("leaving".into()));
        leaving.register(&harness, kind, "leaving", 1);
        let answers = send_all(&harness, "again", kind, 8).await;
        assert!(answers.iter().all(|(status, _)| *status == Some(200)));
        assert_eq!(leaving.arrivals_since(told), 0);
    });
}
