//! Streams that wait until an engine has room.

mod common;

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    Line,
    Message as Request,
    document,
    event,
    events,
    stream_head, //
};
use futures_util::future::join_all;
use rstest::rstest;
use spread::beacon::{
    self,
    Beacon,
    Message, //
};
use tokio::{
    net::UdpSocket,
    time::{
        Instant,
        sleep, //
    },
};

const PACE: Duration = Duration::from_millis(10);

const PROMPT: &str = "tokens: 100\r\n";

/// An engine whose answers have a number of events, and the most that it ran at once.
async fn engine(count: u64) -> (Backend, Rc<Cell<u32>>) {
    let (running, most) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let seen = most.clone();
    let backend = Backend::start(move |message, line| {
        let (running, most) = (running.clone(), most.clone());
        async move {
            running.set(running.get() + 1);
            most.set(most.get().max(running.get()));
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            events(&line, 1, count, PACE).await;
            running.set(running.get() - 1);
            true
        }
    })
    .await;
    (backend, seen)
}

/// Several times more callers come than the engine runs at once. Sent on together, they make one
/// another late; they wait at the entry, and all are served.
#[test]
fn a_burst_waits_at_the_entry() {
    common::run(async {
        let (backend, most) = engine(20).await;
        let harness = Harness::with(document());
        harness.register_slots("s1", "draft", "a", backend.address, 2);
        let ids: Vec<String> = (0..6).map(|number| format!("r{number}")).collect();
        let asked = ids.iter().map(|id| harness.ask(id, "/stream/x", PROMPT));
        for (_, answer) in join_all(asked).await {
            assert_eq!(answer.expect("a whole answer").status(), 200);
        }
        assert_eq!(most.get(), 2);
        assert_eq!(backend.count(), 6);
    });
}

/// Its caller has little time, and the engine is busy for longer. It hears so at once, with a time to
/// come back, and the request hasn't run.
#[test]
fn a_request_that_cannot_be_begun_in_its_time_is_refused_early() {
    common::run(async {
        let (backend, _) = engine(200).await;
        let harness = Harness::with(document());
        harness.register_slots("s1", "draft", "a", backend.address, 1);
        let _busy = harness.connect("r1", "/stream/x", PROMPT).await;
        sleep(PACE * 3).await;
        let came = Instant::now();
        let hurried = "tokens: 100\r\ndeadline: 1000\r\n";
        let (_, answer) = harness.ask("r2", "/stream/x", hurried).await;
        let answer = answer.expect("an answer");
        assert!(
            came.elapsed() < Duration::from_millis(300),
            "{:?}",
            came.elapsed()
        );
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").is_some());
        assert!(
            answer.text().contains("too_many_requests"),
            "{}",
            answer.text()
        );
        assert_eq!(backend.count(), 1);
    });
}

/// Guards against a large fleet in which some request nearly always waits somewhere: callers who had asked
/// before were held, and refused, while most engines were idle.
#[rstest]
#[case::more_room_than_wait_elsewhere(3, 200)]
#[case::all_room_is_for_those_elsewhere(8, 503)]
fn a_late_request_takes_room_that_nobody_elsewhere_waits_for(
    #[case] waiting: u32,
    #[case] status: u16,
) {
    common::run(async move {
        let (backend, _) = engine(40).await;
        let harness = Harness::with(document());
        harness.register_slots("s1", "draft", "a", backend.address, 8);
        // An entry at which nothing runs lets one request in whatever waits elsewhere.
        let _runs = harness.connect("r0", "/stream/x", PROMPT).await;
        let peer = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let beacon = Beacon {
            incarnation: 7,
            sequence: 1,
            interval_ms: 10_000,
            queued: vec![(beacon::id("draft"), waiting)],
            ..Beacon::default()
        };
        let bytes = postcard::to_stdvec(&Message::Beacon(Box::new(beacon))).expect("encoded");
        peer.send_to(&bytes, harness.peers).await.expect("sent");
        let mut told = [0; 2048];
        peer.recv(&mut told).await.expect("it is heard");
        let late = "tokens: 100\r\ndeadline: 2000\r\n";
        let came = Instant::now();
        let (_, answer) = harness.ask("r1", "/stream/x", late).await;
        assert_eq!(answer.expect("an answer").status(), status);
        assert!(came.elapsed() < Duration::from_millis(900));
    });
}

