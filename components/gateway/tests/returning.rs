//! Callers that come back for the rest of their answers, after all entries failed.

mod common;

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use common::{
    Backend,
    Harness,
    answer,
    document,
    events,
    stream_head, //
};
use rstest::rstest;
use tokio::time::{
    Instant,
    sleep, //
};

/// Requests that engines ran, by the engine's name.
type Ran = Rc<RefCell<Vec<&'static str>>>;

/// An engine whose cache holds some parts of prompts.
async fn engine(name: &'static str, held: &'static str, ran: &Ran) -> Backend {
    let ran = ran.clone();
    Backend::start(move |message, line| {
        let ran = ran.clone();
        async move {
            let id = message.header("id").unwrap_or_default();
            if message.first.contains("/held") {
                line.write(&answer(id, 200, held)).await;
                return true;
            }
            ran.borrow_mut().push(name);
            line.write(&stream_head(id)).await;
            events(&line, 5, 8, Duration::from_millis(5)).await;
            true
        }
    })
    .await
}

/// Guards against prompts that are read anew after the store and all entries were out: the engine that
/// has the prompt registers again a moment after a caller came back.
#[rstest]
#[case::while_servers_register(true, "holder")]
#[case::with_a_complete_register(false, "other")]
fn a_caller_waits_for_the_engine_that_has_its_prompt(
    #[case] registering: bool,
    #[case] expected: &'static str,
) {
    common::run(async move {
        let ran = Ran::default();
        let other = engine("other", "", &ran).await;
        let holder = engine("holder", "77:5000", &ran).await;
        let harness = Harness::with(document());
        if registering {
            harness.gateway.await_registrations(Duration::from_secs(2));
        }
        harness.register("s1", "draft", "a", other.address);
        let more = "tokens: 5000\r\nparts: 77:5000\r\nafter: 4\r\ndeadline: 15000\r\n";
        let register = async {
            sleep(Duration::from_millis(400)).await;
            harness.register("s2", "draft", "b", holder.address);
        };
        let began = Instant::now();
        let ((_, answer), ()) = tokio::join!(harness.ask("r1", "/stream/x", more), register);
        assert_eq!(answer.expect("a whole answer").status(), 200);
        assert_eq!(*ran.borrow(), [expected]);
        assert!(began.elapsed() < Duration::from_secs(1));
    });
}

/// Guards against callers that are held for nothing: the engine that had the prompt is gone for good.
#[test]
fn a_caller_does_not_wait_longer_than_servers_take_to_register() {
    common::run(async {
        let ran = Ran::default();
        let other = engine("other", "", &ran).await;
        let harness = Harness::with(document());
        harness
            .gateway
            .await_registrations(Duration::from_millis(300));
        harness.register("s1", "draft", "a", other.address);
        let more = "tokens: 5000\r\nparts: 77:5000\r\nafter: 4\r\ndeadline: 15000\r\n";
        let began = Instant::now();
        let (_, answer) = harness.ask("r1", "/stream/x", more).await;
        assert_eq!(answer.expect("a whole answer").status(), 200);
        assert!(began.elapsed() < Duration::from_millis(800));
    });
}
