//! System with a ledger service on stand-ins, for the tests of at-most-once calls.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::time::Duration;

use fakes::{
    platform,
    service::{
        self,
        Service, //
    }, //
};
use reqwest::StatusCode;
use serde_json::{
    Value,
    json, //
};
use settings::sidecar::Kind;
use tokio::time::{
    Instant,
    sleep, //
};
use trial::{
    Trial,
    trial::{
        entry_settings,
        sidecar_settings, //
    },
};

pub const DOCUMENT: &str = "\
environment: production
services:
  - name: ledger
    kind: plain
    versions:
      - {name: v1, servers: ['ledger-*']}
routes:
  - {name: ledger, match: {path: /svc/ledger}, service: ledger, version: v1}
";

/// Longest wait for a condition.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit of a refusal, long before the caller's deadline.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_secs(8);

/// Call timeouts of entries and sidecars.
pub struct Timeouts {
    pub entry: Duration,
    pub sidecar: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            entry: Duration::from_secs(30),
            sidecar: Duration::from_secs(30),
        }
    }
}

/// System with two entries, and replicas of the ledger that share no state.
pub struct Ledger(pub Trial);

/// Response to a call.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub body: Value,
    pub replayed: bool,
    pub retry_after: bool,
    pub elapsed: Duration,
}

impl Reply {
    /// Returns the error's `run` field, or `ran` if there is none.
    pub fn run(&self) -> &str {
        match self.body["error"]["run"].as_str() {
            Some(run) => run,
            None => "ran",
        }
    }
}

impl Ledger {
    pub async fn start(replicas: usize) -> Self {
        Self::start_with(replicas, Timeouts::default()).await
    }

    pub async fn start_with(replicas: usize, timeouts: Timeouts) -> Self {
        let trial = Self::start_replicas(replicas, &timeouts).await;
        Self::start_entries(trial, timeouts).await
    }

    /// Starts a trial with replicas and without entries.
    pub async fn start_replicas(replicas: usize, timeouts: &Timeouts) -> Trial {
        let mut trial = Trial::start().await.unwrap();
        for number in 0..replicas {
            let name = format!("ledger-{number}");
            let service = Service::start(service::Settings::default()).await.unwrap();
            let mut settings = sidecar_settings(&name, "dc1", trial.platform.address());
            settings.server.address = format!("http://{}", service.address());
            settings.server.kind = Kind::Plain;
            settings.server.service = "ledger".into();
            settings.times.call = timeouts.sidecar;
            trial.services.push(service);
            trial.start_sidecar(settings).await.unwrap();
        }
        trial
    }

    /// Starts the entries of a trial that has its replicas.
    pub async fn start_entries(mut trial: Trial, timeouts: Timeouts) -> Self {
        for name in ["entry-a", "entry-b"] {
            let mut settings = entry_settings(name, "dc1", trial.platform.address());
            settings.times.call = timeouts.entry;
            trial.start_entry_with(settings).await.unwrap();
        }
        let revision = trial.put_document(0, "production", DOCUMENT).await.unwrap();
        trial.wait_ready(revision).await.unwrap();
        Self(trial)
    }

    /// Sends a deposit in a task that returns the reply.
    pub fn send(
        &self,
        entry: usize,
        key: Option<&str>,
        amount: i64,
    ) -> tokio::task::JoinHandle<Reply> {
        let address = format!("{}/svc/ledger/deposits", self.0.callers_url(entry));
        let body = json!({"account": "a", "amount": amount}).to_string();
        let mut request = self.0.client.post(address).body(body);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        tokio::spawn(async move {
            let started = Instant::now();
            let response = request.send().await.unwrap();
            Reply {
                status: response.status(),
                replayed: response.headers().contains_key("x-medlarhatch-replayed"),
                retry_after: response.headers().contains_key("retry-after"),
                body: response.json().await.unwrap(),
                elapsed: started.elapsed(),
            }
        })
    }

    pub async fn deposit(&self, entry: usize, key: Option<&str>) -> Reply {
        self.send(entry, key, 5).await.unwrap()
    }

    pub async fn get(&self, entry: usize, path: &str) -> Value {
        let address = format!("{}{path}", self.0.callers_url(entry));
        let answer = self.0.client.get(address).send().await.unwrap();
        answer.json().await.unwrap()
    }

    /// Returns the number of deposits applied by all replicas.
    pub fn deposits(&self) -> u64 {
        let services = self.0.services.iter();
        services.map(|service| service.account("a").1).sum()
    }

    /// Waits until a call reaches a service and returns the number of its replica.
    pub async fn wait_for_forward(&self) -> usize {
        wait_for("a call to reach a service", async || {
            let mut services = self.0.services.iter();
            services.position(|service| !service.calls().is_empty())
        })
        .await
    }

    /// Injects a fault into all replicas.
    pub fn inject_service_fault(&self, fault: &service::Fault) {
        for service in &self.0.services {
            service.inject_fault(fault.clone());
        }
    }

    /// Waits until the store has received more than the given number of writes.
    pub async fn wait_for_store_write(&self, more_than: u64) {
        wait_for("a write to the store", async || {
            (self.0.platform.counts().writes > more_than).then_some(())
        })
        .await;
    }
}

/// Polls a condition until it returns a value.
pub async fn wait_for<T>(what: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "timed out waiting for {what}"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

/// Returns a fault that delays calls to a service.
pub fn slow_fault(millis: u64) -> service::Fault {
    service::Fault {
        slow_ms: Some(millis),
        ..service::Fault::default()
    }
}

/// Clears the platform's faults.
pub fn clear_platform_faults(ledger: &Ledger) {
    ledger.0.platform.inject_fault(platform::Fault {
        clear: true,
        ..platform::Fault::default()
    });
}

/// Repeats a call until it has run, and checks the number of deposits. Fails if the call stays
/// `unknown`.
pub async fn retry_until_run(ledger: &Ledger, key: &str, deposits: u64) {
    let reply = wait_for("the call to run", async || {
        let reply = ledger.deposit(1, Some(key)).await;
        (reply.run() == "ran").then_some(reply)
    })
    .await;
    assert_eq!(reply.status, StatusCode::CREATED);
    assert_eq!(ledger.deposits(), deposits);
}

/// Waits until the outcome of a call is recorded.
pub async fn wait_until_recorded(ledger: &Ledger, key: &str) {
    let path = format!("/v1/calls/{key}?service=ledger");
    wait_for("the outcome to be recorded", async || {
        (ledger.get(1, &path).await["outcome"] == "ran").then_some(())
    })
    .await;
}
