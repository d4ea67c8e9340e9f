//! Detection of poisonous requests, which crash every backend server that runs them.
//!
//! When a server dies, every request in flight on it becomes a suspect. To isolate the poisonous
//! one, suspects are separated: a suspect starts beside no request that has run for less than the
//! probation period, and no new request starts beside it until it has run for that period. A
//! request that was in flight at two deaths, and the only possible cause of at least one of them,
//! is refused everywhere. A death that is explained by a refused request no longer makes a suspect
//! of any other request that was in flight.
//!
//! Deaths and refusals are facts: sets of them are merged by union in any order, and they expire.
//! Every process derives the same verdicts from the same facts.

mod detector;
pub mod evidence;
mod facts;
pub mod trial;

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

/// Hash of a request's team, service and content. The request id is excluded, so a request that is
/// repeated under a new id is recognised.
pub type Fingerprint = u128;

/// Computes the fingerprint of a request.
pub fn fingerprint(team: &str, service: &str, content: &[u8]) -> Fingerprint {
    fingerprint_of_pieces(team, service, [content])
}

/// Computes the fingerprint of a request whose content comes in pieces, however it is divided.
pub fn fingerprint_of_pieces<'a>(
    team: &str,
    service: &str,
    pieces: impl IntoIterator<Item = &'a [u8]> + Clone,
) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [team.as_bytes(), service.as_bytes()] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let length: usize = pieces.clone().into_iter().map(<[u8]>::len).sum();
    hash.update(&(length as u64).to_le_bytes());
    for piece in pieces {
        hash.update(piece);
    }
    hash.digest128()
}

/// Computes the fingerprint of a part of the prompts that a service gets, which requests of any team
/// may have.
pub fn part_fingerprint(service: &str, part: u64) -> Fingerprint {
    fingerprint("", service, &part.to_le_bytes())
}

/// Computes the fingerprint of a generation from everything that its engine receives except ids,
/// seeds and priorities.
pub fn generation_fingerprint(team: &str, service: &str, model: &str, prompt: &str) -> Fingerprint {
    let content = [model.as_bytes(), &[0], prompt.as_bytes()].concat();
    fingerprint(team, service, &content)
}

/// Computes the fingerprint of a call to a plain service, given the digest of the request.
pub fn call_fingerprint(team: &str, service: &str, digest: &str) -> Fingerprint {
    fingerprint(team, service, digest.as_bytes())
}