/// The process is told to stop while a stream waits that would outlast it. Its caller must hear so
/// while another entry can still serve it.
#[test]
fn a_stream_that_waits_is_refused_when_the_process_stops() {
    common::run(async {
        let (backend, _) = engine(400).await;
        let harness = Harness::with(document());
        harness.register_slots("s1", "draft", "a", backend.address, 1);
        let _busy = harness.connect("r1", "/stream/x", PROMPT).await;
        sleep(PACE * 3).await;
        let stopping = async {
            sleep(PACE * 10).await;
            harness.stop.cancel();
            Instant::now()
        };
        let (stopped, (_, answer)) = tokio::join!(stopping, harness.ask("r2", "/stream/x", PROMPT));
        assert!(
            stopped.elapsed() < Duration::from_millis(300),
            "{:?}",
            stopped.elapsed()
        );
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), 503);
        assert!(answer.text().contains("leaving"), "{}", answer.text());
        assert_eq!(backend.count(), 1);
    });
}

/// Callers go away while they wait. Their places must be others', and nothing of theirs may run.
#[test]
fn a_caller_that_leaves_gives_its_place_up() {
    common::run(async {
        let (backend, _) = engine(20).await;
        let harness = Harness::with(document());
        harness.register_slots("s1", "draft", "a", backend.address, 1);
        let _busy = harness.connect("r1", "/stream/x", PROMPT).await;
        sleep(PACE * 3).await;
        let gone = harness.connect("r2", "/stream/x", PROMPT).await;
        sleep(PACE * 3).await;
        drop(gone);
        let (_, answer) = harness.ask("r3", "/stream/x", PROMPT).await;
        assert_eq!(answer.expect("a whole answer").status(), 200);
        let ran: Vec<String> = backend
            .seen
            .borrow()
            .iter()
            .filter_map(|message| message.header("id").map(str::to_string))
            .collect();
        assert_eq!(ran, ["r1", "r3"]);
    });
}

/// Answers that a test ends: each has a rank, and goes on until `allowed` has reached it.
#[derive(Default)]
struct Ends {
    allowed: Cell<u32>,
    ended: Cell<u32>,
}

impl Ends {
    /// Ends the answers up to a rank, and waits until as many have ended.
    async fn allow(&self, rank: u32, count: u32) {
        self.allowed.set(rank);
        while self.ended.get() < count {
            sleep(PACE).await;
        }
    }
}

/// An engine whose first answers have these ranks, and all others go on.
async fn engine_with_ends(ranks: &[u32], ends: &Rc<Ends>) -> Backend {
    let ranks = Rc::new(RefCell::new(VecDeque::from(ranks.to_vec())));
    let ends = ends.clone();
    Backend::start(move |message: Request, line: Line| {
        let rank = ranks.borrow_mut().pop_front();
        let ends = ends.clone();
        async move {
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            let mut id = 0;
            while rank.is_none_or(|rank| rank > ends.allowed.get()) {
                id += 1;
                line.write(&event(id)).await;
                sleep(PACE).await;
            }
            line.write("0\r\n\r\n").await;
            ends.ended.set(ends.ended.get() + 1);
            true
        }
    })
    .await
}

/// Streams wait for a moment, as engines read prompts or all slots are taken. If that alone kept
/// copies away, the next loss of a data centre would find most streams without one, and their callers
/// would wait for seconds while prompts are read anew. Copies yield only where memory is scarce too.
#[rstest]
#[case::free(100, true)]
#[case::scarce(3500, false)]
fn copies_yield_to_those_who_wait_where_memory_is_scarce(
    #[case] tokens: u32,
    #[case] copied: bool,
) {
    common::run(async move {
        // The first answer of the first server ends first, then its second and the first of the other.
        let ends = Rc::new(Ends::default());
        let servers = [
            engine_with_ends(&[1, 2], &ends).await,
            engine_with_ends(&[2], &ends).await,
        ];
        let harness = Harness::with(document());
        harness.register_slots("s1", "draft", "a", servers[0].address, 5);
        harness.register_slots("s2", "draft", "b", servers[1].address, 5);
        let running = || servers[0].count() + servers[1].count();
        let prompt = format!("tokens: {tokens}\r\n");
        let mut callers = Vec::new();
        for number in 0..11 {
            let id = format!("r{number}");
            callers.push(harness.connect(&id, "/stream/x", &prompt).await);
            sleep(PACE).await;
        }
        while running() < 10 {
            sleep(PACE).await;
        }
        // The last one waits for long enough that the service counts as pressed.
        sleep(Duration::from_millis(300)).await;
        // One ends, and the one that waited takes its place, as there is no other. Then one more ends at
        // each server.
        ends.allow(1, 1).await;
        while running() < 11 {
            sleep(PACE).await;
        }
        ends.allow(2, 3).await;
        sleep(PACE * 5).await;
        callers.push(harness.connect("r11", "/stream/x", &prompt).await);
        let last = loop {
            sleep(PACE).await;
            let all = servers
                .iter()
                .flat_map(|server| server.seen.borrow().clone());
            let mut last = all.filter(|message| message.header("id") == Some("r11"));
            if let Some(last) = last.next() {
                break last;
            }
        };
        assert_eq!(last.header("backup").is_some(), copied);
    });
}
