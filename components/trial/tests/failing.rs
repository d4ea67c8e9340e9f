//! Load balancing around backend servers that fail fast, with real daemons over loopback.

use fakes::service;
use reqwest::StatusCode;
use rstest::rstest;
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

const CALL_COUNT: usize = 100;

// One of three replicas fails each call at once, or is dead and refuses connections while its
// sidecar is alive. Such a replica always looks idle and fast; a balancer that preferred it would
// fail a third of the calls or more.
#[rstest]
#[case::fails(service::Fault { fail_share: Some(1.0), ..service::Fault::default() })]
#[case::dead(service::Fault { die: true, ..service::Fault::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_fails_fast_is_avoided(#[case] fault: service::Fault) {
    let mut trial = Trial::start().await.unwrap();
    for number in 0..3 {
        let settings = service::Settings::default();
        let name = format!("ledger-{number}");
        let replica = trial.start_service(&name, "dc1", "ledger", settings);
        replica.await.unwrap();
    }
    trial.start_entry("entry-a", "dc1").await.unwrap();
    let revision = trial.put_document(0, "production", DOCUMENT).await.unwrap();
    trial.wait_ready(revision).await.unwrap();
    trial.services[0].inject_fault(fault);
    let mut failed = 0;
    for number in 0..CALL_COUNT {
        let address = format!("{}/svc/ledger/deposits", trial.callers_url(0));
        let request = trial
            .client
            .post(address)
            .header("idempotency-key", format!("k{number}"))
            .body(r#"{"account":"a","amount":5}"#);
        let answer = request.send().await.unwrap();
        failed += usize::from(answer.status() != StatusCode::CREATED);
    }
    // Five failures in a row eject the replica; a few probes may follow.
    assert!(failed <= 8, "{failed} of {CALL_COUNT} calls failed");
}
