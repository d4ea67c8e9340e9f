//! Tests of a gateway that stops while the load balancer still sends it callers.

mod common;

use std::time::Duration;

use common::{
    Backend,
    HOST,
    Harness,
    Kind,
    Message,
    document,
    read_message,
    settings,
    stream_head,
    write_events, //
};
use gateway::{
    settings::Settings,
    shutdown::{
        Availability,
        Request,
        Shutdown, //
    },
};
use names::Route;
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{
        Instant,
        sleep, //
    }, //
};

/// Time within which the load balancer removes a stopping gateway.
const BALANCER_REMOVAL_DELAY: Duration = Duration::from_millis(2600);

/// Starts an engine whose streams take about a second, those named `slower` over two, and those
/// named `running` over three.
async fn engine() -> Backend {
    Backend::start(|message, connection| async move {
        let id = message.header("id").unwrap_or_default();
        connection.write(&stream_head(id)).await;
        let interval = match id {
            "running" => Duration::from_millis(70),
            "slower" => Duration::from_millis(45),
            _ => Duration::from_millis(20),
        };
        write_events(&connection, 1, 50, interval).await;
        true
    })
    .await
}

fn start_with_grace(grace: Duration) -> (Settings, Harness) {
    let mut settings = settings();
    settings.bounds.grace = grace;
    let harness = Harness::start(settings.clone());
    harness.put_document(1, document());
    (settings, harness)
}

fn retry_after(response: &Message) -> Duration {
    let seconds = response.header("retry-after").expect("retry-after header");
    Duration::from_secs_f64(seconds.parse().expect("seconds"))
}

/// Guards against a stream lost to two refusals: the caller retries at the same gateway, the only
/// one of the data centre, because the load balancer hasn't removed it yet.
#[rstest]
#[case::last_gateway(false)]
#[case::with_another_gateway(true)]
fn retry_after_lasts_until_another_gateway_is_reachable(#[case] with_other: bool) {
    common::run(async move {
        let (mut settings, harness) = start_with_grace(Duration::from_secs(5));
        let backend = engine().await;
        harness.register("s1", "draft", "a", backend.address);
        settings.seeds = vec![harness.peers];
        let _other = with_other.then(|| Harness::start(settings));
        sleep(Duration::from_millis(1200)).await;
        harness.stop.cancel();
        let stopped = Instant::now();
        sleep(Duration::from_millis(20)).await;
        let (_, response) = harness.request("r1", "/stream/x", "tokens: 10\r\n").await;
        let response = response.expect("a response");
        assert_eq!(response.status(), 503);
        let delay = retry_after(&response);
        match with_other {
            true => assert_eq!(delay, Duration::from_millis(100)),
            false => {
                let limit = BALANCER_REMOVAL_DELAY + Duration::from_millis(10);
                let total = stopped.elapsed() + delay;
                assert!(
                    total >= BALANCER_REMOVAL_DELAY && delay <= limit,
                    "{delay:?}"
                );
            }
        }
    });
}

/// Guards against refusing streams that usually end within the remaining grace time, at the only
/// gateway of a data centre.
#[test]
fn the_last_gateway_of_a_data_centre_accepts_streams_that_fit() {
    common::run(async {
        let (_, harness) = start_with_grace(Duration::from_millis(2000));
        let backend = engine().await;
        harness.register("s1", "draft", "a", backend.address);
        let (_, first) = harness.request("r1", "/stream/x", "tokens: 10\r\n").await;
        assert_eq!(first.expect("a complete response").status(), 200);
        harness.stop.cancel();
        sleep(Duration::from_millis(20)).await;
        let (_, response) = harness.request("r2", "/stream/x", "tokens: 10\r\n").await;
        let response = response.expect("a complete response");
        assert_eq!(response.status(), 200);
        assert!(
            response.text().ends_with("piece 50\n\n"),
            "{}",
            response.text()
        );
    });
}

