//! What the tests over a whole system share.

#![allow(dead_code)]

pub mod letter;
pub mod relay;

use std::time::Duration;

use fakes::engine::{
    self,
    Settings, //
};
use trial::Trial;

/// The document of these tests: one model, one ledger.
pub const DOCUMENT: &str = "\
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
  - {name: letters, match: {path: /v1/, model: m}, service: draft, version: v1}
  - {name: payouts, match: {path: /svc/ledger}, service: ledger, version: v1}
";

/// Tokens of a letter.
pub const LENGTH: u64 = 40;

/// A seed whose letter has [`LENGTH`] tokens, and its text.
pub fn whole_letter(from: u64) -> (u64, Vec<String>) {
    let mut seeds = from..;
    let seed = seeds.find(|seed| engine::answer_length("p", *seed, LENGTH) == LENGTH);
    let seed = seed.expect("most letters are whole");
    (seed, known("p", seed, LENGTH))
}

/// A system of entries and engines that take 10 ms a token, ready.
pub async fn desk(entries: usize, engines: usize, document: &str) -> Trial {
    let mut trial = Trial::start().await.expect("a platform");
    for number in 0..engines {
        let settings = Settings {
            token_interval: Duration::from_millis(10),
            first_token: Duration::from_millis(10),
            ..Settings::default()
        };
        let name = format!("draft-{number}");
        let data_centre = format!("dc{}", number % 3 + 1);
        let engine = trial.start_engine(&name, &data_centre, settings);
        engine.await.expect("an engine");
    }
    for number in 0..entries {
        let name = format!("entry-{number}");
        trial.start_entry(&name, "dc1").await.expect("an entry");
    }
    if entries > 0 {
        let revision = trial
            .put_document(0, "production", document)
            .await
            .expect("put");
        trial.wait_ready(revision).await.expect("ready");
    }
    trial
}

/// A system of one entry and some engines, ready.
pub async fn system(engines: usize) -> Trial {
    let mut trial = Trial::start().await.expect("a platform");
    for number in 0..engines {
        let settings = Settings {
            token_interval: Duration::from_millis(2),
            first_token: Duration::from_millis(2),
            ..Settings::default()
        };
        let name = format!("draft-{number}");
        let data_centre = format!("dc{}", number % 3 + 1);
        trial
            .start_engine(&name, &data_centre, settings)
            .await
            .expect("an engine");
    }
    trial.start_entry("entry-0", "dc1").await.expect("an entry");
    let revision = trial
        .put_document(0, "production", DOCUMENT)
        .await
        .expect("put");
    trial.wait_ready(revision).await.expect("ready");
    trial
}

/// The stand-in's text for a request.
pub fn known(prompt: &str, seed: u64, max_tokens: u64) -> Vec<String> {
    (0..engine::answer_length(prompt, seed, max_tokens))
        .map(|index| engine::token(prompt, seed, "v1", index))
        .collect()
}
