//! Tests of a gateway that stops while the load balancer still sends it callers.

mod common;

use std::time::Duration;

use common::{
    Backend,
    Harness,
    Message,
    document,
    settings,
    stream_head, //
    write_events,
};
use gateway::settings::Settings;
use rstest::rstest;
use tokio::time::{
    Instant,
    sleep, //
};

/// Time within which the load balancer removes a stopping gateway.
const BALANCER_REMOVAL_DELAY: Duration = Duration::from_millis(2600);

/// Starts an engine whose streams take about a second.
async fn engine() -> Backend {
    Backend::start(|message, connection| async move {
        connection
            .write(&stream_head(message.header("id").unwrap_or_default()))
            .await;
        write_events(&connection, 1, 50, Duration::from_millis(20)).await;
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
