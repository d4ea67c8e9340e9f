//! Tests of requests that crash the backend servers that run them.

mod common;

use std::{
    cell::RefCell,
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
use gateway::Update;
use rstest::rstest;
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    },
};

/// Number of servers: more than a request may crash.
const SERVER_COUNT: usize = 12;

/// Number of crashes after which a request must not be sent to another server.
const MAX_CRASHES: usize = 3;

/// Time from the start of a run to the crash of its server.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Time within which all gateways know of a refused request.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Time within which two gateways know each other and what each knows of requests: several beacons.
const INTRODUCTION_TIME: Duration = Duration::from_secs(2);

/// Time between two events of an engine.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Servers of one service, and the paths of the requests that they ran.
struct Servers {
    backends: Vec<Rc<Backend>>,
    runs: Rc<RefCell<Vec<String>>>,
}

impl Servers {
    async fn start(kind: Kind) -> Servers {
        Servers::start_with(kind, Duration::ZERO).await
    }

    /// Starts servers whose ports close some time after the connections when they crash.
    async fn start_with(kind: Kind, port_closes_after: Duration) -> Servers {
        let runs: Rc<RefCell<Vec<String>>> = Rc::default();
        let mut backends = Vec::new();
        for _ in 0..SERVER_COUNT {
            backends.push(start_server(kind, runs.clone(), port_closes_after).await);
        }
        Servers { backends, runs }
    }

    fn register(&self, harness: &Harness, kind: Kind) {
        for (index, backend) in self.backends.iter().enumerate() {
            let server = format!("s{index}");
            harness.register(&server, kind.service(), "a", backend.address);
        }
    }

    /// Returns how many runs a request had.
    fn run_count(&self, path: &str) -> usize {
        let runs = self.runs.borrow();
        runs.iter().filter(|run| run.as_str() == path).count()
    }
}

/// Starts a server that crashes shortly after it began to run a request whose path contains
/// `poison`, and loses the answer to one whose path contains `lost`.
async fn start_server(
    kind: Kind,
    runs: Rc<RefCell<Vec<String>>>,
    port_closes_after: Duration,
) -> Rc<Backend> {
    let crash = Rc::new(Notify::new());
    let crashed = crash.clone();
    let handler = move |message: Message, connection: common::Connection| {
        let (runs, crash) = (runs.clone(), crash.clone());
        async move {
            let path = message.start_line.split(' ').nth(1).unwrap_or_default();
            runs.borrow_mut().push(path.to_string());
            let id = message.header("id").unwrap_or_default();
            if kind == Kind::Stream {
                connection.write(&stream_head(id)).await;
            }
            if path.contains("poison") {
                sleep(CRASH_DELAY).await;
                crash.notify_one();
                std::future::pending::<()>().await;
            }
            if path.contains("lost") {
                connection.reset();
                return false;
            }
            match kind {
                Kind::Stream => {
                    let after = message.header("after").and_then(|after| after.parse().ok());
                    write_events(&connection, after.unwrap_or(0) + 1, 6, EVENT_INTERVAL).await;
                }
                Kind::Safe | Kind::Unsafe => {
                    connection.write(&response(id, 200, "fine")).await;
                }
            }
            true
        }
    };
    let backend = Rc::new(Backend::start(handler).await);
    let server = backend.clone();
    spawn_local(async move {
        crashed.notified().await;
        if !port_closes_after.is_zero() {
            server.cut();
            sleep(port_closes_after).await;
        }
        server.kill();
    });
    backend
}

/// Starts a gateway, with another one as its peer if there is one.
fn start_gateway(peer: Option<&Harness>) -> Harness {
    let mut settings = settings();
    settings.seeds.extend(peer.map(|peer| peer.peers));
    let harness = Harness::start(settings);
    harness.put_document(1, document());
    harness
}

/// Returns the status of a response, or `None` if it isn't complete.
async fn send(harness: &Harness, id: &str, kind: Kind, path: &str) -> Option<u16> {
    let sent = harness.request(id, path, kind.headers());
    let (_, response) = timeout(Duration::from_secs(10), sent).await.ok()?;
    response.ok().map(|response| response.status())
}

/// Guards against a request that crashes one server after another because each attempt of its
/// caller has a new id.
#[rstest]
fn a_request_that_crashes_servers_is_refused_under_any_id(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let servers = Servers::start(kind).await;
        let harness = start_gateway(None);
        servers.register(&harness, kind);
        let poison = kind.path("poison");
        for attempt in 0..6 {
            let status = send(&harness, &format!("r{attempt}"), kind, &poison).await;
            assert_ne!(status, Some(200));
        }
        assert_eq!(servers.run_count(&poison), MAX_CRASHES);
        let status = send(&harness, "last", kind, &poison).await;
        assert_eq!(status, Some(503));
        let status = send(&harness, "other", kind, &kind.path("other")).await;
        assert_eq!(status, Some(200));
    });
}

/// Guards against a request that crashes servers at each gateway anew.
#[rstest]
fn a_request_that_crashes_servers_is_refused_at_every_gateway(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let servers = Servers::start(kind).await;
        let first = start_gateway(None);
        let second = start_gateway(Some(&first));
        servers.register(&first, kind);
        servers.register(&second, kind);
        sleep(PROPAGATION_TIME).await;
        let poison = kind.path("poison");
        for (attempt, harness) in [&first, &second, &first, &second].iter().enumerate() {
            send(harness, &format!("r{attempt}"), kind, &poison).await;
            sleep(PROPAGATION_TIME).await;
        }
        assert_eq!(servers.run_count(&poison), MAX_CRASHES);
        for harness in [&first, &second] {
            assert_eq!(send(harness, "last", kind, &poison).await, Some(503));
        }
    });
}

