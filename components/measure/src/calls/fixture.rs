//! Test system for the measurements of calls, over loopback: two entries, and two replicas of a
//! fake ledger service.

use std::time::Duration;

use fakes::{
    platform,
    service, //
};
use serde_json::{
    Value,
    json, //
};
use tokio::{
    task::JoinHandle,
    time::{
        Instant,
        sleep, //
    },
};
use trial::Trial;

const DOCUMENT: &str = "\
environment: production
services:
  - name: ledger
    kind: plain
    versions:
      - {name: v1, servers: ['ledger-*']}
routes:
  - {name: ledger, match: {path: /svc/ledger}, service: ledger, version: v1}
";

/// Number of replicas of the ledger service.
pub(super) const REPLICA_COUNT: usize = 2;

/// Time between two checks of a condition.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A caller's result of a call.
#[derive(Clone, Debug)]
pub(super) struct CallResult {
    /// Whether the call ran: "ran", or the value in the error response, or "no answer".
    pub(super) outcome: String,
    /// Time until the response arrived.
    pub(super) latency: Duration,
}

/// Two entries, two replicas with their sidecars, and one platform.
pub(super) struct Fixture(pub(super) Trial);

impl Fixture {
    /// Starts the system and waits until it is ready.
    pub(super) async fn start() -> Self {
        let mut trial = Trial::start().await.expect("a trial starts");
        for index in 0..REPLICA_COUNT {
            let name = format!("ledger-{index}");
            let settings = service::Settings::default();
            let started = trial.start_service(&name, "dc1", "ledger", settings).await;
            started.expect("a service starts");
        }
        for name in ["entry-a", "entry-b"] {
            let started = trial.start_entry(name, "dc1").await;
            started.expect("an entry starts");
        }
        let revision = trial.put_document(0, "production", DOCUMENT).await;
        let ready = trial
            .wait_ready(revision.expect("the platform accepts the document"))
            .await;
        ready.expect("the trial becomes ready");
        Self(trial)
    }

    /// Sends a deposit to an entry, with an idempotency key if one is given.
    pub(super) fn send(&self, entry: usize, key: Option<&str>) -> JoinHandle<CallResult> {
        let address = format!("{}/svc/ledger/deposits", self.0.callers_url(entry));
        let body = json!({"account": "a", "amount": 5}).to_string();
        let mut request = self.0.client.post(address).body(body);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        tokio::spawn(async move {
            let begun = Instant::now();
            let outcome = match request.send().await {
                Ok(response) => read_outcome(response).await,
                Err(_) => "no answer".into(),
            };
            CallResult {
                outcome,
                latency: begun.elapsed(),
            }
        })
    }

    /// Sends a deposit and waits for the result.
    pub(super) async fn deposit(&self, entry: usize, key: Option<&str>) -> CallResult {
        self.send(entry, key).await.expect("no task panics")
    }

    /// Injects a fault into the platform's store.
    pub(super) fn inject_store_fault(&self, fault: platform::Fault) {
        self.0.platform.inject_fault(fault);
    }

    /// Waits until a replica has received a call; returns its index.
    pub(super) async fn wait_for_call(&self) -> usize {
        loop {
            let mut services = self.0.services.iter();
            if let Some(replica) = services.position(|service| !service.calls().is_empty()) {
                return replica;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns how often the replicas received calls with this key.
    pub(super) fn calls(&self, key: Option<&str>) -> usize {
        let services = self.0.services.iter();
        let calls = services.flat_map(|service| service.calls());
        calls.filter(|call| call.key.as_deref() == key).count()
    }
}

async fn read_outcome(response: reqwest::Response) -> String {
    if response.status().is_success() {
        return "ran".into();
    }
    let body: Value = response.json().await.unwrap_or_default();
    let outcome = body["error"]["run"].as_str();
    outcome.unwrap_or("no answer").to_string()
}
