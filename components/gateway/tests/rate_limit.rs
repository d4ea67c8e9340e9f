//! Tests of servers that limit the request rate that they accept from all gateways together.

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
    settings, //
};
use rstest::rstest;
use tokio::time::{
    Instant,
    MissedTickBehavior,
    interval,
    sleep,
    timeout, //
};

/// Limit that a server names, in requests per second.
const RATE: f64 = 5.0;

/// Time from the first answer with a limit to the moment from which it must be kept.
const ADAPTATION_TIME: Duration = Duration::from_secs(1);

/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(2);

/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(5);

/// Interval between two requests of all callers together.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Time within which gateways know each other and what each knows of a server.
const PROPAGATION_TIME: Duration = Duration::from_millis(1500);

/// Time within which a request that can't be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

/// A server, the limit that it names now, and its arrivals.
struct Server {
    backend: Backend,
    limit: Rc<Cell<Option<f64>>>,
    arrivals: Rc<RefCell<Vec<Instant>>>,
}

impl Server {
    async fn start(kind: Kind, limit: Option<f64>) -> Server {
        let limit = Rc::new(Cell::new(limit));
        let arrivals: Rc<RefCell<Vec<Instant>>> = Rc::default();
        let (named, log) = (limit.clone(), arrivals.clone());
        let backend = Backend::start(move |message: Message, connection| {
            log.borrow_mut().push(Instant::now());
            let limit = named.get();
            async move {
                let id = message.header("id").unwrap_or_default();
                let answer = match kind {
                    Kind::Stream => {
                        let events = "id: 1\ndata: 1\n\n";
                        response(id, 200, events)
                    }
                    Kind::Safe | Kind::Unsafe => response(id, 200, "fine"),
                };
                let header = match limit {
                    Some(rate) => format!("\r\nrate-limit: {rate}\r\n"),
                    None => "\r\n".to_string(),
                };
                connection.write(&answer.replacen("\r\n", &header, 1)).await;
                true
            }
        })
        .await;
        Server {
            backend,
            limit,
            arrivals,
        }
    }