/// Guards against streams that are cut off at the exit: they are admitted because streams of their
/// route usually end in time, although their callers can reach another gateway.
#[rstest]
#[case::expected_to_end_in_time("", 503)]
#[case::ends_by_its_deadline("deadline: 4000\r\n", 200)]
fn a_late_stream_is_admitted_only_if_it_ends_by_its_limit(
    #[case] headers: &str,
    #[case] status: u16,
) {
    common::run(async move {
        let (_, harness) = start_with_grace(Duration::from_millis(8000));
        let backend = engine().await;
        harness.register("s1", "draft", "a", backend.address);
        let (_, first) = harness.request("r1", "/stream/x", "tokens: 10\r\n").await;
        assert_eq!(first.expect("a complete response").status(), 200);
        let mut running = harness.send("running", "/stream/x", "tokens: 10\r\n").await;
        sleep(Duration::from_millis(20)).await;
        harness.stop.cancel();
        sleep(BALANCER_REMOVAL_DELAY + Duration::from_millis(100)).await;
        let headers = format!("tokens: 10\r\n{headers}");
        let (_, response) = harness.request("slower", "/stream/x", &headers).await;
        let response = response.expect("a complete response");
        assert_eq!(response.status(), status);
        let running = read_message(&mut running).await;
        assert_eq!(running.expect("a complete response").status(), 200);
        match status {
            503 => assert!(retry_after(&response) > Duration::ZERO),
            _ => assert!(response.text().ends_with("piece 50\n\n")),
        }
    });
}

/// Guards against requests that are sent to a server just before the exit, as their bodies arrive
/// long after they were admitted.
#[rstest]
fn a_request_is_admitted_again_when_its_body_is_complete(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let (_, harness) = start_with_grace(Duration::from_secs(5));
        let backend = Backend::start(|_, _| std::future::pending()).await;
        harness.register("s1", kind.service(), "a", backend.address);
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("connected");
        let (path, headers) = (kind.path("x"), kind.headers());
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nid: r1\r\nkey: k\r\n\
             deadline: 6000\r\n{headers}content-length: 10\r\n\r\nbegin"
        );
        caller.write_all(head.as_bytes()).await.expect("written");
        sleep(Duration::from_millis(20)).await;
        harness.stop.cancel();
        sleep(BALANCER_REMOVAL_DELAY + Duration::from_millis(800)).await;
        caller.write_all(b"ended").await.expect("written");
        let response = read_message(&mut caller).await.expect("a response");
        assert_eq!(response.status(), 503, "{}", response.text());
        assert_eq!(backend.request_count(), 0);
    });
}

/// Returns the state 50 requests after one that took 4.5 s; the others took 1 s.
fn after_a_long_request(route: &Route) -> Shutdown {
    let shutdown = Shutdown::default();
    shutdown.record_duration(route, Duration::from_millis(4500));
    for _ in 0..50 {
        shutdown.record_duration(route, Duration::from_millis(1000));
    }
    shutdown
}

/// Guards against late requests that take longer than usual and are cut off at the exit, and against
/// refusing one whose own limit ends before.
#[rstest]
#[case::longest_does_not_fit(Duration::from_secs(20), 5000, false)]
#[case::longest_fits(Duration::from_secs(20), 2650, false)]
#[case::usual_one_in_the_last_second(Duration::from_millis(1500), 7000, false)]
#[case::limit_ends_before_the_exit(Duration::from_secs(2), 5000, true)]
#[case::limit_ends_just_before_the_exit(Duration::from_millis(4700), 2650, true)]
#[case::expected_to_end_while_callers_come(Duration::from_secs(20), 2500, true)]
fn a_late_request_must_end_by_its_limit(
    #[case] limit: Duration,
    #[case] after_ms: u64,
    #[case] admitted: bool,
    #[values(true, false)] stream: bool,
) {
    let route = "chat".to_string();
    let shutdown = after_a_long_request(&route);
    shutdown.set_availability(Availability {
        accepting: 1,
        ..Availability::default()
    });
    let began = Instant::now();
    shutdown.begin(began);
    let now = began + Duration::from_millis(after_ms);
    let request = Request {
        route: &route,
        objective: Duration::from_secs(1),
        limit,
        stream,
    };
    let grace = Duration::from_secs(8);
    assert_eq!(shutdown.admits(now, &request, grace), admitted);
}

