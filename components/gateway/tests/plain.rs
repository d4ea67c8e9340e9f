//! Requests whose answer comes as a whole, through the gateway.

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
    answer,
    document, //
};
use rstest::rstest;
use tokio::time::{
    Instant,
    sleep, //
};

/// What a server does to the first request that it gets; it answers all others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Says that it is full.
    Full,
    /// Another server stands at the address.
    Other,
    /// Runs it, and the connection is reset.
    Reset,
    /// Runs it, and the answer breaks off.
    Short,
    /// Sends bytes that are no answer.
    Spoilt,
    /// Answers without its signature.
    Unsigned,
    /// Answers with an encoding that nobody asked for.
    Encoded,
    /// Answers with a failure of its own.
    Failure,
    /// Says nothing.
    Hang,
}

async fn faulty(fault: Fault) -> Backend {
    let first = Rc::new(Cell::new(true));
    Backend::start(move |message, line| {
        let first = first.clone();
        async move {
            let id = message.header("id").unwrap_or_default().to_string();
            if !first.replace(false) {
                line.write(&answer(&id, 200, "fine")).await;
                return true;
            }
            act(fault, &id, &line).await
        }
    })
    .await
}

async fn act(fault: Fault, id: &str, line: &Line) -> bool {
    let text = match fault {
        Fault::Full => {
            format!("HTTP/1.1 503 x\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n")
        }
        Fault::Other => {
            "HTTP/1.1 421 x\r\nnot-run: 1\r\nother: 1\r\ncontent-length: 0\r\n\r\n".to_string()
        }
        Fault::Reset => {
            line.reset();
            return false;
        }
        Fault::Short => {
            let whole = answer(id, 200, "fine");
            line.write(&whole[..whole.len() - 2]).await;
            return false;
        }
        Fault::Spoilt => {
            line.write("\x01\x02 this is no answer\r\n\r\n").await;
            return false;
        }
        Fault::Unsigned => format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 4\r\n\r\nfine"),
        Fault::Encoded => format!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\ncontent-encoding: gzip\r\n\
             content-length: 4\r\n\r\nfine"
        ),
        Fault::Failure => answer(id, 500, "broken"),
        Fault::Hang => {
            sleep(Duration::from_secs(30)).await;
            return false;
        }
    };
    line.write(&text).await;
    true
}

/// A payout reaches a server that fails it in some way. The caller must not be told that it has not
/// run when it may have, and no other server may get it unless this one has said that it didn't run.
#[rstest]
#[case::full(Fault::Full, 503)]
#[case::another_server(Fault::Other, 200)]
#[case::reset(Fault::Reset, 502)]
#[case::short(Fault::Short, 502)]
#[case::spoilt(Fault::Spoilt, 502)]
#[case::unsigned(Fault::Unsigned, 502)]
#[case::encoded(Fault::Encoded, 502)]
#[case::failure(Fault::Failure, 500)]
#[case::hang(Fault::Hang, 504)]
fn a_call_that_may_not_be_repeated_runs_at_most_once(#[case] fault: Fault, #[case] status: u16) {
    common::run(async move {
        let mut document = document();
        for rule in &mut document.routes {
            let pass = rule.pass.as_mut().expect("passed through");
            pass.attempts = 1;
            pass.timeout = Some(Duration::from_millis(300));
        }
        let (one, two) = (faulty(fault).await, faulty(fault).await);
        let harness = Harness::with(document);
        harness.register("s1", "ledger", "a", one.address);
        harness.register("s2", "ledger", "a", two.address);
        let (_, told) = harness.ask("r1", "/unsafe/x", "").await;
        let told = told.expect("an answer");
        let sent = one.count() + two.count();
        match fault {
            // Neither of two servers that are over has run it.
            Fault::Other => assert!(told.status() == 503 && sent == 2, "{told:?}"),
            _ => assert!(told.status() == status && sent == 1, "{told:?}"),
        }
        assert_eq!(told.header("retry-after").is_some(), told.status() == 503);
    });
}

/// The same faults of one server meet a look-up, which may be repeated. Its caller should notice
/// none of them while another server is well.
#[rstest]
#[case(Fault::Full)]
#[case(Fault::Other)]
#[case(Fault::Reset)]
#[case(Fault::Short)]
#[case(Fault::Spoilt)]
#[case(Fault::Unsigned)]
#[case(Fault::Encoded)]
#[case(Fault::Failure)]
#[case(Fault::Hang)]
fn a_lookup_is_answered_by_another_server(#[case] fault: Fault) {
    common::run(async move {
        let mut document = document();
        for rule in &mut document.routes {
            let pass = rule.pass.as_mut().expect("passed through");
            pass.objective = Duration::from_millis(200);
        }
        let bad = faulty(fault).await;
        let harness = Harness::with(document);
        harness.register("s1", "ledger", "a", bad.address);
        let mut asked = harness.connect("r1", "/safe/x", "").await;
        sleep(Duration::from_millis(5)).await;
        let good = Backend::start(|message, line| async move {
            line.write(&answer(
                message.header("id").unwrap_or_default(),
                200,
                "fine",
            ))
            .await;
            true
        })
        .await;
        harness.register("s2", "ledger", "a", good.address);
        let began = Instant::now();
        let (_, second) = harness.ask("r2", "/safe/x", "").await;
        assert_eq!(second.expect("an answer").status(), 200);
        assert!(began.elapsed() < Duration::from_secs(1));
        // The first one met the fault before there was a second server, unless it waits for it.
        let first = common::read(&mut asked).await.expect("an answer");
        if fault == Fault::Hang {
            assert_eq!(first.status(), 200, "{first:?}");
        }
    });
}

