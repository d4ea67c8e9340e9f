//! Tests of prompt parts that crash the backend servers that answer requests with them.

mod common;

use std::{
    cell::RefCell,
    net::SocketAddr,
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
        Instant,
        sleep, //
    },
};
use tokio_util::sync::CancellationToken;

const SERVER_COUNT: usize = 12;

/// Requests that a server runs at once.
const SLOTS: u32 = 8;

/// Crashes after which all gateways must refuse requests with the part.
const CRASH_BOUND: usize = 5;

/// Time within which all gateways hear of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Requests with the part that may still be sent after that.
const MAX_LATE_RUNS: usize = 3;

/// Duration of the traffic.
const TRAFFIC_TIME: Duration = Duration::from_secs(9);

/// Interval between two requests of each kind.
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);

/// Time from the start of a run to the crash of its server.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Time after which a crashed server runs again, under its name and address.
const RESTART_TIME: Duration = Duration::from_millis(700);

/// Time between two events of a stream, and their number: a run lasts longer than the time within
/// which it may crash its server.
const EVENTS: (u64, Duration) = (30, Duration::from_millis(50));

/// Part that all requests have.
const COMMON_PART: u64 = 11;

/// Part that crashes servers.
const HARMFUL_PART: u64 = 666;

/// Part that sound requests have in place of it.
const SOUND_PART: u64 = 77;

/// What happens at the servers.
#[derive(Default)]
struct World {
    /// Starts of runs that crash their server.
    crashes: RefCell<Vec<Instant>>,
    /// When each sound request was sent, and whether it was answered.
    sound: RefCell<Vec<(Instant, bool)>>,
}

/// Keeps a server running: restarts it after each crash, and registers it again.
async fn keep_running(
    kind: Kind,
    (server, mut backend): (String, Backend),
    gateways: Vec<Rc<Harness>>,
    world: Rc<World>,
) {
    for start in 1.. {
        for gateway in &gateways {
            let (service, address) = (kind.service(), backend.address);
            gateway.register_started(&server, service, "a", address, SLOTS, Some(start));
        }
        backend.stopped().await;
        sleep(RESTART_TIME).await;
        backend = start_server(kind, Some(backend.address), world.clone()).await;
    }
}

/// Starts a server that crashes on requests whose path contains `bad`.
async fn start_server(kind: Kind, address: Option<SocketAddr>, world: Rc<World>) -> Backend {
    let crash = CancellationToken::new();
    let crashing = crash.clone();
    let handler = move |message: Message, connection: common::Connection| {
        let (world, crash) = (world.clone(), crash.clone());
        async move {
            let id = message.header("id").unwrap_or_default();
            let is_harmful = message.start_line.contains("bad");
            if is_harmful {
                world.crashes.borrow_mut().push(Instant::now());
            }
            if kind == Kind::Stream {
                connection.write(&stream_head(id)).await;
            }
            if is_harmful {
                sleep(CRASH_DELAY).await;
                crash.cancel();
                std::future::pending::<()>().await;
            }
            if kind == Kind::Stream {
                let after = message.header("after").and_then(|after| after.parse().ok());
                write_events(&connection, after.unwrap_or(0) + 1, EVENTS.0, EVENTS.1).await;
            } else {
                connection.write(&response(id, 200, "fine")).await;
            }
            true
        }
    };
    let free = "127.0.0.1:0".parse().expect("an address");
    let backend = Backend::start_at(address.unwrap_or(free), handler).await;
    let stop = backend.stop_token();
    spawn_local(async move {
        crashing.cancelled().await;
        stop.cancel();
    });
    backend
}

/// Returns the path and headers of a request. Each has another path and last part.
fn request(kind: Kind, number: usize, is_harmful: bool, is_first: bool) -> (String, String) {
    let (name, part) = match is_harmful {
        true => ("bad", HARMFUL_PART),
        false => ("good", SOUND_PART),
    };
    let own = 1000 + 2 * number as u64 + u64::from(is_harmful);
    let parts = match is_first {
        true => format!("{part}:50,{COMMON_PART}:100,{own}:20"),
        false => format!("{COMMON_PART}:100,{part}:50,{own}:20"),
    };
    let path = kind.path(&format!("{name}-{number}"));
    (path, format!("tokens: 10\r\nparts: {parts}\r\n"))
}

/// Sends requests of both sorts to all gateways in turn.
async fn run_traffic(kind: Kind, gateways: &[Rc<Harness>], is_first: bool, world: &Rc<World>) {
    let began = Instant::now();
    for number in 0.. {
        if began.elapsed() > TRAFFIC_TIME {
            return;
        }
        for is_harmful in [true, false] {
            let gateway = gateways[number % gateways.len()].clone();
            let world = world.clone();
            let (path, headers) = request(kind, number, is_harmful, is_first);
            spawn_local(async move {
                let sent = Instant::now();
                let id = format!("{number}-{is_harmful}");
                let (_, answer) = gateway.request(&id, &path, &headers).await;
                let served = answer.is_ok_and(|answer| answer.status() == 200);
                if !is_harmful {
                    world.sound.borrow_mut().push((sent, served));
                }
            });
        }
        sleep(REQUEST_INTERVAL).await;
    }
}

/// Guards against a prompt part that crashes one server after another, as no two of the requests
/// that bring it are alike; and against the refusal of requests that share their caller and their
/// other parts with these.
#[rstest]
#[case::streams(Kind::Stream, 1, false)]
#[case::streams_at_three_gateways(Kind::Stream, 3, false)]
#[case::streams_with_the_part_first(Kind::Stream, 1, true)]
#[case::plain_answers_at_two_gateways(Kind::Safe, 2, false)]
fn a_prompt_part_that_crashes_servers_is_refused_in_all_requests(
    #[case] kind: Kind,
    #[case] gateway_count: usize,
    #[case] is_first: bool,
) {
    common::run(async move {
        let world: Rc<World> = Rc::default();
        let mut gateways: Vec<Rc<Harness>> = Vec::new();
        for _ in 0..gateway_count {
            let mut settings = settings();
            settings
                .seeds
                .extend(gateways.first().map(|first| first.peers));
            let harness = Harness::start(settings);
            harness.put_document(1, document());
            gateways.push(Rc::new(harness));
        }
        for index in 0..SERVER_COUNT {
            let backend = start_server(kind, None, world.clone()).await;
            let server = (format!("s{index}"), backend);
            spawn_local(keep_running(kind, server, gateways.clone(), world.clone()));
        }
        sleep(Duration::from_millis(500)).await;
        run_traffic(kind, &gateways, is_first, &world).await;
        let crashes = world.crashes.borrow();
        assert!(crashes.len() >= CRASH_BOUND, "{} crashes", crashes.len());
        let known = crashes[CRASH_BOUND - 1] + CONTACT_TIME;
        let late = crashes.iter().filter(|at| **at > known).count();
        assert!(
            late <= MAX_LATE_RUNS,
            "{late} runs too many, {} in all",
            crashes.len()
        );
        let sound = world.sound.borrow();
        let settled = sound.iter().filter(|(sent, _)| *sent > known);
        let refused = settled.filter(|(_, served)| !served).count();
        assert_eq!(refused, 0, "sound requests were refused");
    });
}
