//! Tests of the plain service's contract over HTTP.

use std::time::Duration;

use fakes::service::{
    Fault,
    Service,
    Settings, //
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use tokio::time::{
    Instant,
    timeout, //
};

/// Time limit of a step, far beyond what any step takes on a busy machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

async fn start() -> Service {
    Service::start(Settings::default())
        .await
        .expect("loopback can be bound")
}

fn url(service: &Service, path: &str) -> String {
    format!("http://{}{path}", service.address())
}

async fn deposit(service: &Service, key: Option<&str>) -> Result<(u16, Value), reqwest::Error> {
    let mut request = reqwest::Client::new()
        .post(url(service, "/deposits"))
        .header("X-Medlarhatch-Team", "north")
        .json(&json!({"account": "a", "amount": 5}));
    if let Some(key) = key {
        request = request.header("Idempotency-Key", key);
    }
    let response = request.send().await?;
    let status = response.status().as_u16();
    Ok((status, response.json().await?))
}

async fn get(service: &Service, path: &str) -> Value {
    let response = reqwest::get(url(service, path))
        .await
        .expect("the service responds");
    response.json().await.expect("the body is JSON")
}

#[tokio::test]
async fn every_deposit_is_applied() {
    let service = start().await;
    for number in 1..=3 {
        let (status, body) = deposit(&service, Some("k"))
            .await
            .expect("the service responds");
        assert_eq!(status, 201);
        assert_eq!(
            body,
            json!({"deposit": number, "account": "a", "amount": 5})
        );
    }
    let account = get(&service, "/accounts/a").await;
    assert_eq!(
        account,
        json!({"account": "a", "balance": 15, "deposits": 3})
    );
    let calls = get(&service, "/calls").await;
    assert_eq!(
        calls[0],
        json!({"method": "POST", "path": "/deposits", "key": "k", "team": "north"})
    );
    assert_eq!(service.calls().len(), 4);
}

#[tokio::test]
async fn status_version_counts_posts() {
    let service = start().await;
    reqwest::Client::new()
        .post(url(&service, "/status/7"))
        .send()
        .await
        .expect("the service responds");
    let status = get(&service, "/status/7").await;
    assert_eq!(status, json!({"id": "7", "reads": 1, "version": 1}));
    assert_eq!(get(&service, "/health").await, json!({"ok": true}));
}

// The service dies right before or right after it applies a deposit, or on a request that crashes
// it. The client sees the same in each case: a closed connection.
#[rstest]
#[case::before(Fault { die_before_take: true, ..Fault::default() }, 0)]
#[case::after(Fault { die_after_take: true, ..Fault::default() }, 1)]
#[case::at_once(Fault { die: true, ..Fault::default() }, 0)]
#[case::crash(Fault { crash_on: Some("account".to_string()), ..Fault::default() }, 0)]
#[tokio::test]
async fn death_closes_the_connection(#[case] fault: Fault, #[case] deposits: u64) {
    let service = start().await;
    service.inject_fault(fault);
    let response = deposit(&service, None).await;
    assert!(response.is_err(), "{response:?}");
    timeout(STEP_TIMEOUT, service.dead())
        .await
        .expect("the service is dead");
    assert_eq!(service.account("a").1, deposits);
}

#[rstest]
#[case::fails(Fault { fail_share: Some(1.0), ..Fault::default() }, 500, 0)]
#[case::drops_repeats(Fault { drop_repeats: true, ..Fault::default() }, 201, 1)]
#[case::clear(Fault { clear: true, ..Fault::default() }, 201, 2)]
#[tokio::test]
async fn response_faults(#[case] fault: Fault, #[case] status: u16, #[case] deposits: u64) {
    let service = start().await;
    service.inject_fault(fault);
    for _ in 0..2 {
        let (actual, _) = deposit(&service, Some("k"))
            .await
            .expect("the service responds");
        assert_eq!(actual, status);
    }
    assert_eq!(service.account("a").1, deposits);
}

// The process pauses with a deposit in flight. The client gives up, and the service applies the
// deposit when it resumes. A client that received `not_run` would send it again and pay twice.
#[rstest]
#[case::pause(Fault { pause_ms: Some(300), ..Fault::default() })]
#[case::slow(Fault { slow_ms: Some(300), ..Fault::default() })]
#[tokio::test]
async fn deposit_is_applied_after_the_client_gave_up(#[case] fault: Fault) {
    let service = start().await;
    service.inject_fault(fault);
    let response = timeout(Duration::from_millis(100), deposit(&service, None)).await;
    assert!(response.is_err());
    let end = Instant::now() + STEP_TIMEOUT;
    while service.account("a").1 == 0 {
        assert!(Instant::now() < end, "the deposit is applied");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// A keep-alive connection falls silent for good. The next request on it never gets a response; one
// on a new connection does.
#[tokio::test]
async fn silence_affects_only_open_connections() {
    let service = start().await;
    let client = reqwest::Client::new();
    let health = url(&service, "/health");
    let first = client
        .get(&health)
        .send()
        .await
        .expect("the service responds");
    first.bytes().await.expect("the body is read");
    service.inject_fault(Fault {
        silence: true,
        ..Fault::default()
    });
    let second = timeout(Duration::from_millis(150), client.get(&health).send()).await;
    assert!(second.is_err(), "the keep-alive connection is silent");
    assert_eq!(get(&service, "/health").await, json!({"ok": true}));
}
