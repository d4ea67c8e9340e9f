//! Streams through the gateway.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    Line,
    Message,
    document,
    event,
    events,
    stream_head, //
};
use gateway::Update;
use tokio::time::{
    Instant,
    timeout, //
};

const PACE: Duration = Duration::from_millis(20);

/// A stream lasts longer than the time for which a connection may rest between two requests. If
/// the answer counts as over when its head is written, the connection is closed in the middle of
/// it: the caller sees its letter break off though nothing failed.
#[test]
fn a_stream_that_outlasts_the_idle_time_is_not_cut() {
    common::run(async {
        let backend = Backend::start(|message, line| async move {
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            events(&line, 1, 40, PACE).await;
            true
        })
        .await;
        let mut document = document();
        let callers = document.callers.as_mut().expect("bounds");
        callers.idle_time = Duration::from_millis(200);
        let harness = Harness::with(document);
        harness.register("s1", "draft", "a", backend.address);
        let (_, answer) = harness.ask("r1", "/stream/x", "tokens: 10\r\n").await;
        let answer = answer.expect("a whole answer");
        assert_eq!(answer.status(), 200);
        assert!(answer.text().ends_with("piece 40\n\n"), "{}", answer.text());
    });
}

/// An engine dies in the middle of an event. The caller must get each event once, whole and in
/// order; the torn one comes from the engine that holds a copy.
#[test]
fn a_stream_goes_on_behind_the_last_whole_event() {
    common::run(async {
        let dying = Backend::start(|message, line| async move {
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            for id in 1..=3 {
                line.write(&event(id)).await;
            }
            let torn = event(4);
            line.write(&torn[..torn.len() / 2]).await;
            tokio::time::sleep(PACE).await;
            line.reset();
            false
        })
        .await;
        let other = Backend::start(|message, line| async move {
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            let after: u64 = message.header("after").unwrap_or("0").parse().unwrap_or(0);
            events(&line, after + 1, 6, PACE).await;
            true
        })
        .await;
        let harness = Harness::with(document());
        harness.register("s1", "draft", "a", dying.address);
        let mut caller = harness.connect("r1", "/stream/x", "tokens: 10\r\n").await;
        tokio::time::sleep(PACE / 2).await;
        harness.register("s2", "draft", "b", other.address);
        let answer = common::read(&mut caller).await.expect("a whole answer");
        let mut expected = String::new();
        for id in 1..=6 {
            expected += &format!("id: {id}\ndata: piece {id}\n\n");
        }
        assert_eq!(answer.text(), expected);
        assert_eq!(other.seen.borrow()[0].header("after"), Some("3"));
    });
}

/// The process is told to stop while the balancer still sends connections. A stream that is taken
/// then outlasts the grace time, and its caller sees it cut at the end of it. Refused at once as
/// not run, it comes whole from another entry.
#[test]
fn a_stream_that_would_outlast_the_grace_time_is_refused_at_once() {
    common::run(async {
        let backend = Backend::start(|message, line| async move {
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            events(&line, 1, 30, PACE).await;
            true
        })
        .await;
        let mut settings = common::settings();
        settings.bounds.grace = Duration::from_secs(1);
        let harness = Harness::start(settings);
        harness.put(1, document());
        harness.register("s1", "draft", "a", backend.address);
        let (_, answer) = harness.ask("r1", "/stream/x", "tokens: 10\r\n").await;
        assert_eq!(answer.expect("a whole answer").status(), 200);
        let ((), running) = tokio::join!(
            async {
                tokio::time::sleep(PACE).await;
                harness.stop.cancel();
            },
            harness.ask("r2", "/stream/x", "tokens: 10\r\n")
        );
        assert_eq!(running.1.expect("finished within the grace").status(), 200);
        let (_, late) = harness.ask("r3", "/stream/x", "tokens: 10\r\n").await;
        let late = late.expect("an answer");
        assert_eq!(late.status(), 503);
        assert!(late.header("retry-after").is_some());
        assert_eq!(late.header("connection"), Some("close"));
        assert_eq!(backend.count(), 2);
    });
}

/// The same, for a route that had no request at this process yet: nothing is known of how long its
/// streams take, and the first one that comes while the process stops was taken and cut.
#[test]
fn a_stream_of_an_unknown_length_is_refused_while_the_process_stops() {
    common::run(async {
        let backend = Backend::start(|message, line| async move {
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            events(&line, 1, 1000, PACE).await;
            true
        })
        .await;
        let harness = Harness::with(document());
        harness.register("s1", "draft", "a", backend.address);
        harness.stop.cancel();
        tokio::time::sleep(PACE).await;
        let (_, answer) = harness.ask("r1", "/stream/x", "tokens: 10\r\n").await;
        assert_eq!(answer.expect("an answer").status(), 503);
        assert_eq!(backend.count(), 0);
    });
}

