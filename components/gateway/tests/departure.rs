//! An entry that stops, while its balancer still sends it callers.

mod common;

use std::time::Duration;

use common::{
    Backend,
    Harness,
    Message,
    document,
    events,
    settings,
    stream_head, //
};
use gateway::settings::Settings;
use rstest::rstest;
use tokio::time::{
    Instant,
    sleep, //
};

/// Time in which the balancer takes out an entry that stops.
const BALANCER: Duration = Duration::from_millis(2600);

/// An engine whose streams take about a second.
async fn engine() -> Backend {
    Backend::start(|message, line| async move {
        line.write(&stream_head(message.header("id").unwrap_or_default()))
            .await;
        events(&line, 1, 50, Duration::from_millis(20)).await;
        true
    })
    .await
}

fn stopping_within(grace: Duration) -> (Settings, Harness) {
    let mut settings = settings();
    settings.bounds.grace = grace;
    let harness = Harness::start(settings.clone());
    harness.put(1, document());
    (settings, harness)
}

fn retry_after(answer: &Message) -> Duration {
    let seconds = answer.header("retry-after").expect("it says when");
    Duration::from_secs_f64(seconds.parse().expect("seconds"))
}

/// Guards against a stream lost to two refusals: its caller comes back to the same entry, the only
/// one of the data centre, which the balancer hasn't taken out yet.
#[rstest]
#[case::the_last_one(false)]
#[case::with_a_neighbour(true)]
fn a_refused_caller_is_told_when_another_entry_can_be_reached(#[case] neighbour: bool) {
    common::run(async move {
        let (mut settings, harness) = stopping_within(Duration::from_secs(5));
        let backend = engine().await;
        harness.register("s1", "draft", "a", backend.address);
        settings.seeds = vec![harness.peers];
        let _other = neighbour.then(|| Harness::start(settings));
        sleep(Duration::from_millis(1200)).await;
        harness.stop.cancel();
        let stopped = Instant::now();
        sleep(Duration::from_millis(20)).await;
        let (_, answer) = harness.ask("r1", "/stream/x", "tokens: 10\r\n").await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), 503);
        let again = retry_after(&answer);
        match neighbour {
            true => assert_eq!(again, Duration::from_millis(100)),
            false => {
                let most = BALANCER + Duration::from_millis(10);
                let said = stopped.elapsed() + again;
                assert!(said >= BALANCER && again <= most, "{again:?}");
            }
        }
    });
}

/// Guards against the refusal of streams that usually fit the rest of the grace time, at the only entry
/// of a data centre.
#[test]
fn the_last_entry_of_a_data_centre_takes_what_fits() {
    common::run(async {
        let (_, harness) = stopping_within(Duration::from_millis(2000));
        let backend = engine().await;
        harness.register("s1", "draft", "a", backend.address);
        let (_, usual) = harness.ask("r1", "/stream/x", "tokens: 10\r\n").await;
        assert_eq!(usual.expect("a whole answer").status(), 200);
        harness.stop.cancel();
        sleep(Duration::from_millis(20)).await;
        let (_, answer) = harness.ask("r2", "/stream/x", "tokens: 10\r\n").await;
        let answer = answer.expect("a whole answer");
        assert_eq!(answer.status(), 200);
        assert!(answer.text().ends_with("piece 50\n\n"), "{}", answer.text());
    });
}