/// A server sends a second answer to a request, late: it stands on the connection where the next
/// request's answer is expected. Taken for it, a caller would read another's balance.
#[test]
fn an_answer_to_another_request_is_read_over() {
    common::run(async {
        let server = Backend::start(|message, line| async move {
            let id = message.header("id").unwrap_or_default();
            if id == "r2" {
                line.write(&answer("r1", 200, "balance of another")).await;
            }
            line.write(&answer(id, 200, &format!("balance of {id}")))
                .await;
            true
        })
        .await;
        let harness = Harness::with(document());
        harness.register("s1", "ledger", "a", server.address);
        for id in ["r1", "r2", "r3"] {
            let (_, told) = harness.ask(id, "/unsafe/x", "").await;
            assert_eq!(told.expect("an answer").text(), format!("balance of {id}"));
        }
    });
}

/// A server sends bytes behind a complete answer. They belong to no request, and must not stand at
/// the beginning of the next answer.
#[test]
fn bytes_behind_an_answer_belong_to_no_request() {
    common::run(async {
        let server = Backend::start(|message, line| async move {
            let id = message.header("id").unwrap_or_default();
            let whole = answer(id, 200, "fine");
            line.write(&format!("{whole}{}", answer("", 200, "extra")))
                .await;
            true
        })
        .await;
        let harness = Harness::with(document());
        harness.register("s1", "ledger", "a", server.address);
        for id in ["r1", "r2", "r3"] {
            let (_, told) = harness.ask(id, "/unsafe/x", "").await;
            assert_eq!(told.expect("an answer").text(), "fine");
            sleep(Duration::from_millis(10)).await;
        }
    });
}

/// An answer has no length and ends with its connection. It is complete when the connection ends in
/// order, and not when it is reset.
#[rstest]
#[case::in_order(false, 200)]
#[case::reset(true, 502)]
fn an_answer_without_a_length_ends_with_its_connection(#[case] reset: bool, #[case] status: u16) {
    common::run(async move {
        let server = Backend::start(move |message, line| async move {
            let id = message.header("id").unwrap_or_default();
            line.write(&format!(
                "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: 1\r\n\r\nfine"
            ))
            .await;
            sleep(Duration::from_millis(20)).await;
            if reset {
                line.reset();
            }
            false
        })
        .await;
        let harness = Harness::with(document());
        harness.register("s1", "ledger", "a", server.address);
        let (_, told) = harness.ask("r1", "/unsafe/x", "").await;
        assert_eq!(told.expect("an answer").status(), status);
    });
}

/// An answer is longer than what is kept in memory. It is passed on as it comes; when its server
/// breaks off, the caller must see that something is missing.
#[rstest]
#[case::whole(1 << 20, true)]
#[case::cut(1 << 20, false)]
fn a_long_answer_is_passed_on_as_it_comes(#[case] length: usize, #[case] whole: bool) {
    common::run(async move {
        let server = Backend::start(move |message, line| async move {
            let id = message.header("id").unwrap_or_default();
            let body = "x".repeat(length);
            let text = answer(id, 200, &body);
            let cut = if whole { text.len() } else { text.len() - 1000 };
            line.write(&text[..cut]).await;
            whole
        })
        .await;
        let harness = Harness::with(document());
        harness.register("s1", "ledger", "a", server.address);
        let (_, told) = harness.ask("r1", "/safe/x", "").await;
        match whole {
            true => assert_eq!(told.expect("a whole answer").body.len(), length),
            false => assert!(told.is_err()),
        }
    });
}

/// What goes to the server: the caller's method, path and body as they are, the time that is left,
/// the team of the key and not the key.
#[test]
fn the_server_gets_what_the_caller_sent_and_the_team() {
    common::run(async {
        let server = Backend::start(|message, line| async move {
            line.write(&answer(
                message.header("id").unwrap_or_default(),
                200,
                "fine",
            ))
            .await;
            true
        })
        .await;
        let harness = Harness::with(document());
        harness.register("s1", "ledger", "a", server.address);
        let more = "deadline: 5000\r\ncontent-length: 7\r\n\r\namount=";
        let mut caller = harness.connect("r1", "/unsafe/pay?n=5", more).await;
        let _ = common::read(&mut caller).await;
        let seen: Message = server.seen.borrow()[0].clone();
        assert_eq!(seen.first, "POST /unsafe/pay?n=5 HTTP/1.1");
        assert_eq!(seen.header("team"), Some("t"));
        assert_eq!(seen.header("key"), None);
        assert_eq!(seen.header("server"), Some("s1"));
        let left: u64 = seen.header("deadline").unwrap_or("0").parse().unwrap_or(0);
        assert!((4000..=5000).contains(&left), "{left}");
        assert_eq!(seen.body.len(), 7);
    });
}
