//! A booking desk on stand-ins, over loopback: two replicas and two entries.

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

/// Replicas of the service.
pub(super) const REPLICAS: usize = 2;

/// Pace at which conditions are looked at.
pub(super) const PACE: Duration = Duration::from_millis(1);

/// What a caller was told, and after which time.
#[derive(Clone, Debug)]
pub(super) struct Told {
    pub(super) run: String,
    pub(super) took: Duration,
}

/// Two entries, two replicas, one platform.
pub(super) struct Desk(pub(super) Trial);

impl Desk {
    pub(super) async fn open() -> Self {
        let mut trial = Trial::start().await.expect("a trial starts");
        for number in 0..REPLICAS {
            let name = format!("ledger-{number}");
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
            .wait_ready(revision.expect("the document is taken"))
            .await;
        ready.expect("the trial gets ready");
        Self(trial)
    }

    /// Sends a deposit.
    pub(super) fn send(&self, entry: usize, key: Option<&str>) -> JoinHandle<Told> {
        let address = format!("{}/svc/ledger/deposits", self.0.callers_url(entry));
        let body = json!({"account": "a", "amount": 5}).to_string();
        let mut request = self.0.client.post(address).body(body);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        tokio::spawn(async move {
            let begun = Instant::now();
            let run = match request.send().await {
                Ok(response) => run(response).await,
                Err(_) => "no answer".into(),
            };
            Told {
                run,
                took: begun.elapsed(),
            }
        })
    }

    pub(super) async fn deposit(&self, entry: usize, key: Option<&str>) -> Told {
        self.send(entry, key).await.expect("no task panics")
    }

    pub(super) fn store(&self, fault: platform::Fault) {
        self.0.platform.inject_fault(fault);
    }

    /// Waits until a service was handed a call; gives its number.
    pub(super) async fn handed(&self) -> usize {
        loop {
            let mut services = self.0.services.iter();
            if let Some(replica) = services.position(|service| !service.calls().is_empty()) {
                return replica;
            }
            sleep(PACE).await;
        }
    }

    /// Hand-overs that the services saw, of calls with this key.
    pub(super) fn calls(&self, key: Option<&str>) -> usize {
        let services = self.0.services.iter();
        let calls = services.flat_map(|service| service.calls());
        calls.filter(|call| call.key.as_deref() == key).count()
    }
}

async fn run(response: reqwest::Response) -> String {
    if response.status().is_success() {
        return "ran".into();
    }
    let body: Value = response.json().await.unwrap_or_default();
    let run = body["error"]["run"].as_str();
    run.unwrap_or("no answer").to_string()
}