/// An engine loses single answers: it resets the connection of a run whose prompt it has read, and
/// lives on. Elsewhere the prompt would have to be read anew, for seconds.
#[test]
fn after_a_reset_a_stream_goes_on_where_its_prompt_was_read() {
    common::run(async {
        let runs = Rc::new(Cell::new(0));
        let counted = runs.clone();
        let losing = Backend::start(move |message, line| {
            let counted = counted.clone();
            async move {
                counted.set(counted.get() + 1);
                let after = after(&message);
                line.write(&stream_head(message.header("id").unwrap_or_default()))
                    .await;
                if counted.get() == 1 {
                    for id in 1..=3 {
                        line.write(&event(id)).await;
                    }
                    tokio::time::sleep(PACE).await;
                    line.reset();
                    return false;
                }
                events(&line, after + 1, 6, PACE).await;
                true
            }
        })
        .await;
        let other = Backend::start(|_, line| async move {
            line.reset();
            false
        })
        .await;
        let harness = Harness::with(document());
        harness.register("s1", "draft", "a", losing.address);
        let mut caller = harness.connect("r1", "/stream/x", "tokens: 10\r\n").await;
        tokio::time::sleep(PACE / 2).await;
        harness.register("s2", "draft", "b", other.address);
        let answer = common::read(&mut caller).await.expect("a whole answer");
        assert_eq!(answer.text(), pieces(1, 6));
        assert_eq!(runs.get(), 2);
        assert_eq!(other.count(), 0);
    });
}

/// An engine's process dies. The copy of its memory at another engine has the prompt, and the
/// stream goes on from there by its name. The engine that had the copy is named to the one that
/// runs the request, in another data centre.
#[test]
fn after_a_crash_a_stream_goes_on_from_the_copy() {
    common::run(async {
        let work = |message: Message, line: Line| async move {
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            let after = after(&message);
            for id in after + 1..=after + 3 {
                line.write(&event(id)).await;
                tokio::time::sleep(PACE).await;
            }
            if after == 0 {
                std::future::pending::<()>().await;
            }
            line.write("0\r\n\r\n").await;
            true
        };
        let (one, two) = (Backend::start(work).await, Backend::start(work).await);
        let harness = Harness::with(document());
        harness.register("s1", "draft", "a", one.address);
        harness.register("s2", "draft", "b", two.address);
        let mut caller = harness.connect("r1", "/stream/x", "tokens: 10\r\n").await;
        tokio::time::sleep(PACE * 2).await;
        let (first, second) = if one.count() == 1 {
            (one, two)
        } else {
            (two, one)
        };
        let backup = first.seen.borrow()[0].header("backup").map(str::to_string);
        assert_eq!(backup, Some(second.address.to_string()));
        first.kill();
        let answer = common::read(&mut caller).await.expect("a whole answer");
        let count = answer.text().matches("piece").count() as u64;
        assert_eq!(answer.text(), pieces(1, count));
        let resumed = second.seen.borrow()[0].clone();
        assert_eq!(
            resumed.header("copy"),
            Some(format!("{}/r1", second.address).as_str())
        );
    });
}

/// The engine that holds the copy loses the answer to the stream that comes to it, while the copy
/// is still there. Sent elsewhere, the stream stood still for seconds until its prompt was read
/// anew.
#[test]
fn a_lost_answer_at_the_copy_is_asked_for_again() {
    common::run(async {
        let resumes = Rc::new(Cell::new(0));
        let counted = resumes.clone();
        let work = move |message: Message, line: Line| {
            let counted = counted.clone();
            async move {
                let after = after(&message);
                if after > 0 {
                    counted.set(counted.get() + 1);
                }
                if counted.get() == 1 {
                    line.reset();
                    return false;
                }
                line.write(&stream_head(message.header("id").unwrap_or_default()))
                    .await;
                events(&line, after + 1, after + 3, PACE).await;
                if after == 0 {
                    std::future::pending::<()>().await;
                }
                true
            }
        };
        let one = Backend::start(work.clone()).await;
        let two = Backend::start(work).await;
        let harness = Harness::with(document());
        harness.register("s1", "draft", "a", one.address);
        harness.register("s2", "draft", "b", two.address);
        let mut caller = harness.connect("r1", "/stream/x", "tokens: 10\r\n").await;
        tokio::time::sleep(PACE * 2).await;
        let (first, second) = match one.count() {
            1 => (one, two),
            _ => (two, one),
        };
        first.kill();
        let third = Backend::start(|_, line| async move {
            line.reset();
            false
        })
        .await;
        harness.register("s3", "draft", "c", third.address);
        let answer = common::read(&mut caller).await.expect("a whole answer");
        let count = answer.text().matches("piece").count() as u64;
        assert_eq!(answer.text(), pieces(1, count));
        assert_eq!(third.count(), 0);
        let copy = format!("{}/r1", second.address);
        for again in &second.seen.borrow()[..2] {
            assert_eq!(again.header("copy"), Some(copy.as_str()));
        }
    });
}

