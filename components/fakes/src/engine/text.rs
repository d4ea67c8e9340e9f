//! The known text: a test can compare a stream token by token.

use xxhash_rust::xxh3::xxh3_64;

/// Words at even indices come from the first row, those at odd ones from the second, so that
/// neighbours always differ.
const WORDS: [[&str; 16]; 2] = [
    [
        "field", "river", "stone", "table", "window", "garden", "market", "letter", "harbour",
        "village", "bridge", "winter", "morning", "candle", "orchard", "meadow",
    ],
    [
        "green", "quiet", "early", "round", "narrow", "golden", "simple", "gentle", "distant",
        "hollow", "silver", "steady", "bright", "wooden", "frozen", "little",
    ],
];

/// One in this many answers ends early.
const EARLY: u64 = 8;

fn digest(parts: &[&str], numbers: &[u64]) -> u64 {
    let mut bytes = Vec::new();
    for part in parts {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    for number in numbers {
        bytes.extend_from_slice(&number.to_le_bytes());
    }
    xxh3_64(&bytes)
}

/// Token `index` of the answer: a word with a leading space and a number, so that a token out of
/// place is seen as such.
pub fn token(prompt: &str, seed: u64, version: &str, index: u64) -> String {
    let answer = digest(&[prompt, version], &[seed]);
    token_of(answer, index)
}

/// What [`token`] needs of prompt, seed and version; worked out once a run.
pub(crate) fn answer(prompt: &str, seed: u64, version: &str) -> u64 {
    digest(&[prompt, version], &[seed])
}

/// Token `index` of an answer of [`answer`].
pub(crate) fn token_of(answer: u64, index: u64) -> String {
    let number = digest(&[], &[answer, index]);
    let row = &WORDS[usize::from(index % 2 == 1)];
    let word = row[(number % 16) as usize];
    format!(" {word}{}", (number >> 8) % 100)
}

/// Number of tokens of the answer. Most reach `max_tokens`; one in eight ends earlier.
pub fn answer_length(prompt: &str, seed: u64, max_tokens: u64) -> u64 {
    let number = digest(&[prompt], &[seed]);
    if !number.is_multiple_of(EARLY) || max_tokens < 2 {
        return max_tokens;
    }
    let half = max_tokens / 2;
    half + (number >> 8) % (max_tokens - half)
}

/// Hash of a prompt's first 256 bytes, as cache events give it.
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(256)])
}

/// Prompt length in tokens: a token is about four bytes.
pub(crate) fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(4)
}