/// Guards against the refusal of a request that was in flight at servers that crashed under another
/// one, each time before it began to be answered.
#[rstest]
fn a_request_that_waited_at_crashed_servers_is_served(
    #[values(Kind::Safe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let servers = Servers::start(kind).await;
        let harness = start_gateway(None);
        servers.register(&harness, kind);
        let poison = kind.path("poison");
        let innocent = kind.path("innocent");
        for attempt in 0..4 {
            let ids = (format!("p{attempt}"), format!("i{attempt}"));
            let (_, status) = tokio::join!(
                send(&harness, &ids.0, kind, &poison),
                send(&harness, &ids.1, kind, &innocent)
            );
            assert_eq!(status, Some(200));
        }
        assert_eq!(servers.run_count(&poison), MAX_CRASHES);
    });
}

/// Guards against the refusal of a request whose answers are lost by servers that go on running.
#[rstest]
fn a_request_whose_answers_are_lost_is_not_refused(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let servers = Servers::start(kind).await;
        let harness = start_gateway(None);
        servers.register(&harness, kind);
        let lost = kind.path("lost");
        for attempt in 0..4 {
            let before = servers.run_count(&lost);
            send(&harness, &format!("r{attempt}"), kind, &lost).await;
            assert!(servers.run_count(&lost) > before);
        }
    });
}

/// Guards against a gateway that learns nothing of refused requests because it started later.
#[test]
fn a_gateway_that_starts_later_refuses_what_its_peers_refuse() {
    common::run(async move {
        let kind = Kind::Stream;
        let servers = Servers::start(kind).await;
        let first = start_gateway(None);
        servers.register(&first, kind);
        let poison = kind.path("poison");
        send(&first, "r1", kind, &poison).await;
        assert_eq!(servers.run_count(&poison), MAX_CRASHES);
        let second = start_gateway(Some(&first));
        servers.register(&second, kind);
        sleep(INTRODUCTION_TIME).await;
        assert_eq!(send(&second, "r2", kind, &poison).await, Some(503));
        assert_eq!(servers.run_count(&poison), MAX_CRASHES);
    });
}

/// Guards against crashes that aren't counted as the port of a crashing server is open for a little
/// longer than its connections.
#[rstest]
fn a_crash_is_counted_if_the_port_closes_last(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(2, 20, 150)] port_closes_after_ms: u64,
) {
    common::run(async move {
        let port_closes_after = Duration::from_millis(port_closes_after_ms);
        let servers = Servers::start_with(kind, port_closes_after).await;
        let harness = start_gateway(None);
        servers.register(&harness, kind);
        let poison = kind.path("poison");
        for attempt in 0..8 {
            send(&harness, &format!("r{attempt}"), kind, &poison).await;
            sleep(PROPAGATION_TIME).await;
        }
        // What one attempt sends while its first crashes aren't noticed yet.
        assert!(servers.run_count(&poison) <= 2 * MAX_CRASHES);
        let status = send(&harness, "last", kind, &poison).await;
        assert_eq!(status, Some(503));
        assert!(servers.run_count(&poison) <= 2 * MAX_CRASHES);
    });
}

/// What the registry tells of a server whose port stays open when it crashes.
#[derive(Clone, Copy, Debug)]
enum Told {
    /// It has started again under its name.
    Restarted,
    /// Another server has its address.
    Replaced,
    /// It is gone.
    Removed,
}

/// Guards against crashes that aren't counted as something in front of a server keeps its port open.
#[rstest]
fn a_crash_behind_an_open_port_is_counted(
    #[values(Kind::Safe, Kind::Stream)] kind: Kind,
    #[values(Told::Restarted, Told::Replaced, Told::Removed)] told: Told,
) {
    common::run(async move {
        let port_closes_after = Duration::from_secs(60);
        let servers = Servers::start_with(kind, port_closes_after).await;
        let harness = start_gateway(None);
        let register = |index: usize, name: &str, started_ms| {
            let address = servers.backends[index].address;
            harness.register_started(name, kind.service(), "a", address, 8, Some(started_ms));
        };
        for index in 0..SERVER_COUNT {
            register(index, &format!("s{index}"), 1);
        }
        let poison = kind.path("poison");
        let mut told_of = Vec::new();
        for attempt in 0..MAX_CRASHES {
            send(&harness, &format!("r{attempt}"), kind, &poison).await;
            sleep(PROPAGATION_TIME).await;
            for (index, backend) in servers.backends.iter().enumerate() {
                if !backend.is_cut() || told_of.contains(&index) {
                    continue;
                }
                told_of.push(index);
                match told {
                    Told::Restarted => register(index, &format!("s{index}"), 2),
                    Told::Replaced => register(index, &format!("t{index}"), 2),
                    Told::Removed => {
                        let server = format!("s{index}");
                        harness.gateway.apply(Update::Deregistered(server));
                    }
                }
            }
            sleep(PROPAGATION_TIME).await;
        }
        let before = servers.run_count(&poison);
        let status = send(&harness, "last", kind, &poison).await;
        assert_eq!((status, servers.run_count(&poison)), (Some(503), before));
    });
}