/// Guards against refusing plain requests in the last seconds when no other gateway accepts any, and
/// against streams that are cut off then.
#[rstest]
#[case::plain_that_is_expected_to_end(false, 5000, true)]
#[case::plain_that_is_not(false, 6900, false)]
#[case::stream(true, 5000, false)]
fn the_last_gateway_admits_plain_requests_on_an_estimate(
    #[case] stream: bool,
    #[case] after_ms: u64,
    #[case] admitted: bool,
) {
    let route = "chat".to_string();
    let shutdown = after_a_long_request(&route);
    let began = Instant::now();
    shutdown.begin(began);
    let request = Request {
        route: &route,
        objective: Duration::from_secs(1),
        limit: Duration::from_secs(20),
        stream,
    };
    let now = began + Duration::from_millis(after_ms);
    let grace = Duration::from_secs(8);
    assert_eq!(shutdown.admits(now, &request, grace), admitted);
}

/// Guards against connections that are closed without a response: they were accepted after the
/// stopping gateway had closed its idle ones, and their callers can't tell whether the request ran.
#[test]
fn requests_on_late_connections_are_answered() {
    common::run(async {
        let (_, harness) = start_with_grace(Duration::from_millis(4500));
        let backend = engine().await;
        harness.register("s1", "draft", "a", backend.address);
        let mut running = harness.send("running", "/stream/x", "tokens: 10\r\n").await;
        sleep(Duration::from_millis(20)).await;
        harness.stop.cancel();
        sleep(BALANCER_REMOVAL_DELAY + Duration::from_millis(100)).await;
        for number in 0..16 {
            let id = format!("late-{number}");
            let (_, response) = harness.request(&id, "/stream/x", "tokens: 10\r\n").await;
            assert_eq!(response.expect("a response").status(), 503);
        }
        let running = read_message(&mut running).await;
        assert_eq!(running.expect("a complete response").status(), 200);
    });
}

/// Grace time that ends soon after the load balancer has removed the gateway.
const SHORT_GRACE: Duration = Duration::from_millis(3300);

/// Guards against requests in progress that are cut off when the process exits.
#[rstest]
fn a_request_without_a_response_at_the_exit_gets_a_final_one(
    #[values(Kind::Safe, Kind::Unsafe, Kind::Stream)] kind: Kind,
) {
    common::run(async move {
        let (_, harness) = start_with_grace(SHORT_GRACE);
        let backend = Backend::start(|_, _| std::future::pending()).await;
        harness.register("s1", kind.service(), "a", backend.address);
        let mut request = harness.send("r1", &kind.path("x"), kind.headers()).await;
        common::until(|| backend.request_count() > 0).await;
        harness.stop.cancel();
        let response = read_message(&mut request).await.expect("a response");
        assert_eq!(response.status(), 504, "{}", response.text());
        assert!(response.text().contains("unknown"), "{}", response.text());
        assert!(!harness.stopped.is_cancelled());
    });
}

/// Guards against a process that is killed as it waits for the load balancer beyond its grace time.
#[test]
fn a_short_grace_time_ends_with_final_responses() {
    common::run(async {
        let (_, harness) = start_with_grace(Duration::from_millis(1500));
        let backend = Backend::start(|_, _| std::future::pending()).await;
        harness.register("s1", "ledger", "a", backend.address);
        let mut request = harness.send("r1", "/unsafe/x", "").await;
        common::until(|| backend.request_count() > 0).await;
        harness.stop.cancel();
        let stopped_at = Instant::now();
        let response = read_message(&mut request).await.expect("a response");
        assert_eq!(response.status(), 504, "{}", response.text());
        harness.stopped.cancelled().await;
        assert!(stopped_at.elapsed() < Duration::from_millis(1500));
    });
}

/// Guards against requests whose bodies still arrive and that are cut off when the process exits.
#[test]
fn a_request_that_is_incomplete_at_the_exit_is_refused_as_not_run() {
    common::run(async {
        let (_, harness) = start_with_grace(SHORT_GRACE);
        let backend = Backend::start(|_, _| std::future::pending()).await;
        harness.register("s1", "ledger", "a", backend.address);
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("connected");
        let head = format!(
            "POST /unsafe/x HTTP/1.1\r\nhost: {HOST}\r\nid: r1\r\nkey: k\r\n\
             content-length: 100\r\n\r\nbegin"
        );
        caller.write_all(head.as_bytes()).await.expect("written");
        sleep(Duration::from_millis(20)).await;
        harness.stop.cancel();
        let response = read_message(&mut caller).await.expect("a response");
        assert_eq!(response.status(), 503, "{}", response.text());
        assert!(retry_after(&response) > Duration::ZERO);
        assert!(!harness.stopped.is_cancelled());
        harness.stopped.cancelled().await;
        assert_eq!(backend.request_count(), 0);
    });
}

