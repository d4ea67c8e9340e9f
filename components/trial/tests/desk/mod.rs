//! A desk on stand-ins over loopback, for the tests of calls that run at most once.

// Each test file uses a part of it.
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
pub const LIMIT: Duration = Duration::from_secs(20);

/// A refusal must come long before a caller's deadline.
pub const AT_ONCE: Duration = Duration::from_secs(8);

/// Longest times of a call.
pub struct Times {
    pub entry: Duration,
    pub sidecar: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            entry: Duration::from_secs(30),
            sidecar: Duration::from_secs(30),
        }
    }
}

/// Two entries, and replicas of the ledger that share no state.
pub struct Desk(pub Trial);

/// What a caller got.
#[derive(Debug)]
pub struct Told {
    pub status: StatusCode,
    pub body: Value,
    pub replayed: bool,
    pub retry_after: bool,
    pub took: Duration,
}

impl Told {
    pub fn run(&self) -> &str {
        match self.body["error"]["run"].as_str() {
            Some(run) => run,
            None => "ran",
        }
    }
}

impl Desk {
    pub async fn open(replicas: usize) -> Self {
        Self::open_with(replicas, Times::default()).await
    }

    pub async fn open_with(replicas: usize, times: Times) -> Self {
        let trial = Self::replicas(replicas, &times).await;
        Self::entries(trial, times).await
    }

    /// A trial with its services and no entry yet.
    pub async fn replicas(replicas: usize, times: &Times) -> Trial {
        let mut trial = Trial::start().await.unwrap();
        for number in 0..replicas {
            let name = format!("ledger-{number}");
            let service = Service::start(service::Settings::default()).await.unwrap();
            let mut settings = sidecar_settings(&name, "dc1", trial.platform.address());
            settings.server.address = format!("http://{}", service.address());
            settings.server.kind = Kind::Plain;
            settings.server.service = "ledger".into();
            settings.times.call = times.sidecar;
            trial.services.push(service);
            trial.start_sidecar(settings).await.unwrap();
        }
        trial
    }

    /// Adds the entries to a trial that has its services.
    pub async fn entries(mut trial: Trial, times: Times) -> Self {
        for name in ["entry-a", "entry-b"] {
            let mut settings = entry_settings(name, "dc1", trial.platform.address());
            settings.times.call = times.entry;
            trial.start_entry_with(settings).await.unwrap();
        }
        let revision = trial.put_document(0, "production", DOCUMENT).await.unwrap();
        trial.wait_ready(revision).await.unwrap();
        Self(trial)
    }

    /// Sends a deposit; the returned task ends with what the caller was told.
    pub fn send(
        &self,
        entry: usize,
        key: Option<&str>,
        amount: i64,
    ) -> tokio::task::JoinHandle<Told> {
        let address = format!("{}/svc/ledger/deposits", self.0.callers_url(entry));
        let body = json!({"account": "a", "amount": amount}).to_string();
        let mut request = self.0.client.post(address).body(body);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        tokio::spawn(async move {
            let begun = Instant::now();
            let response = request.send().await.unwrap();
            Told {
                status: response.status(),
                replayed: response.headers().contains_key("x-medlarhatch-replayed"),
                retry_after: response.headers().contains_key("retry-after"),
                body: response.json().await.unwrap(),
                took: begun.elapsed(),
            }
        })
    }

    pub async fn deposit(&self, entry: usize, key: Option<&str>) -> Told {
        self.send(entry, key, 5).await.unwrap()
    }

    pub async fn ask(&self, entry: usize, path: &str) -> Value {
        let address = format!("{}{path}", self.0.callers_url(entry));
        let answer = self.0.client.get(address).send().await.unwrap();
        answer.json().await.unwrap()
    }

    /// Deposits that any replica took.
    pub fn taken(&self) -> u64 {
        let services = self.0.services.iter();
        services.map(|service| service.account("a").1).sum()
    }

    /// The replica that was handed a call, once there is one.
    pub async fn handed(&self) -> usize {
        until("a call reaches a service", async || {
            let mut services = self.0.services.iter();
            services.position(|service| !service.calls().is_empty())
        })
        .await
    }

    pub fn services(&self, fault: &service::Fault) {
        for service in &self.0.services {
            service.inject_fault(fault.clone());
        }
    }

    pub async fn store_writes(&self, more_than: u64) {
        until("the store is asked to write", async || {
            (self.0.platform.counts().writes > more_than).then_some(())
        })
        .await;
    }
}

pub async fn until<T>(what: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = condition().await {
            return found;
        }
        assert!(begun.elapsed() < LIMIT, "not in time: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

pub fn slow(millis: u64) -> service::Fault {
    service::Fault {
        slow_ms: Some(millis),
        ..service::Fault::default()
    }
}

pub fn clear(desk: &Desk) {
    desk.0.platform.inject_fault(platform::Fault {
        clear: true,
        ..platform::Fault::default()
    });
}

/// Sends a key again until it has run; nothing on the way may say `unknown` for good.
pub async fn runs_in_the_end(desk: &Desk, key: &str, taken: u64) {
    let told = until("the key runs", async || {
        let told = desk.deposit(1, Some(key)).await;
        (told.run() == "ran").then_some(told)
    })
    .await;
    assert_eq!(told.status, StatusCode::CREATED);
    assert_eq!(desk.taken(), taken);
}

/// Waits until the outcome of a call is recorded.
pub async fn recorded(desk: &Desk, key: &str) {
    let path = format!("/v1/calls/{key}?service=ledger");
    until("the outcome is recorded", async || {
        (desk.ask(1, &path).await["outcome"] == "ran").then_some(())
    })
    .await;
}
