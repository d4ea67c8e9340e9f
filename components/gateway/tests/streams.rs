//! Tests of streamed responses.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    Connection,
    Harness,
    Message,
    document,
    event_chunk,
    response,
    stream_head,
    write_events, //
};
use gateway::Update;
use rstest::rstest;
use tokio::{
    net::TcpStream,
    time::{
        Instant,
        timeout, //
    }, //
};

/// Time between two events of an engine.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the stop of a gateway with a grace time of a second after which another stream doesn't
/// fit, and before which the process hasn't exited.
const LATE_ARRIVAL: Duration = Duration::from_millis(300);

/// Guards against a stream cut off by the idle timeout of its connection. The timeout must not run
/// from the moment the response head is written, as the stream may last longer.
#[test]
fn a_stream_that_outlasts_the_idle_time_is_not_cut() {
    common::run(async {
        let backend = Backend::start(|message, connection| async move {
            connection
                .write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            write_events(&connection, 1, 40, EVENT_INTERVAL).await;
            true
        })
        .await;
        let mut document = document();
        let callers = document.callers.as_mut().expect("bounds");
        callers.idle_time = Duration::from_millis(200);
        let harness = Harness::with_document(document);
        harness.register("s1", "draft", "a", backend.address);
        let (_, response) = harness.request("r1", "/stream/x", "tokens: 10\r\n").await;
        let response = response.expect("a complete response");
        assert_eq!(response.status(), 200);
        assert!(
            response.text().ends_with("piece 40\n\n"),
            "{}",
            response.text()
        );
    });
}

/// An engine crashes in the middle of an event. The caller must receive each event once, complete
/// and in order; the partial event is sent again by the engine that resumes the stream.
#[test]
fn a_stream_resumes_after_the_last_complete_event() {
    common::run(async {
        let crashing = Backend::start(|message, connection| async move {
            connection
                .write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            for id in 1..=3 {
                connection.write(&event_chunk(id)).await;
            }
            let partial = event_chunk(4);
            connection.write(&partial[..partial.len() / 2]).await;
            tokio::time::sleep(EVENT_INTERVAL).await;
            connection.reset();
            false
        })
        .await;
        let other = Backend::start(|message, connection| async move {
            connection
                .write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            let after: u64 = message.header("after").unwrap_or("0").parse().unwrap_or(0);
            write_events(&connection, after + 1, 6, EVENT_INTERVAL).await;
            true
        })
        .await;
        let harness = Harness::with_document(document());
        harness.register("s1", "draft", "a", crashing.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        common::until_received(&caller, "piece 3").await;
        harness.register("s2", "draft", "b", other.address);
        let response = common::read_message(&mut caller)
            .await
            .expect("a complete response");
        let mut expected = String::new();
        for id in 1..=6 {
            expected += &format!("id: {id}\ndata: piece {id}\n\n");
        }
        assert_eq!(response.text(), expected);
        assert_eq!(other.sends()[0].header("after"), Some("3"));
    });
}

/// How a stream without a length or chunks ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    /// The connection is closed after the last event.
    Complete,
    /// The connection is closed inside an event.
    InsideEvent,
    /// The connection is reset between two events.
    Reset,
}

