//! Deterministic answer text, which lets tests check a stream token by token.

use xxhash_rust::xxh3::xxh3_64;

/// Words of the tokens at even indices (first row) and odd indices (second row). Separate rows
/// make adjacent tokens always differ.
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

/// One in this many answers ends before `max_tokens`.
const EARLY_END_INTERVAL: u64 = 8;

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

/// Returns the answer's token at `index`: a space, a word and a number. The number makes a
/// misplaced token detectable.
pub fn token(prompt: &str, seed: u64, version: &str, index: u64) -> String {
    let answer_hash = digest(&[prompt, version], &[seed]);
    token_at(answer_hash, index)
}

/// Returns the hash from which [`token_at`] derives the tokens of an answer.
pub(crate) fn answer_hash(prompt: &str, seed: u64, version: &str) -> u64 {
    digest(&[prompt, version], &[seed])
}

/// Returns the token at `index` of the answer with the given [`answer_hash`].
pub(crate) fn token_at(answer_hash: u64, index: u64) -> String {
    let number = digest(&[], &[answer_hash, index]);
    let row = &WORDS[usize::from(index % 2 == 1)];
    let word = row[(number % 16) as usize];
    format!(" {word}{}", (number >> 8) % 100)
}

/// Returns the answer's length in tokens. Most answers reach `max_tokens`; one in eight ends
/// earlier.
pub fn answer_length(prompt: &str, seed: u64, max_tokens: u64) -> u64 {
    let number = digest(&[prompt], &[seed]);
    if !number.is_multiple_of(EARLY_END_INTERVAL) || max_tokens < 2 {
        return max_tokens;
    }
    let half = max_tokens / 2;
    half + (number >> 8) % (max_tokens - half)
}

/// Returns the hash of a prompt's first 256 bytes, as reported in cache events.
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(256)])
}

/// Returns the prompt's length in tokens of four bytes.
pub(crate) fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(4)
}
