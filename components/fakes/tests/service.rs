//! The plain service's contract, case by case, over HTTP.

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

/// Far beyond what any step takes on a busy machine.
const LONG: Duration = Duration::from_secs(30);

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
    let response = reqwest::get(url(service, path)).await.expect("an answer");
    response.json().await.expect("the body is JSON")
}

#[tokio::test]
async fn each_deposit_is_taken_once_more() {
    let service = start().await;
    for number in 1..=3 {
        let (status, body) = deposit(&service, Some("k")).await.expect("an answer");
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
async fn status_versions_grow_with_posts() {
    let service = start().await;
    reqwest::Client::new()
        .post(url(&service, "/status/7"))
        .send()
        .await
        .expect("an answer");
    let status = get(&service, "/status/7").await;
    assert_eq!(status, json!({"id": "7", "reads": 1, "version": 1}));
    assert_eq!(get(&service, "/health").await, json!({"ok": true}));
}

// The booking desk dies right before or right after it took a deposit, or on a request that it
// can't bear. Its caller sees the same in each case: a closed connection.
#[rstest]
#[case::before(Fault { die_before_take: true, ..Fault::default() }, 0)]
#[case::after(Fault { die_after_take: true, ..Fault::default() }, 1)]
#[case::at_once(Fault { die: true, ..Fault::default() }, 0)]
#[case::crash(Fault { crash_on: Some("account".to_string()), ..Fault::default() }, 0)]
#[tokio::test]
async fn deaths(#[case] fault: Fault, #[case] taken: u64) {
    let service = start().await;
    service.fault(fault);
    let answer = deposit(&service, None).await;
    assert!(answer.is_err(), "{answer:?}");
    timeout(LONG, service.dead()).await.expect("it is dead");
    assert_eq!(service.account("a").1, taken);
}

#[rstest]
#[case::fails(Fault { fail_share: Some(1.0), ..Fault::default() }, 500, 0)]
#[case::drops_repeats(Fault { drop_repeats: true, ..Fault::default() }, 201, 1)]
#[case::clear(Fault { clear: true, ..Fault::default() }, 201, 2)]
#[tokio::test]
async fn faults_of_answers(#[case] fault: Fault, #[case] status: u16, #[case] taken: u64) {
    let service = start().await;
    service.fault(fault);
    for _ in 0..2 {
        let (answered, _) = deposit(&service, Some("k")).await.expect("an answer");
        assert_eq!(answered, status);
    }
    assert_eq!(service.account("a").1, taken);
}

// The desk's process stands still while it has a deposit before it; its caller gives up, and the
// desk takes the money when it wakes. A caller that was told "not run" would pay twice.
#[rstest]
#[case::pause(Fault { pause_ms: Some(300), ..Fault::default() })]
#[case::slow(Fault { slow_ms: Some(300), ..Fault::default() })]
#[tokio::test]
async fn deposit_lands_after_its_caller_gave_up(#[case] fault: Fault) {
    let service = start().await;
    service.fault(fault);
    let gave_up = timeout(Duration::from_millis(100), deposit(&service, None)).await;
    assert!(gave_up.is_err());
    let end = Instant::now() + LONG;
    while service.account("a").1 == 0 {
        assert!(Instant::now() < end, "the deposit lands");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// A kept connection goes silent for good; the next call on it is never answered, one on a new
// connection is.
#[tokio::test]
async fn silence_holds_open_connections() {
    let service = start().await;
    let client = reqwest::Client::new();
    let health = url(&service, "/health");
    let first = client.get(&health).send().await.expect("an answer");
    first.bytes().await.expect("a body");
    service.fault(Fault {
        silence: true,
        ..Fault::default()
    });
    let kept = timeout(Duration::from_millis(150), client.get(&health).send()).await;
    assert!(kept.is_err(), "the kept connection is silent");
    assert_eq!(get(&service, "/health").await, json!({"ok": true}));
}