/// Guards against a stream without a length or chunks that is taken for complete although it was
/// broken off, or for broken off although it is complete.
#[rstest]
fn a_stream_without_a_length_ends_with_its_connection(
    #[values(Ending::Complete, Ending::InsideEvent, Ending::Reset)] ending: Ending,
) {
    common::run(async move {
        let first = Backend::start(move |message, connection| async move {
            let id = message.header("id").unwrap_or_default();
            let head = format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\n\r\n");
            connection.write(&head).await;
            connection.write(&event_text(1, 3)).await;
            if ending == Ending::InsideEvent {
                connection.write("id: 4\ndata: pie").await;
            }
            tokio::time::sleep(EVENT_INTERVAL).await;
            if ending == Ending::Reset {
                connection.reset();
            }
            false
        })
        .await;
        let other = Backend::start(|message, connection| async move {
            let id = message.header("id").unwrap_or_default();
            connection.write(&stream_head(id)).await;
            write_events(&connection, after(&message) + 1, 6, EVENT_INTERVAL).await;
            true
        })
        .await;
        let harness = Harness::with_document(document());
        harness.register("s1", "draft", "a", first.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        common::until_received(&caller, "piece 3").await;
        harness.register("s2", "draft", "b", other.address);
        let response = common::read_message(&mut caller).await;
        let last = if ending == Ending::Complete { 3 } else { 6 };
        let response = response.expect("a complete response");
        assert_eq!(response.text(), event_text(1, last));
    });
}

/// The gateway stops while the load balancer still sends connections. A stream that was accepted
/// now would be cut off at the end of the grace time. Refused immediately as not run, it can
/// complete at another gateway.
#[test]
fn a_stream_that_would_outlast_the_grace_time_is_refused_immediately() {
    common::run(async {
        let backend = Backend::start(|message, connection| async move {
            connection
                .write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            write_events(&connection, 1, 30, EVENT_INTERVAL).await;
            true
        })
        .await;
        let mut settings = common::settings();
        settings.bounds.grace = Duration::from_secs(1);
        let harness = Harness::start(settings);
        harness.put_document(1, document());
        harness.register("s1", "draft", "a", backend.address);
        let (_, response) = harness.request("r1", "/stream/x", "tokens: 10\r\n").await;
        assert_eq!(response.expect("a complete response").status(), 200);
        let ((_, late), running) = tokio::join!(
            async {
                tokio::time::sleep(EVENT_INTERVAL).await;
                harness.stop.cancel();
                tokio::time::sleep(LATE_ARRIVAL).await;
                harness.request("r3", "/stream/x", "tokens: 10\r\n").await
            },
            harness.request("r2", "/stream/x", "tokens: 10\r\n")
        );
        assert_eq!(running.1.expect("finished within the grace").status(), 200);
        let late = late.expect("a response");
        assert_eq!(late.status(), 503);
        assert!(late.header("retry-after").is_some());
        assert_eq!(late.header("connection"), Some("close"));
        assert_eq!(backend.request_count(), 2);
    });
}

/// Guards against accepting and cutting off the first stream of a route while the gateway stops.
/// The gateway doesn't know yet how long the streams of that route take.
#[test]
fn a_stream_of_unknown_length_is_refused_while_the_gateway_stops() {
    common::run(async {
        let backend = Backend::start(|message, connection| async move {
            connection
                .write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            write_events(&connection, 1, 1000, EVENT_INTERVAL).await;
            true
        })
        .await;
        let harness = Harness::with_document(document());
        harness.register("s1", "draft", "a", backend.address);
        harness.stop.cancel();
        tokio::time::sleep(EVENT_INTERVAL).await;
        let (_, response) = harness.request("r1", "/stream/x", "tokens: 10\r\n").await;
        assert_eq!(response.expect("a response").status(), 503);
        assert_eq!(backend.request_count(), 0);
    });
}

/// An engine resets a single connection after it has processed the prompt, and keeps running. The
/// stream must resume there; any other engine would process the prompt again, which takes seconds.
#[test]
fn after_a_reset_a_stream_resumes_at_the_engine_with_its_prompt() {
    common::run(async {
        let runs = Rc::new(Cell::new(0));
        let counted = runs.clone();
        let resetting = Backend::start(move |message, connection| {
            let counted = counted.clone();
            async move {
                if message.is_status_check() {
                    connection.write(&response("", 200, "")).await;
                    return true;
                }
                counted.set(counted.get() + 1);
                let after = after(&message);
                connection
                    .write(&stream_head(message.header("id").unwrap_or_default()))
                    .await;
                if counted.get() == 1 {
                    for id in 1..=3 {
                        connection.write(&event_chunk(id)).await;
                    }
                    tokio::time::sleep(EVENT_INTERVAL).await;
                    connection.reset();
                    return false;
                }
                write_events(&connection, after + 1, 6, EVENT_INTERVAL).await;
                true
            }
        })
        .await;
        let other = Backend::start(|_, connection| async move {
            connection.reset();
            false
        })
        .await;
        let harness = Harness::with_document(document());
        harness.register("s1", "draft", "a", resetting.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        common::until_received(&caller, "piece 3").await;
        harness.register("s2", "draft", "b", other.address);
        let response = common::read_message(&mut caller)
            .await
            .expect("a complete response");
        assert_eq!(response.text(), event_text(1, 6));
        assert_eq!(runs.get(), 2);
        assert_eq!(other.request_count(), 0);
    });
}

/// Guards against processing the prompt again after a crash although another engine has a copy of
/// the run's KV cache. The other engine is in another data centre, and the stream resumes there
/// from the named copy. The gateway gives the address of that engine to the one that runs the
/// request.
#[test]
fn after_a_crash_a_stream_resumes_from_the_copy() {
    common::run(async {
        let handler = |message: Message, connection: Connection| async move {
            connection
                .write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            let after = after(&message);
            for id in after + 1..=after + 3 {
                connection.write(&event_chunk(id)).await;
                tokio::time::sleep(EVENT_INTERVAL).await;
            }
            if after == 0 {
                std::future::pending::<()>().await;
            }
            connection.write("0\r\n\r\n").await;
            true
        };
        let (one, two) = (Backend::start(handler).await, Backend::start(handler).await);
        let harness = Harness::with_document(document());
        harness.register("s1", "draft", "a", one.address);
        harness.register("s2", "draft", "b", two.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        common::until_received(&caller, "piece 1").await;
        let (first, second) = if one.request_count() == 1 {
            (one, two)
        } else {
            (two, one)
        };
        let backup = first.sends()[0].header("backup").map(str::to_string);
        assert_eq!(backup, Some(second.address.to_string()));
        first.kill();
        let response = common::read_message(&mut caller)
            .await
            .expect("a complete response");
        let count = response.text().matches("piece").count() as u64;
        assert_eq!(response.text(), event_text(1, count));
        let resumed = second.sends()[0].clone();
        assert_eq!(
            resumed.header("copy"),
            Some(format!("{}/r1", second.address).as_str())
        );
    });
}

/// The engine that holds the copy resets the connection of the resumed stream but keeps the copy.
/// Guards against resuming at an engine without the copy, which stalls the stream for seconds while
/// the prompt is processed again.
#[test]
fn a_lost_resume_is_retried_at_the_holder_of_the_copy() {
    common::run(async {
        let resumes = Rc::new(Cell::new(0));
        let counted = resumes.clone();
        let handler = move |message: Message, connection: Connection| {
            let counted = counted.clone();
            async move {
                let after = after(&message);
                if after > 0 {
                    counted.set(counted.get() + 1);
                }
                if counted.get() == 1 {
                    connection.reset();
                    return false;
                }
                connection
                    .write(&stream_head(message.header("id").unwrap_or_default()))
                    .await;
                if after == 0 {
                    connection.write(&event_chunk(1)).await;
                    std::future::pending::<()>().await;
                }
                write_events(&connection, after + 1, after + 3, EVENT_INTERVAL).await;
                true
            }
        };
        let one = Backend::start(handler.clone()).await;
        let two = Backend::start(handler).await;
        let harness = Harness::with_document(document());
        harness.register("s1", "draft", "a", one.address);
        harness.register("s2", "draft", "b", two.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        common::until_received(&caller, "piece 1").await;
        let (first, second) = match one.request_count() {
            1 => (one, two),
            _ => (two, one),
        };
        first.kill();
        let third = Backend::start(|_, connection| async move {
            connection.reset();
            false
        })
        .await;
        harness.register("s3", "draft", "c", third.address);
        let response = common::read_message(&mut caller)
            .await
            .expect("a complete response");
        let count = response.text().matches("piece").count() as u64;
        assert_eq!(response.text(), event_text(1, count));
        assert_eq!(third.request_count(), 0);
        let copy = format!("{}/r1", second.address);
        for resumed in &second.sends()[..2] {
            assert_eq!(resumed.header("copy"), Some(copy.as_str()));
        }
    });
}

/// A stream whose engine makes another copy, as the first holder is gone.
struct Recopied {
    harness: Harness,
    caller: TcpStream,
    /// The engine that runs the request.
    runner: Backend,
    /// The engine that gets the new copy.
    holder: Backend,
}

/// Starts a stream of `events` events at one of three engines in different data centres, and
/// deregisters the one that holds the copy.
async fn replace_holder(events: u64) -> Recopied {
    let handler = move |message: Message, connection: Connection| async move {
        let line = message.start_line.as_str();
        if line.starts_with("POST /copy") || line.starts_with("DELETE /copy") {
            connection
                .write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh7")
                .await;
            return true;
        }
        connection
            .write(&stream_head(message.header("id").unwrap_or_default()))
            .await;
        let after = after(&message);
        let last = if after == 0 { events } else { after + 3 };
        write_events(&connection, after + 1, last, EVENT_INTERVAL).await;
        true
    };
    let harness = Harness::with_document(document());
    let mut servers = Vec::new();
    for name in ["s1", "s2", "s3"] {
        let server = Backend::start(handler).await;
        harness.register(name, "draft", name, server.address);
        servers.push((name, server));
    }
    let caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
    common::until_received(&caller, "piece 1").await;
    let runs = |(_, server): &(&str, Backend)| server.request_count() == 1;
    let runner = servers.iter().position(runs);
    let (_, runner) = servers.remove(runner.expect("one server runs the request"));
    let first = runner.sends()[0].clone();
    let holds = |(_, server): &(&str, Backend)| {
        first.header("backup") == Some(server.address.to_string().as_str())
    };
    let lost = servers.iter().position(holds);
    let (lost, _) = servers.remove(lost.expect("another server holds the copy"));
    harness.gateway.apply(Update::Deregistered(lost.into()));
    let (_, holder) = servers.remove(0);
    Recopied {
        harness,
        caller,
        runner,
        holder,
    }
}

/// Data centres fail one after another: the engine that holds the copy is lost before the one that
/// runs the request. Without a new copy, the whole prompt is processed again after the second loss.
#[test]
fn a_lost_copy_is_replaced() {
    common::run(async {
        let mut stream = replace_holder(100).await;
        common::until(|| stream.runner.request_count() > 1).await;
        common::until_received(&stream.caller, "piece 20").await;
        let copy_request = stream.runner.sends()[1].clone();
        let expected = stream.holder.address.to_string();
        assert_eq!(copy_request.header("holder"), Some(expected.as_str()));
        stream.runner.kill();
        let response = common::read_message(&mut stream.caller)
            .await
            .expect("a complete response");
        assert!(response.text().starts_with(&event_text(1, 3)));
        let resumed = stream.holder.sends()[0].clone();
        let copy = format!("{}/h7", stream.runner.address);
        assert_eq!(resumed.header("copy"), Some(copy.as_str()));
        drop(stream.harness);
    });
}

/// A copy that is made by calls outlives its run at the holder. Guards against memory that stays
/// occupied for seconds by copies of answers that are complete.
#[test]
fn a_copy_is_released_at_the_end_of_its_run() {
    common::run(async {
        let mut stream = replace_holder(40).await;
        let response = common::read_message(&mut stream.caller)
            .await
            .expect("a complete response");
        assert!(response.text().ends_with("piece 40\n\n"));
        tokio::time::sleep(EVENT_INTERVAL * 3).await;
        let requests = stream.runner.requests.borrow();
        let lines = requests.iter().map(|request| request.start_line.as_str());
        let mut lines: Vec<&str> = lines.skip(1).collect();
        lines.dedup();
        assert_eq!(lines, ["POST /copy HTTP/1.1", "DELETE /copy/h7 HTTP/1.1"]);
        drop(stream.harness);
    });
}

/// Guards against prompts that are processed again and again in a burst: each engine is slower than
/// expected, and a run that moves to another one waits behind the prompts there.
#[rstest]
#[case::other_engine_is_idle(false, 2)]
#[case::other_engine_has_prompts_to_process(true, 1)]
fn a_slow_run_moves_only_to_a_faster_engine(#[case] is_busy: bool, #[case] sends: u32) {
    common::run(async move {
        let slow_sends = Rc::new(Cell::new(0));
        let counter = slow_sends.clone();
        let handler = move |message: Message, connection: Connection| {
            let counter = counter.clone();
            async move {
                if message.start_line.starts_with("GET /runs") {
                    connection
                        .write("HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\nslow 0\nlong 0")
                        .await;
                    return true;
                }
                let id = message.header("id").unwrap_or_default().to_string();
                if id == "slow" {
                    counter.set(counter.get() + 1);
                }
                if id == "long" || id == "slow" && counter.get() == 1 {
                    std::future::pending::<()>().await;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
                connection.write(&stream_head(&id)).await;
                write_events(&connection, 1, 2, EVENT_INTERVAL).await;
                true
            }
        };
        let one = Backend::start(handler.clone()).await;
        let two = Backend::start(handler).await;
        let mut document = document();
        let route = document
            .routes
            .iter_mut()
            .find(|route| route.name == "stream");
        let pass = route.and_then(|route| route.pass.as_mut());
        pass.expect("the route").objective = Duration::from_secs(2);
        let harness = Harness::with_document(document);
        harness.register("s1", "draft", "a", one.address);
        // The gateway learns that a prompt token takes 0.1 ms.
        let (_, response) = harness.request("r1", "/stream/x", "tokens: 1000\r\n").await;
        assert_eq!(response.expect("a complete response").status(), 200);
        harness.gateway.apply(Update::Deregistered("s1".into()));
        harness.register("s2", "draft", "a", two.address);
        let long = match is_busy {
            true => Some(harness.send("long", "/stream/x", "tokens: 10000\r\n").await),
            false => None,
        };
        tokio::time::sleep(EVENT_INTERVAL).await;
        harness.register("s1", "draft", "a", one.address);
        let _slow = harness.send("slow", "/stream/x", "tokens: 1000\r\n").await;
        tokio::time::sleep(Duration::from_millis(2100)).await;
        assert_eq!(slow_sends.get(), sends);
        drop(long);
    });
}

/// A server finishes a request, but its response is lost and the connection stays open. Only a
/// query of the server's runs reveals this; without it the caller waits until its timeout.
#[test]
fn a_lost_response_is_detected_by_querying_the_server() {
    common::run(async {
        let silent = Backend::start(|message, connection| async move {
            if message.start_line.starts_with("GET /runs") {
                connection
                    .write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                    .await;
                return true;
            }
            if after(&message) == 0 && message.header("again").is_none() {
                tokio::time::sleep(EVENT_INTERVAL * 200).await;
            }
            false
        })
        .await;
        let other = Backend::start(|message, connection| async move {
            connection
                .write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            write_events(&connection, 1, 3, EVENT_INTERVAL).await;
            true
        })
        .await;
        let harness = Harness::with_document(document());
        harness.register("s1", "draft", "a", silent.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        common::until(|| silent.request_count() == 1).await;
        harness.register("s2", "draft", "b", other.address);
        let started = Instant::now();
        let response = timeout(Duration::from_secs(19), common::read_message(&mut caller)).await;
        let response = response.expect("in time").expect("a complete response");
        assert_eq!(response.text(), event_text(1, 3));
        assert!(
            started.elapsed() < Duration::from_secs(3),
            "{:?}",
            started.elapsed()
        );
    });
}

/// A server restarts under a new name at the same address, which loses its runs although the
/// address still responds. Without detecting that, the caller waits until its timeout.
#[test]
fn a_run_at_a_replaced_server_is_lost_immediately() {
    common::run(async {
        let restarted = Backend::start(|message, connection| async move {
            if message.header("server") == Some("s1") {
                std::future::pending::<()>().await;
            }
            connection
                .write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            write_events(&connection, 1, 3, EVENT_INTERVAL).await;
            true
        })
        .await;
        let harness = Harness::with_document(document());
        harness.register("s1", "draft", "a", restarted.address);
        let mut caller = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        common::until(|| restarted.request_count() == 1).await;
        harness.register("s9", "draft", "a", restarted.address);
        let response = timeout(Duration::from_secs(1), common::read_message(&mut caller)).await;
        let response = response.expect("in time").expect("a complete response");
        assert_eq!(response.text(), event_text(1, 3));
    });
}

/// A caller's connection breaks in the middle of its stream, and the caller immediately requests
/// the rest. The server that processed the prompt still has it cached; any other processes it
/// again.
#[test]
fn a_resumed_request_goes_to_the_server_that_processed_its_prompt() {
    common::run(async {
        let handler = |message: Message, connection: Connection| async move {
            connection
                .write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            let after = after(&message);
            write_events(&connection, after + 1, after + 30, EVENT_INTERVAL).await;
            true
        };
        let mut servers = Vec::new();
        for _ in 0..8 {
            servers.push(Backend::start(handler).await);
        }
        let harness = Harness::with_document(document());
        for (number, server) in servers.iter().enumerate() {
            harness.register(&format!("s{number}"), "draft", "a", server.address);
        }
        for round in 0..5 {
            let parts = format!("tokens: 5000\r\nparts: 7:200,{round}9:4800\r\n");
            let caller = harness
                .send(&format!("a{round}"), "/stream/x", &parts)
                .await;
            common::until_received(&caller, "piece 2").await;
            let first = receiver(&servers, &format!("a{round}"));
            drop(caller);
            tokio::time::sleep(EVENT_INTERVAL).await;
            let headers = format!("{parts}after: 2\r\n");
            let caller = harness
                .send(&format!("b{round}"), "/stream/x", &headers)
                .await;
            common::until_received(&caller, "piece 3").await;
            assert_eq!(receiver(&servers, &format!("b{round}")), first);
            drop(caller);
        }
    });
}

/// Returns the index of the server that received a request.
fn receiver(servers: &[Backend], id: &str) -> Option<usize> {
    let received = |server: &Backend| {
        let requests = server.requests.borrow();
        requests
            .iter()
            .any(|message| message.header("id") == Some(id))
    };
    servers.iter().position(received)
}

/// Returns the event after which a request resumes; 0 for a new request.
fn after(message: &Message) -> u64 {
    let after = message.header("after").and_then(|after| after.parse().ok());
    after.unwrap_or(0)
}

/// Formats events as a caller receives them.
fn event_text(first: u64, last: u64) -> String {
    let mut text = String::new();
    for id in first..=last {
        text += &format!("id: {id}\ndata: piece {id}\n\n");
    }
    text
}

/// All gateways fail at once, and their callers retry together, each seconds before its deadline.
/// When no server has capacity, processing a prompt whose response can't complete in time only
/// delays the other requests, and the caller waits in vain.
#[test]
fn a_request_that_cannot_complete_in_time_is_refused_when_servers_are_full() {
    common::run(async {
        let backend = Backend::start(|message, connection| async move {
            connection
                .write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            let after = after(&message);
            let last = if after == 30 { 1000 } else { 20 };
            write_events(&connection, after + 1, last, EVENT_INTERVAL / 2).await;
            true
        })
        .await;
        let harness = Harness::with_document(document());
        harness.register("s1", "draft", "a", backend.address);
        for number in 0..8 {
            let id = format!("r{number}");
            let (_, response) = harness.request(&id, "/stream/x", "tokens: 30000\r\n").await;
            assert_eq!(response.expect("a complete response").status(), 200);
        }
        let late = "tokens: 30000\r\nafter: 2\r\ndeadline: 60\r\n";
        let (_, response) = harness.request("room", "/stream/x", late).await;
        assert!(response.is_err(), "tried and cut off at its deadline");
        assert_eq!(backend.request_count(), 9);
        let _running = harness
            .send("long", "/stream/x", "tokens: 30000\r\nafter: 30\r\n")
            .await;
        common::until(|| backend.request_count() == 10).await;
        let started = Instant::now();
        let (_, response) = harness.request("late", "/stream/x", late).await;
        let response = response.expect("a response");
        assert!(
            started.elapsed() < EVENT_INTERVAL,
            "{:?}",
            started.elapsed()
        );
        assert_eq!(response.status(), 503);
        assert!(
            response.text().contains("too_little_time"),
            "{}",
            response.text()
        );
        assert_eq!(backend.request_count(), 10);
        let enough = "tokens: 30000\r\nafter: 18\r\ndeadline: 1000\r\n";
        let (_, response) = harness.request("enough", "/stream/x", enough).await;
        assert_eq!(response.expect("a complete response").status(), 200);
    });
}

/// All gateways restart without state, and callers request the rest of their responses. One engine
/// still has the prompt cached; any other would process it again, which takes a second that the
/// caller may not have. The engines are queried once for all these callers.
#[test]
fn a_resumed_request_goes_to_the_engine_that_has_its_prompt_cached() {
    common::run(async {
        let engine = |cached: &'static str| {
            Backend::start(move |message, connection| async move {
                if message.start_line.starts_with("GET /held") {
                    let length = cached.len();
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                    connection.write(&(head + cached)).await;
                    return true;
                }
                connection
                    .write(&stream_head(message.header("id").unwrap_or_default()))
                    .await;
                let after = after(&message);
                write_events(&connection, after + 1, 6, EVENT_INTERVAL / 4).await;
                true
            })
        };
        let (near, far) = (engine("1:20").await, engine("1:20,77:9000,78:8000").await);
        let harness = Harness::with_document(document());
        harness.register("s1", "draft", "a", near.address);
        harness.register("s2", "draft", "b", far.address);
        let runs = |backend: &Backend| {
            let requests = backend.requests.borrow();
            let runs = requests
                .iter()
                .filter(|message| message.header("id").is_some());
            runs.count()
        };
        let headers = "tokens: 9020\r\nafter: 3\r\nparts: 1:20,77:9000\r\n";
        let (_, response) = harness.request("r1", "/stream/x", headers).await;
        assert_eq!(
            response.expect("a complete response").text(),
            event_text(4, 6)
        );
        assert_eq!((runs(&near), runs(&far)), (0, 1));
        let other = "tokens: 8020\r\nafter: 3\r\nparts: 1:20,78:8000\r\n";
        let (_, response) = harness.request("r2", "/stream/x", other).await;
        assert_eq!(
            response.expect("a complete response").text(),
            event_text(4, 6)
        );
        assert_eq!((runs(&near), runs(&far)), (0, 2));
        assert_eq!((near.request_count(), far.request_count()), (1, 3));
    });
}

/// A caller lost its gateway before the first event, so its request doesn't look like a retry. Its
/// short remaining time, shortly after the start of the gateway, triggers the same lookup of the
/// prompt.
#[test]
fn a_request_with_little_time_goes_to_the_engine_that_has_its_prompt_cached() {
    common::run(async {
        let engine = |cached: &'static str| {
            Backend::start(move |message, connection| async move {
                if message.start_line.starts_with("GET /held") {
                    let length = cached.len();
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                    connection.write(&(head + cached)).await;
                    return true;
                }
                connection
                    .write(&stream_head(message.header("id").unwrap_or_default()))
                    .await;
                write_events(&connection, 1, 6, EVENT_INTERVAL / 4).await;
                true
            })
        };
        let (near, far) = (engine("1:20").await, engine("1:20,77:9000").await);
        let harness = Harness::with_document(document());
        harness.register("s1", "draft", "a", near.address);
        harness.register("s2", "draft", "b", far.address);
        let headers = "tokens: 9020\r\ndeadline: 4000\r\nparts: 1:20,77:9000\r\n";
        let (_, response) = harness.request("r1", "/stream/x", headers).await;
        assert_eq!(
            response.expect("a complete response").text(),
            event_text(1, 6)
        );
        assert_eq!((near.request_count(), far.request_count()), (1, 2));
    });
}

/// An engine with two streams becomes unreachable. The silence of the one that has started is
/// detected within its usual event interval. The other still waits for its first event, where
/// silence is normal for seconds. Guards against waiting that long although the gateway knows that
/// the engine is unreachable.
#[test]
fn a_waiting_stream_leaves_a_server_that_another_stream_found_unreachable() {
    common::run(async {
        let handler = |message: Message, connection: Connection| async move {
            let id = message.header("id").unwrap_or_default();
            if message.header("server") == Some("s2") {
                connection.write(&stream_head(id)).await;
                write_events(&connection, after(&message) + 1, 3, EVENT_INTERVAL).await;
                return true;
            }
            if id == "r1" {
                connection.write(&stream_head(id)).await;
                connection.write(&event_chunk(1)).await;
            }
            std::future::pending::<bool>().await
        };
        let (one, two) = (Backend::start(handler).await, Backend::start(handler).await);
        let mut document = document();
        // By itself, the second stream would be checked after a quarter of this time.
        document.routes[2].pass.as_mut().expect("passed").objective = Duration::from_secs(20);
        let harness = Harness::with_document(document);
        harness.register("s1", "draft", "a", one.address);
        let mut started_stream = harness.send("r1", "/stream/x", "tokens: 10\r\n").await;
        let mut waiting_stream = harness.send("r2", "/stream/x", "tokens: 10\r\n").await;
        while one.request_count() < 2 {
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        harness.register("s2", "draft", "b", two.address);
        one.stop_accepting();
        let started = Instant::now();
        for caller in [&mut started_stream, &mut waiting_stream] {
            let response = common::read_message(caller)
                .await
                .expect("a complete response");
            assert_eq!(response.text(), event_text(1, 3));
        }
        assert!(
            started.elapsed() < Duration::from_millis(2500),
            "{:?}",
            started.elapsed()
        );
    });
}
