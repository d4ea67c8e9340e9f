//! Requests that bring down each backend server that runs them.
//!
//! A server's death blames all requests that were in flight on it. To tell the one poisonous
//! request from the innocents beside it, suspects are kept apart: at most one on a server, and no
//! fresh request beside it until it has run for a while. A request that was in flight at two
//! deaths, and at one of them the only one that could be to blame, is refused everywhere. A death
//! that is explained so clears everybody else who was there.
//!
//! Deaths and refusals are facts: they only add up, merge in any order, and expire. Each process
//! derives the same verdicts from the same facts.

mod detector;
mod facts;

pub use detector::{
    Detector,
    Placement,
    Settings,
    Verdict, //
};
pub use facts::{
    Death,
    Facts,
    Flight, //
};

use xxhash_rust::xxh3::Xxh3;

/// Fingerprint of a request: of its team and content, never of its id, so that a request that is
/// sent again under a new id is still known.
pub type Fingerprint = u128;

/// Makes the fingerprint of a request.
pub fn fingerprint(team: &str, service: &str, content: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [team.as_bytes(), service.as_bytes(), content] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest128()
}

/// Fingerprint of a generation: everything that its engine gets but ids, seeds and priorities.
pub fn generation_fingerprint(team: &str, service: &str, model: &str, prompt: &str) -> Fingerprint {
    let content = [model.as_bytes(), &[0], prompt.as_bytes()].concat();
    fingerprint(team, service, &content)
}

/// Fingerprint of a call to a plain service.
pub fn call_fingerprint(team: &str, service: &str, digest: &str) -> Fingerprint {
    fingerprint(team, service, digest.as_bytes())
}