/// The engine that holds the copy is lost before the one that runs the request: data centres fail
/// in turn. Without a new copy the second loss costs the whole prompt.
#[test]
fn a_copy_is_made_anew_when_its_holder_is_gone() {
    common::run(async {
        let work = |message: Message, line: Line| async move {
            if message.first.starts_with("POST /copy") {
                line.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh7")
                    .await;
                return true;
            }
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            let after = after(&message);
            let last = if after == 0 { 100 } else { after + 3 };
            events(&line, after + 1, last, PACE).await;
            true
        };
        let servers = [
            Backend::start(work).await,
            Backend::start(work).await,
            Backend::start(work).await,
        ];
        let harness = Harness::with(document());
        let names = ["s1", "s2", "s3"];
        for (name, server) in names.iter().zip(&servers) {
            harness.register(name, "draft", name, server.address);
        }
        let mut caller = harness.connect("r1", "/stream/x", "tokens: 10\r\n").await;
        tokio::time::sleep(PACE * 3).await;
        let run = servers.iter().position(|server| server.count() == 1);
        let run = run.expect("one of them runs it");
        let backup = servers[run].seen.borrow()[0]
            .header("backup")
            .map(str::to_string);
        let holder = servers
            .iter()
            .position(|s| Some(s.address.to_string()) == backup);
        let holder = holder.expect("one of them holds the copy");
        harness
            .gateway
            .apply(Update::Deregistered(names[holder].into()));
        tokio::time::sleep(PACE * 20).await;
        let third = 3 - run - holder;
        let asked = servers[run].seen.borrow()[1].clone();
        let told = servers[third].address.to_string();
        assert_eq!(asked.header("holder"), Some(told.as_str()));
        servers[run].kill();
        let answer = common::read(&mut caller).await.expect("a whole answer");
        assert!(answer.text().starts_with(&pieces(1, 3)));
        let resumed = servers[third].seen.borrow()[0].clone();
        let copy = format!("{}/h7", servers[run].address);
        assert_eq!(resumed.header("copy"), Some(copy.as_str()));
    });
}

/// A server runs a request to its end and its answer never comes, on a connection that stays open.
/// Only asking it what it runs shows that nothing will come; otherwise the caller waits out its
/// patience.
#[test]
fn a_lost_answer_is_found_by_asking_the_server() {
    common::run(async {
        let mute = Backend::start(|message, line| async move {
            if message.first.starts_with("GET /runs") {
                line.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                    .await;
                return true;
            }
            if after(&message) == 0 && message.header("again").is_none() {
                tokio::time::sleep(PACE * 200).await;
            }
            false
        })
        .await;
        let other = Backend::start(|message, line| async move {
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            events(&line, 1, 3, PACE).await;
            true
        })
        .await;
        let harness = Harness::with(document());
        harness.register("s1", "draft", "a", mute.address);
        let mut caller = harness.connect("r1", "/stream/x", "tokens: 10\r\n").await;
        tokio::time::sleep(PACE).await;
        harness.register("s2", "draft", "b", other.address);
        let began = Instant::now();
        let answer = timeout(Duration::from_secs(19), common::read(&mut caller)).await;
        let answer = answer.expect("in time").expect("a whole answer");
        assert_eq!(answer.text(), pieces(1, 3));
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "{:?}",
            began.elapsed()
        );
    });
}

/// A server starts anew under a new name at its old address. What ran there is lost, though the
/// address answers; waiting for it would take until the caller's patience ends.
#[test]
fn a_run_at_a_server_that_was_replaced_is_lost_at_once() {
    common::run(async {
        let hung = Backend::start(|message, line| async move {
            if message.header("server") == Some("s1") {
                std::future::pending::<()>().await;
            }
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            events(&line, 1, 3, PACE).await;
            true
        })
        .await;
        let harness = Harness::with(document());
        harness.register("s1", "draft", "a", hung.address);
        let mut caller = harness.connect("r1", "/stream/x", "tokens: 10\r\n").await;
        tokio::time::sleep(PACE).await;
        harness.register("s9", "draft", "a", hung.address);
        let answer = timeout(Duration::from_secs(1), common::read(&mut caller)).await;
        let answer = answer.expect("in time").expect("a whole answer");
        assert_eq!(answer.text(), pieces(1, 3));
    });
}