    /// Returns the largest number of arrivals in a window after `since`.
    fn most_arrivals(&self, since: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        let late: Vec<&Instant> = arrivals.iter().filter(|at| **at >= since).collect();
        let in_window = |first: &&Instant| {
            let within = |at: &&&Instant| ***at >= **first && ***at < **first + WINDOW;
            late.iter().filter(within).count()
        };
        late.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Returns the number of requests that a server with the limit `RATE` may get in a window.
fn allowed() -> usize {
    (1.5 * RATE * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Starts gateways that know each other.
async fn start_gateways(count: usize) -> Vec<Harness> {
    let mut gateways: Vec<Harness> = Vec::new();
    for _ in 0..count {
        let mut settings = settings();
        settings
            .seeds
            .extend(gateways.first().map(|first| first.peers));
        let harness = Harness::start(settings);
        harness.put_document(1, document());
        gateways.push(harness);
    }
    sleep(PROPAGATION_TIME).await;
    gateways
}

fn register(gateways: &[Harness], servers: &[&Server], kind: Kind) {
    for harness in gateways {
        for (index, server) in servers.iter().enumerate() {
            let name = format!("s{index}");
            harness.register_slots(&name, kind.service(), "a", server.backend.address, 64);
        }
    }
}

/// Status and duration of a request.
type Outcome = (Option<u16>, Duration);

async fn send(callers: std::net::SocketAddr, id: String, kind: Kind) -> Outcome {
    let began = Instant::now();
    let exchange = async {
        let mut stream = tokio::net::TcpStream::connect(callers).await.ok()?;
        let request = common::format_request(&id, &kind.path("1"), kind.headers());
        tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes())
            .await
            .ok()?;
        let response = common::read_message(&mut stream).await.ok()?;
        Some(response.status())
    };
    let status = timeout(Duration::from_secs(10), exchange).await;
    (status.ok().flatten(), began.elapsed())
}

/// Sends requests through the gateways by turns for a time, and returns their outcomes.
async fn load(gateways: &[Harness], kind: Kind, time: Duration) -> Vec<Outcome> {
    let began = Instant::now();
    let mut ticks = interval(REQUEST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut requests = Vec::new();
    while began.elapsed() < time {
        ticks.tick().await;
        let number = requests.len();
        let callers = gateways[number % gateways.len()].callers;
        let request = send(callers, format!("r{number}"), kind);
        requests.push(tokio::task::spawn_local(request));
    }
    let mut outcomes = Vec::new();
    for request in requests {
        outcomes.push(request.await.expect("no panic"));
    }
    outcomes
}

/// Guards against a server in need that gets more requests than it names, while another one could
/// serve them: by one gateway, or by several that each keep the limit for themselves.
#[rstest]
fn a_server_that_names_a_limit_gets_no_more(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(1, 4)] gateway_count: usize,
) {
    common::run(async move {
        let limited = Server::start(kind, Some(RATE)).await;
        let free = Server::start(kind, None).await;
        let gateways = start_gateways(gateway_count).await;
        register(&gateways, &[&limited, &free], kind);
        let began = Instant::now();
        let outcomes = load(&gateways, kind, LOAD_TIME).await;
        let most = limited.most_arrivals(began + ADAPTATION_TIME);
        assert!(most <= allowed(), "{most} of {}", allowed());
        let served = outcomes.iter().filter(|(status, _)| *status == Some(200));
        assert_eq!(served.count(), outcomes.len());
    });
}

/// Guards against requests that wait until their deadline, or are answered with an unknown outcome,
/// when all servers name limits; and against limits that are not used up.
#[rstest]
fn excess_requests_are_refused_at_once_as_not_run(
    #[values(Kind::Safe, Kind::Unsafe)] kind: Kind,
    #[values(1, 4)] gateway_count: usize,
) {
    common::run(async move {
        let servers = [
            Server::start(kind, Some(RATE)).await,
            Server::start(kind, Some(RATE)).await,
        ];
        let gateways = start_gateways(gateway_count).await;
        register(&gateways, &[&servers[0], &servers[1]], kind);
        let began = Instant::now();
        let outcomes = load(&gateways, kind, LOAD_TIME).await;
        let mut served = 0;
        for (status, time) in &outcomes {
            match status {
                Some(200) => served += 1,
                Some(503) => assert!(*time < REFUSAL_TIME, "refused after {time:?}"),
                other => panic!("unexpected {other:?}"),
            }
        }
        for server in &servers {
            let most = server.most_arrivals(began + ADAPTATION_TIME);
            assert!(most <= allowed(), "{most} of {}", allowed());
        }
        let named = 2.0 * RATE * LOAD_TIME.as_secs_f64();
        assert!(f64::from(served) > 0.6 * named, "{served} of {named}");
    });
}

/// Guards against a limit that a gateway ignores because only others were told of it.
#[test]
fn a_limit_holds_at_gateways_that_were_not_told() {
    common::run(async {
        let kind = Kind::Unsafe;
        let limited = Server::start(kind, Some(RATE)).await;
        let free = Server::start(kind, None).await;
        let gateways = start_gateways(2).await;
        register(&gateways, &[&limited, &free], kind);
        load(&gateways[..1], kind, PROPAGATION_TIME).await;
        let began = Instant::now();
        load(&gateways[1..], kind, WINDOW).await;
        let most = limited.most_arrivals(began);
        assert!(most <= allowed(), "{most} of {}", allowed());
    });
}

/// Guards against a server that gets few requests for ever after it named a limit once.
#[test]
fn a_limit_ends_when_the_server_no_longer_names_it() {
    common::run(async {
        let kind = Kind::Unsafe;
        let server = Server::start(kind, Some(RATE)).await;
        let gateways = start_gateways(2).await;
        register(&gateways, &[&server], kind);
        load(&gateways, kind, WINDOW).await;
        server.limit.set(None);
        load(&gateways, kind, PROPAGATION_TIME).await;
        let outcomes = load(&gateways, kind, WINDOW).await;
        let served = outcomes.iter().filter(|(status, _)| *status == Some(200));
        assert_eq!(served.count(), outcomes.len());
    });
}