/// Guards against callers that use up their attempts while all gateways are leaving.
#[rstest]
#[case::this_one_returns_first(Some(20_000), 8100)]
#[case::another_one_returns_first(Some(3000), 3000)]
#[case::no_other_is_known(None, 2600)]
fn retry_after_lasts_until_the_first_gateway_returns(
    #[case] next_return_ms: Option<u64>,
    #[case] expected_ms: u64,
) {
    let shutdown = Shutdown::default();
    let began = Instant::now();
    shutdown.begin(began);
    shutdown.set_availability(Availability {
        next_return: next_return_ms.map(|ms| began + Duration::from_millis(ms)),
        ..Availability::default()
    });
    let expected = Duration::from_millis(expected_ms);
    let delay = shutdown.retry_after(Duration::from_secs(8)) + began.elapsed();
    let latest = expected + Duration::from_millis(550);
    assert!(delay >= expected && delay <= latest, "{delay:?}");
}

/// Guards against refusals that are lost: the connection is reset because the rest of the request's
/// body arrives after the refusal.
#[rstest]
#[case::shutting_down(true, 503)]
#[case::no_route(false, 404)]
fn a_caller_whose_body_still_arrives_receives_its_refusal(#[case] stop: bool, #[case] status: u16) {
    common::run(async move {
        let (_, harness) = start_with_grace(Duration::from_secs(5));
        let backend = Backend::start(|_, _| std::future::pending()).await;
        harness.register("s1", "ledger", "a", backend.address);
        // Keeps the process until the end of the grace time.
        let _running = harness.send("running", "/unsafe/x", "").await;
        if stop {
            common::until(|| backend.request_count() > 0).await;
            harness.stop.cancel();
            sleep(BALANCER_REMOVAL_DELAY + Duration::from_millis(50)).await;
        }
        let path = if stop { "/unsafe/x" } else { "/nowhere/x" };
        let mut caller = TcpStream::connect(harness.callers)
            .await
            .expect("connected");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nid: r1\r\nkey: k\r\n\
             content-length: 60000\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.expect("written");
        for _ in 0..3 {
            sleep(Duration::from_millis(30)).await;
            let written = caller.write_all(&[b'x'; 20_000]).await;
            written.expect("the gateway takes the body");
        }
        let response = read_message(&mut caller).await.expect("a response");
        assert_eq!(response.status(), status, "{}", response.text());
    });
}

/// Guards against a stream that is cut at a drain, as the rest of the body of an earlier request on
/// its connection, which had its response before, arrived together with the stream's request.
#[test]
fn a_stream_after_a_request_that_was_answered_early_is_whole() {
    common::run(async {
        let (_, harness) = start_with_grace(Duration::from_secs(8));
        let mut document = document();
        let callers = document.callers.as_mut().expect("limits of callers");
        callers.idle_time = Duration::from_millis(500);
        harness.put_document(2, document);
        let backend = engine().await;
        harness.register("s1", "draft", "a", backend.address);
        let mut caller = harness
            .send("early", "/unknown/x", "content-length: 10\r\n")
            .await;
        caller.write_all(b"12345").await.expect("half a body");
        let response = read_message(&mut caller).await.expect("a response");
        assert_eq!(response.status(), 404);
        let stream = common::format_request("running", "/stream/x", "tokens: 10\r\n");
        let rest = format!("67890{stream}");
        caller.write_all(rest.as_bytes()).await.expect("a request");
        common::until_received(&caller, "id: 1\n").await;
        harness.stop.cancel();
        let response = read_message(&mut caller).await.expect("a whole stream");
        assert!(response.text().contains("id: 50\n"));
    });
}