/// A caller's connection breaks in the middle of its stream, and it comes back at once for the
/// rest. The server that read its prompt has it still; any other reads it anew.
#[test]
fn a_caller_that_comes_back_finds_the_server_that_read_its_prompt() {
    common::run(async {
        let work = |message: Message, line: Line| async move {
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            let after = after(&message);
            events(&line, after + 1, after + 30, PACE).await;
            true
        };
        let mut servers = Vec::new();
        for _ in 0..8 {
            servers.push(Backend::start(work).await);
        }
        let harness = Harness::with(document());
        for (number, server) in servers.iter().enumerate() {
            harness.register(&format!("s{number}"), "draft", "a", server.address);
        }
        for round in 0..5 {
            let parts = format!("tokens: 5000\r\nparts: 7:200,{round}9:4800\r\n");
            let caller = harness
                .connect(&format!("a{round}"), "/stream/x", &parts)
                .await;
            tokio::time::sleep(PACE * 3).await;
            let first = holder(&servers, &format!("a{round}"));
            drop(caller);
            tokio::time::sleep(PACE).await;
            let more = format!("{parts}after: 2\r\n");
            let caller = harness
                .connect(&format!("b{round}"), "/stream/x", &more)
                .await;
            tokio::time::sleep(PACE * 2).await;
            assert_eq!(holder(&servers, &format!("b{round}")), first);
            drop(caller);
        }
    });
}

fn holder(servers: &[Backend], id: &str) -> Option<usize> {
    let got = |server: &Backend| {
        let seen = server.seen.borrow();
        seen.iter().any(|message| message.header("id") == Some(id))
    };
    servers.iter().position(got)
}

fn after(message: &Message) -> u64 {
    let after = message.header("after").and_then(|after| after.parse().ok());
    after.unwrap_or(0)
}

/// The bytes of events as a caller gets them.
fn pieces(first: u64, last: u64) -> String {
    let mut text = String::new();
    for id in first..=last {
        text += &format!("id: {id}\ndata: piece {id}\n\n");
    }
    text
}

/// All entries fail at once, and their callers come back together, each seconds before its deadline.
/// Where no server has room, a prompt that is read for an answer which can't be complete by then
/// delays the others, and the caller waits for nothing.
#[test]
fn an_answer_that_cannot_be_complete_in_time_is_refused_when_servers_are_full() {
    common::run(async {
        let backend = Backend::start(|message, line| async move {
            line.write(&stream_head(message.header("id").unwrap_or_default()))
                .await;
            let after = after(&message);
            let last = if after == 30 { 1000 } else { 20 };
            events(&line, after + 1, last, PACE / 2).await;
            true
        })
        .await;
        let harness = Harness::with(document());
        harness.register("s1", "draft", "a", backend.address);
        for turn in 0..8 {
            let id = format!("r{turn}");
            let (_, answer) = harness.ask(&id, "/stream/x", "tokens: 30000\r\n").await;
            assert_eq!(answer.expect("a whole answer").status(), 200);
        }
        let late = "tokens: 30000\r\nafter: 2\r\ndeadline: 60\r\n";
        let (_, answer) = harness.ask("room", "/stream/x", late).await;
        assert!(answer.is_err(), "tried, and its time ends in the middle");
        assert_eq!(backend.count(), 9);
        let _long = harness
            .connect("long", "/stream/x", "tokens: 30000\r\nafter: 30\r\n")
            .await;
        tokio::time::sleep(PACE).await;
        let came = Instant::now();
        let (_, answer) = harness.ask("late", "/stream/x", late).await;
        let answer = answer.expect("an answer");
        assert!(came.elapsed() < PACE, "{:?}", came.elapsed());
        assert_eq!(answer.status(), 503);
        assert!(
            answer.text().contains("too_little_time"),
            "{}",
            answer.text()
        );
        assert_eq!(backend.count(), 10);
        let enough = "tokens: 30000\r\nafter: 18\r\ndeadline: 1000\r\n";
        let (_, answer) = harness.ask("enough", "/stream/x", enough).await;
        assert_eq!(answer.expect("a whole answer").status(), 200);
    });
}

