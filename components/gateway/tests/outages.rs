//! Tests of services whose servers all fail for a while, and are sound again.

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
use rstest::rstest;
use tokio::{
    task::spawn_local,
    time::{
        sleep,
        timeout, //
    },
};

/// Number of servers.
const SERVER_COUNT: usize = 6;

/// Time for which all servers fail, and then until requests count.
const OUTAGE_TIME: Duration = Duration::from_secs(6);
const SOUND_TIME: Duration = Duration::from_secs(1);

/// Interval of the requests, and the number of those that count.
const INTERVAL: Duration = Duration::from_millis(25);
const COUNTED: usize = 80;

/// Time for which callers wait.
const CALLER_TIME: Duration = Duration::from_secs(8);

/// Time after which a failing server closes the connection of a request, and time of a sound run.
const CLOSE_DELAY: Duration = Duration::from_millis(3);
const RUN_TIME: Duration = Duration::from_millis(60);

/// How a server fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// It closes the connection without an answer.
    Closed,
    /// It closes the connection within the head of its answer.
    HalfHead,
}

async fn start_server(kind: Kind, failure: Failure, fails: Rc<Cell<bool>>) -> Backend {
    Backend::start(move |message: Message, connection| {
        let fails = fails.clone();
        async move {
            if fails.get() {
                sleep(CLOSE_DELAY).await;
                if failure == Failure::HalfHead {
                    connection.write("HTTP/1.1 200 OK\r\nid: ").await;
                }
                return false;
            }
            let id = message.header("id").unwrap_or_default();
            if kind == Kind::Stream && !message.is_status_check() {
                connection.write(&stream_head(id)).await;
                write_events(&connection, 1, 6, RUN_TIME / 6).await;
            } else {
                connection.write(&response(id, 200, "fine")).await;
            }
            true
        }
    })
    .await
}

/// Guards against sound requests that wait or are refused after an outage of all servers that they
/// did not cause.
#[rstest]
fn requests_are_served_after_an_outage_of_all_servers(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
    #[values(Failure::Closed, Failure::HalfHead)] failure: Failure,
) {
    common::run(async move {
        let first = Harness::start(settings());
        let mut beside = settings();
        beside.seeds.push(first.peers);
        let gateways = Rc::new([first, Harness::start(beside)]);
        let fails = Rc::new(Cell::new(false));
        let mut backends = Vec::new();
        for number in 0..SERVER_COUNT {
            backends.push(start_server(kind, failure, fails.clone()).await);
            for gateway in gateways.iter() {
                let address = backends[number].address;
                gateway.register(&format!("s{number}"), kind.service(), "a", address);
            }
        }
        // Servers of another service, which stay sound.
        let other = match kind {
            Kind::Stream => Kind::Safe,
            Kind::Safe | Kind::Unsafe => Kind::Stream,
        };
        let beside = start_server(other, failure, Rc::default()).await;
        for gateway in gateways.iter() {
            gateway.put_document(1, document());
            gateway.register("other", other.service(), "a", beside.address);
        }
        // The gateways meet first.
        sleep(Duration::from_secs(1)).await;
        let statuses: Rc<RefCell<Vec<Option<u16>>>> = Rc::default();
        let send = |number: usize| {
            let gateways = gateways.clone();
            let headers = match kind {
                Kind::Stream => format!("tokens: 10\r\nparts: 11:200,{}:50\r\n", 1000 + number),
                Kind::Safe | Kind::Unsafe => String::new(),
            };
            let path = kind.path(&format!("sound{}", number % 7));
            async move {
                let gateway = &gateways[number % gateways.len()];
                let id = format!("r{number}");
                let sent = gateway.request(&id, &path, &headers);
                let response = timeout(CALLER_TIME, sent).await;
                let response = response.ok().and_then(|(_, response)| response.ok());
                response.map(|response| response.status())
            }
        };
        fails.set(true);
        let during = (OUTAGE_TIME.as_millis() / INTERVAL.as_millis()) as usize;
        for number in 0..during {
            let sent = send(number);
            spawn_local(sent);
            let gateways = gateways.clone();
            spawn_local(async move {
                let gateway = &gateways[number % gateways.len()];
                let (id, path) = (format!("o{number}"), other.path("beside"));
                gateway.request(&id, &path, other.headers()).await
            });
            sleep(INTERVAL).await;
        }
        fails.set(false);
        sleep(SOUND_TIME).await;
        for number in during..during + COUNTED {
            let (sent, statuses) = (send(number), statuses.clone());
            spawn_local(async move {
                let status = sent.await;
                statuses.borrow_mut().push(status);
            });
            sleep(INTERVAL).await;
        }
        let is_done = || statuses.borrow().len() == COUNTED;
        common::until(is_done).await;
        let statuses = statuses.borrow();
        let served = statuses.iter().filter(|status| **status == Some(200));
        assert_eq!(served.count(), COUNTED, "{statuses:?}");
    });
}
