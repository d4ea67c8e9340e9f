//! Reports of peers on crashes and silent servers.

mod common;

use std::{
    net::{
        SocketAddr,
        UdpSocket, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use common::{
    Backend,
    HOST,
    Harness,
    Kind,
    Message as Request,
    document,
    event_chunk,
    response,
    stream_head,
    write_events, //
};
use contract::poison::{
    self,
    evidence::{
        Observation,
        Report,
        Stage,
        Subject, //
    }, //
};
use rstest::rstest;
use spread::beacon::{
    self,
    Beacon,
    Message, //
};
use tokio::time::{
    sleep,
    timeout, //
};

/// Time for which the process is paused: longer than processes take to notice the same crash.
const PAUSE: Duration = Duration::from_millis(3500);

/// Interval at which a peer repeats its reports, and how often it does so.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
const REPEATS: u32 = 6;

/// Number of crashes under the request that the peer reports, less than convict it.
const CRASHES: u32 = 2;

/// Path of the request.
const NAME: &str = "look";

/// Returns what the request to a kind of route has that may crash servers.
fn subject(kind: Kind) -> Subject {
    let target = format!("POST {HOST}{}", kind.path(NAME));
    let request = poison::fingerprint("t", &target, b"");
    Subject::new(beacon::id(kind.service()), request, [])
}

/// A peer that has seen crashes under a request, with threads of its own.
struct Peer {
    socket: UdpSocket,
    gateway: SocketAddr,
    crashed_at: Instant,
}

impl Peer {
    fn start(gateway: SocketAddr) -> Peer {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let beacon = Beacon {
            incarnation: 7,
            sequence: 1,
            interval_ms: 10_000,
            ..Beacon::default()
        };
        let peer = Peer {
            socket,
            gateway,
            crashed_at: Instant::now(),
        };
        peer.send(&Message::Beacon(Box::new(beacon)));
        peer
    }

    fn send(&self, message: &Message) {
        let bytes = postcard::to_stdvec(message).expect("encoded");
        self.socket.send_to(&bytes, self.gateway).expect("sent");
    }

    /// Reports that a server fell silent under a request.
    fn report_silence(&self, kind: Kind, server: &str) {
        let observation = Observation::Silent {
            server: beacon::id(server),
            incarnation: 0,
            stage: Stage::Started,
            run_ms: 5,
        };
        let report = Report {
            subject: subject(kind),
            observation,
            age_ms: 20,
        };
        self.send(&Message::Crashes(vec![report]));
    }

    /// Sends the reports with their age.
    fn report(&self) {
        let age = self.crashed_at.elapsed().as_millis() as u32;
        let reports = (0..CRASHES).map(|server| Report {
            subject: subject(Kind::Safe),
            observation: Observation::Crashed {
                server,
                incarnation: 0,
                stage: Stage::Started,
                run_ms: 5,
            },
            age_ms: age + 20 * (CRASHES - server),
        });
        self.send(&Message::Crashes(reports.collect()));
    }
}

/// Guards against a sound request that is refused as it was at few crashes: reports that waited while this
/// process was paused seem to tell of later ones.
#[rstest]
#[case::not_paused(Duration::ZERO)]
#[case::paused(PAUSE)]
fn repeated_reports_tell_of_the_same_crashes(#[case] pause: Duration) {
    common::run(async move {
        let harness = Harness::with_document(document());
        let backend = Backend::start(|message: Request, connection| async move {
            let id = message.header("id").unwrap_or_default();
            connection.write(&response(id, 200, "fine")).await;
            true
        });
        let backend = backend.await;
        harness.register("s1", Kind::Safe.service(), "a", backend.address);
        let peer = Peer::start(harness.peers);
        sleep(REPEAT_INTERVAL).await;
        peer.report();
        sleep(REPEAT_INTERVAL / 5).await;
        let repeats = thread::spawn(move || {
            for _ in 0..REPEATS {
                thread::sleep(REPEAT_INTERVAL);
                peer.report();
            }
        });
        // All tasks run on this thread.
        thread::sleep(pause);
        sleep(REPEAT_INTERVAL * (REPEATS + 1) - pause.min(REPEAT_INTERVAL * REPEATS)).await;
        repeats.join().expect("sent");
        let (_, response) = harness.request("r1", &Kind::Safe.path(NAME), "").await;
        assert_eq!(response.expect("a response").status(), 200);
    });
}

/// Pause of a stream, longer than a run stays without a reason.
const STREAM_PAUSE: Duration = Duration::from_millis(1500);

/// Interval of the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// Guards against a stream that is left although its server goes on, while the only other one is known to
/// be silent and doesn't get it.
#[test]
fn a_quiet_run_is_not_left_for_a_server_known_to_be_silent() {
    common::run(async {
        let kind = Kind::Stream;
        let mut document = document();
        for service in &mut document.services {
            let direct = service.direct.as_mut();
            if let Some(engine) = direct.and_then(|direct| direct.engine.as_mut()) {
                engine.backups = false;
            }
        }
        let harness = Harness::with_document(document);
        let peer = Peer::start(harness.peers);
        sleep(REPEAT_INTERVAL).await;
        peer.report_silence(kind, "s1");
        let silent = Backend::start(|_, _| std::future::pending::<bool>()).await;
        let pausing = Backend::start(|message: Request, connection| async move {
            if message.is_status_check() {
                let report = "r1 1";
                let head = format!("content-length: {}", report.len());
                let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{report}");
                connection.write(&text).await;
                return true;
            }
            let id = message.header("id").unwrap_or_default();
            connection.write(&stream_head(id)).await;
            connection.write(&event_chunk(1)).await;
            sleep(STREAM_PAUSE).await;
            write_events(&connection, 2, 5, EVENT_INTERVAL).await;
            true
        });
        let pausing = pausing.await;
        harness.register("s2", kind.service(), "a", pausing.address);
        let mut caller = harness.send("r1", &kind.path(NAME), kind.headers()).await;
        common::until(|| pausing.request_count() == 1).await;
        harness.register("s1", kind.service(), "a", silent.address);
        let response = timeout(STREAM_PAUSE * 3, common::read_message(&mut caller)).await;
        let response = response.expect("in time").expect("a complete response");
        assert!(response.text().contains("id: 5"));
        assert_eq!(pausing.request_count(), 1);
        assert_eq!(silent.request_count(), 0);
    });
}
