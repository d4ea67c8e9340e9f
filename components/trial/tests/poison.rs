//! Poisonous requests, which crash each engine or service that runs them, with real daemons over
//! loopback.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fakes::{
    engine,
    service, //
};
use reqwest::StatusCode;
use serde_json::{
    Value,
    json, //
};
use tokio::{
    task::JoinHandle,
    time::timeout, //
};
use trial::Trial;

const DOCUMENT: &str = "\
environment: production
services:
  - name: draft
    kind: engine
    model: m
    versions:
      - {name: v1, servers: ['draft-*']}
  - name: ledger
    kind: plain
    versions:
      - {name: v1, servers: ['ledger-*']}
routes:
  - {name: letters, match: {path: /v1/}, service: draft, version: v1}
  - {name: ledger, match: {path: /svc/ledger}, service: ledger, version: v1}
";

const ENGINE_COUNT: usize = 4;

/// Number of times that a poisonous call is sent.
const POISONOUS_CALLS: usize = 12;

/// Time limit of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// System with two entries, and with engines or plain services.
struct System(Trial);

impl System {
    async fn start(engines: usize, services: usize) -> Self {
        let mut trial = Trial::start().await.unwrap();
        for number in 0..engines {
            let settings = engine::Settings {
                token_interval: Duration::from_millis(40),
                ..engine::Settings::default()
            };
            let name = format!("draft-{number}");
            trial.start_engine(&name, "dc1", settings).await.unwrap();
        }
        for number in 0..services {
            let name = format!("ledger-{number}");
            let settings = service::Settings::default();
            let replica = trial.start_service(&name, "dc1", "ledger", settings);
            replica.await.unwrap();
        }
        for name in ["entry-a", "entry-b"] {
            trial.start_entry(name, "dc1").await.unwrap();
        }
        let revision = trial.put_document(0, "production", DOCUMENT).await.unwrap();
        trial.wait_ready(revision).await.unwrap();
        Self(trial)
    }

    fn complete(
        &self,
        entry: usize,
        prompt: &str,
        max_tokens: u64,
    ) -> JoinHandle<(StatusCode, Value)> {
        let address = format!("{}/v1/completions", self.0.callers_url(entry));
        let body = json!({"model": "m", "prompt": prompt, "max_tokens": max_tokens, "seed": 7});
        let request = self.0.client.post(address).json(&body);
        tokio::spawn(async move {
            let answer = timeout(RESPONSE_TIMEOUT, request.send())
                .await
                .unwrap()
                .unwrap();
            (answer.status(), answer.json().await.unwrap_or_default())
        })
    }

    async fn dead_engines(&self) -> usize {
        let engines = self.0.engines.iter().map(engine::Engine::address);
        self.count_dead(engines.collect()).await
    }

    async fn dead_services(&self) -> usize {
        let services = self.0.services.iter().map(service::Service::address);
        self.count_dead(services.collect()).await
    }

    async fn count_dead(&self, addresses: Vec<SocketAddr>) -> usize {
        let mut dead = 0;
        for address in addresses {
            let health = format!("http://{address}/health");
            dead += usize::from(self.0.client.get(health).send().await.is_err());
        }
        dead
    }
}

/// A request crashes each engine that runs it, while other requests are in progress, and its caller
/// repeats it through both entries. Every other caller must get its whole answer, and only two
/// engines may be lost.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_poisonous_request_costs_two_engines_and_no_other_answer(
    #[values(1, 8, 30)] normal_requests: usize,
) {
    let system = System::start(ENGINE_COUNT, 0).await;
    for engine in &system.0.engines {
        engine.inject_fault(engine::Fault {
            crash_on: Some("poison".into()),
            ..engine::Fault::default()
        });
    }
    let prompts: Vec<String> = (0..normal_requests * ENGINE_COUNT)
        .map(|n| format!("letter {n}"))
        .collect();
    let length = 60;
    let mut answers = Vec::new();
    for (number, prompt) in prompts.iter().enumerate() {
        answers.push(system.complete(number % 2, prompt, length));
        if number == prompts.len() / 2 {
            answers.push(system.complete(0, "poison", length));
        }
    }
    let poison = answers.remove(prompts.len() / 2 + 1);
    let (status, body) = poison.await.unwrap();
    assert!(
        status.is_client_error() || status.is_server_error(),
        "{body}"
    );
    for attempt in 0..6 {
        let (status, body) = system
            .complete(attempt % 2, "poison", length)
            .await
            .unwrap();
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{body}");
        assert_eq!(body["error"]["run"], "not_run");
    }
    for (prompt, answer) in prompts.iter().zip(answers) {
        let (status, body) = answer.await.unwrap();
        assert_eq!(status, StatusCode::OK, "{prompt}: {body}");
        let tokens = 0..engine::answer_length(prompt, 7, length);
        let expected: String = tokens.map(|i| engine::token(prompt, 7, "v1", i)).collect();
        assert_eq!(body["choices"][0]["text"], expected, "{prompt}");
    }
    assert_eq!(system.dead_engines().await, 2);
}

/// A deposit crashes each service that runs it, and its caller repeats it with new keys. Only two
/// services may be lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_poisonous_call_costs_two_services() {
    let system = System::start(0, 3).await;
    for service in &system.0.services {
        service.inject_fault(service::Fault {
            crash_on: Some("poison".into()),
            ..service::Fault::default()
        });
    }
    let mut codes = Vec::new();
    for send in 0..POISONOUS_CALLS {
        let address = format!("{}/svc/ledger/deposits", system.0.callers_url(send % 2));
        let request = system
            .0
            .client
            .post(address)
            .body(r#"{"account":"poison","amount":5}"#);
        let request = request.header("idempotency-key", format!("k{send}"));
        let body: Value = request.send().await.unwrap().json().await.unwrap();
        let code = body["error"]["code"].as_str().unwrap_or("ran").to_string();
        let run = body["error"]["run"].as_str().unwrap_or("ran").to_string();
        // An entry that doesn't know of a death yet may choose the dead service; nothing runs then.
        if code == "unavailable" {
            assert_eq!(run, "not_run", "{body}");
            continue;
        }
        codes.push(code);
    }
    let unknown = codes.iter().take_while(|code| *code == "unknown").count();
    assert_eq!(unknown, 2, "{codes:?}");
    assert!(codes.len() >= 6, "{codes:?}");
    assert!(codes[2..].iter().all(|code| code == "refused"), "{codes:?}");
    assert_eq!(system.dead_services().await, 2);
}