/// All entries lost their memory together, and callers come back for the rest of their answers. An
/// engine still has the prompt; elsewhere it would be read anew, for a second that the caller may
/// not have. The engines are asked once for all who come back.
#[test]
fn a_caller_that_comes_back_gets_to_the_engine_that_has_its_prompt() {
    common::run(async {
        let engine = |held: &'static str| {
            Backend::start(move |message, line| async move {
                if message.first.starts_with("GET /held") {
                    let length = held.len();
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                    line.write(&(head + held)).await;
                    return true;
                }
                line.write(&stream_head(message.header("id").unwrap_or_default()))
                    .await;
                let after = after(&message);
                events(&line, after + 1, 6, PACE / 4).await;
                true
            })
        };
        let (near, far) = (engine("1:20").await, engine("1:20,77:9000,78:8000").await);
        let harness = Harness::with(document());
        harness.register("s1", "draft", "a", near.address);
        harness.register("s2", "draft", "b", far.address);
        let runs = |backend: &Backend| {
            let seen = backend.seen.borrow();
            let runs = seen.iter().filter(|message| message.header("id").is_some());
            runs.count()
        };
        let back = "tokens: 9020\r\nafter: 3\r\nparts: 1:20,77:9000\r\n";
        let (_, answer) = harness.ask("r1", "/stream/x", back).await;
        assert_eq!(answer.expect("a whole answer").text(), pieces(4, 6));
        assert_eq!((runs(&near), runs(&far)), (0, 1));
        let other = "tokens: 8020\r\nafter: 3\r\nparts: 1:20,78:8000\r\n";
        let (_, answer) = harness.ask("r2", "/stream/x", other).await;
        assert_eq!(answer.expect("a whole answer").text(), pieces(4, 6));
        assert_eq!((runs(&near), runs(&far)), (0, 2));
        assert_eq!((near.count(), far.count()), (1, 3));
    });
}

/// The same for a caller that lost its entry before the first event. It can't say that it comes
/// back, but it has little time left, and the entry started a moment ago.
#[test]
fn a_caller_with_little_time_left_gets_to_the_engine_that_has_its_prompt() {
    common::run(async {
        let engine = |held: &'static str| {
            Backend::start(move |message, line| async move {
                if message.first.starts_with("GET /held") {
                    let length = held.len();
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                    line.write(&(head + held)).await;
                    return true;
                }
                line.write(&stream_head(message.header("id").unwrap_or_default()))
                    .await;
                events(&line, 1, 6, PACE / 4).await;
                true
            })
        };
        let (near, far) = (engine("1:20").await, engine("1:20,77:9000").await);
        let harness = Harness::with(document());
        harness.register("s1", "draft", "a", near.address);
        harness.register("s2", "draft", "b", far.address);
        let back = "tokens: 9020\r\ndeadline: 4000\r\nparts: 1:20,77:9000\r\n";
        let (_, answer) = harness.ask("r1", "/stream/x", back).await;
        assert_eq!(answer.expect("a whole answer").text(), pieces(1, 6));
        assert_eq!((near.count(), far.count()), (1, 2));
    });
}

/// An engine goes dark with two streams. One has begun, and its silence is noticed within its rhythm;
/// the other still waits for its prompt to be read, so that its own silence says nothing for seconds.
/// Its caller waited that long for nothing, though the entry knew.
#[test]
fn a_stream_that_has_not_begun_leaves_a_server_that_another_found_dark() {
    common::run(async {
        let work = |message: Message, line: Line| async move {
            let id = message.header("id").unwrap_or_default();
            if message.header("server") == Some("s2") {
                line.write(&stream_head(id)).await;
                events(&line, after(&message) + 1, 3, PACE).await;
                return true;
            }
            if id == "r1" {
                line.write(&stream_head(id)).await;
                line.write(&event(1)).await;
            }
            std::future::pending::<bool>().await
        };
        let (one, two) = (Backend::start(work).await, Backend::start(work).await);
        let mut document = document();
        // Left alone, the second stream would be looked into after a quarter of this.
        document.routes[2].pass.as_mut().expect("passed").objective = Duration::from_secs(20);
        let harness = Harness::with(document);
        harness.register("s1", "draft", "a", one.address);
        let mut begun = harness.connect("r1", "/stream/x", "tokens: 10\r\n").await;
        let mut waiting = harness.connect("r2", "/stream/x", "tokens: 10\r\n").await;
        while one.count() < 2 {
            tokio::time::sleep(PACE).await;
        }
        harness.register("s2", "draft", "b", two.address);
        one.deafen();
        let dark = Instant::now();
        for caller in [&mut begun, &mut waiting] {
            let answer = common::read(caller).await.expect("a whole answer");
            assert_eq!(answer.text(), pieces(1, 3));
        }
        assert!(
            dark.elapsed() < Duration::from_millis(2500),
            "{:?}",
            dark.elapsed()
        );
    });
}
