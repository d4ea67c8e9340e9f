//! Interfaces of the host list and the weight store.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fakes::platform::{
    self as fake,
    Fault,
    Platform,
    Settings, //
};
use rstest::rstest;
use serde_json::json;
use store::{
    Client,
    Error,
    hosts::{
        Role,
        State, //
    }, //
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn host(name: &str) -> fake::Host {
    fake::Host {
        name: name.to_string(),
        data_centre: "dc1".to_string(),
        region: "r1".to_string(),
        role: fake::Role::Sidecar,
        address: SocketAddr::from(([127, 0, 0, 1], 7001)),
        state: fake::State::Leaving,
    }
}

async fn start() -> (Platform, Client) {
    let platform = Platform::start(Settings {
        hosts: vec![host("a")],
        ..Settings::default()
    });
    let platform = platform.await.expect("loopback can be bound");
    let base_url = format!("http://{}", platform.address());
    let client = Client::new(&base_url, TEST_TIMEOUT).expect("the base is a URL");
    (platform, client)
}

async fn names(client: &Client) -> Vec<String> {
    let hosts = client.hosts().await.expect("the platform answers");
    hosts.into_iter().map(|host| host.name).collect()
}

#[tokio::test]
async fn hosts_are_read_with_all_fields() {
    let (_platform, client) = start().await;
    let hosts = client.hosts().await.expect("the platform answers");
    assert_eq!(hosts[0].name, "a");
    assert_eq!(hosts[0].data_centre, "dc1");
    assert_eq!(hosts[0].role, Role::Sidecar);
    assert_eq!(hosts[0].state, State::Leaving);
    assert_eq!(hosts[0].address.port(), 7001);
}

#[tokio::test]
async fn host_list_is_edited_over_http() {
    let (platform, client) = start().await;
    let url = format!("http://{}/hosts", platform.address());
    let http = reqwest::Client::new();
    let post = http.post(&url).json(&host("b")).send().await;
    assert_eq!(post.expect("an answer").status(), 200);
    assert_eq!(names(&client).await, ["a", "b"]);
    let delete = http.delete(format!("{url}?name=a")).send().await;
    assert_eq!(delete.expect("an answer").status(), 200);
    assert_eq!(names(&client).await, ["b"]);
    let put = http.put(&url).json(&json!({ "hosts": [host("c")] }));
    assert_eq!(put.send().await.expect("an answer").status(), 200);
    assert_eq!(names(&client).await, ["c"]);
}

/// The host list lags, is frozen, or is empty by mistake. A reader that trusts it would send work
/// to hosts that no longer exist, or drop every host at once.
#[rstest]
#[case::lag(Fault { hosts_lag_ms: Some(3_600_000), ..Fault::default() }, &["a"])]
#[case::stale(Fault { hosts_stale: true, ..Fault::default() }, &["a"])]
#[case::empty(Fault { hosts_empty: true, ..Fault::default() }, &[])]
#[case::outage_of_the_store(Fault { outage: true, ..Fault::default() }, &["b"])]
#[tokio::test]
async fn faults_of_the_host_list(#[case] fault: Fault, #[case] listed: &[&str]) {
    let (platform, client) = start().await;
    platform.inject_fault(fault);
    platform.set_hosts(vec![host("b")]);
    assert_eq!(names(&client).await, listed);
    platform.inject_fault(Fault {
        clear: true,
        ..Fault::default()
    });
    assert_eq!(names(&client).await, ["b"]);
}

#[tokio::test]
async fn weights_depend_on_model_and_version() {
    let (_platform, client) = start().await;
    let one = client.weights("m", "v1").await.expect("the weights");
    let again = client.weights("m", "v1").await.expect("the weights");
    let other = client.weights("m", "v2").await.expect("the weights");
    assert_eq!(one.len(), 64 << 10);
    assert_eq!(one, again);
    assert_ne!(one, other);
}

#[tokio::test]
async fn weights_are_rate_limited() {
    let (platform, client) = start().await;
    platform.inject_fault(Fault {
        weights_per_s: Some(0.5),
        ..Fault::default()
    });
    let refused = client.weights("m", "v1").await;
    let retry_after = Duration::from_secs(1);
    assert_eq!(refused, Err(Error::RateLimited { retry_after }));
}
