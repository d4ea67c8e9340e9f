//! Reports of peers that arrive while this process is paused.

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
    response, //
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
use tokio::time::sleep;

/// Time for which the process is paused: longer than processes take to notice the same crash.
const PAUSE: Duration = Duration::from_millis(3500);

/// Interval at which a peer repeats its reports, and how often it does so.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
const REPEATS: u32 = 6;

/// Number of crashes under the request that the peer reports, less than convict it.
const CRASHES: u32 = 2;

/// Path of the request.
const NAME: &str = "look";

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

    /// Sends the reports with their age.
    fn report(&self) {
        let target = format!("POST {HOST}{}", Kind::Safe.path(NAME));
        let request = poison::fingerprint("t", &target, b"");
        let age = self.crashed_at.elapsed().as_millis() as u32;
        let reports = (0..CRASHES).map(|server| Report {
            subject: Subject::new(beacon::id(Kind::Safe.service()), request, []),
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
