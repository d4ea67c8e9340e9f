//! Helpers shared by the tests of a whole system.

#![allow(dead_code)]

pub mod reader;
pub mod relay;

use std::time::Duration;

use fakes::engine::{
    self,
    Settings, //
};
use trial::{
    Trial,
    trial::entry_settings, //
};

/// Document with one model and one ledger.
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

/// Value of `max_tokens` in requests.
pub const MAX_TOKENS: u64 = 40;

/// Returns the first seed from `first_seed` on whose answer has [`MAX_TOKENS`] tokens, and these
/// tokens.
pub fn full_length_answer(first_seed: u64) -> (u64, Vec<String>) {
    let mut seeds = first_seed..;
    let seed = seeds.find(|seed| engine::answer_length("p", *seed, MAX_TOKENS) == MAX_TOKENS);
    let seed = seed.expect("most answers reach max_tokens");
    (seed, expected_tokens("p", seed, MAX_TOKENS))
}

/// Starts a system of entries and engines that take 10 ms per token. If it has entries, puts the
/// document and waits until the system is ready.
pub async fn start_system(entries: usize, engines: usize, document: &str) -> Trial {
    let mut trial = Trial::start().await.expect("the platform starts");
    for number in 0..engines {
        let settings = Settings {
            token_interval: Duration::from_millis(10),
            first_token: Duration::from_millis(10),
            ..Settings::default()
        };
        let name = format!("draft-{number}");
        let data_centre = format!("dc{}", number % 3 + 1);
        let engine = trial.start_engine(&name, &data_centre, settings);
        engine.await.expect("the engine starts");
    }
    for number in 0..entries {
        let name = format!("entry-{number}");
        trial
            .start_entry(&name, "dc1")
            .await
            .expect("the entry starts");
    }
    if entries > 0 {
        let revision = trial
            .put_document(0, "production", document)
            .await
            .expect("the document is accepted");
        trial
            .wait_ready(revision)
            .await
            .expect("the system becomes ready");
    }
    trial
}

/// Starts a system of one entry and engines that take 2 ms per token, and waits until it is ready.
pub async fn start_single_entry(engines: usize) -> Trial {
    start_draining_within(engines, None).await
}

/// Starts a system like [`start_single_entry`] whose entry has another drain time, if one is given.
pub async fn start_draining_within(engines: usize, drain: Option<Duration>) -> Trial {
    let mut trial = Trial::start().await.expect("the platform starts");
    let mut entry = entry_settings("entry-0", "dc1", trial.platform.address());
    entry.times.drain = drain.unwrap_or(entry.times.drain);
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
            .expect("the engine starts");
    }
    trial
        .start_entry_with(entry)
        .await
        .expect("the entry starts");
    let revision = trial
        .put_document(0, "production", DOCUMENT)
        .await
        .expect("the document is accepted");
    trial
        .wait_ready(revision)
        .await
        .expect("the system becomes ready");
    trial
}

/// Returns the tokens with which a stand-in engine answers a request.
pub fn expected_tokens(prompt: &str, seed: u64, max_tokens: u64) -> Vec<String> {
    (0..engine::answer_length(prompt, seed, max_tokens))
        .map(|index| engine::token(prompt, seed, "v1", index))
        .collect()
}
