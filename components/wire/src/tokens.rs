//! Consecutive tokens, the frame that is sent for nearly every generated token.
//!
//! It is serialized by hand as three fields (index, lengths, concatenated text) instead of a
//! sequence of strings, so that decoding reads one text and validates UTF-8 once.

use std::fmt;

use names::Index;
use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::{
        Error,
        SeqAccess,
        Visitor, //
    },
    ser::SerializeTuple, //
};

/// Consecutive tokens of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Position of the first token in the answer.
    pub index: Index,
    /// Texts of the tokens.
    pub tokens: Vec<String>,
}

/// Number of serialized fields.
const FIELD_COUNT: usize = 3;

impl Serialize for Tokens {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let lengths: Vec<usize> = self.tokens.iter().map(String::len).collect();
        let mut tuple = serializer.serialize_tuple(FIELD_COUNT)?;
        tuple.serialize_element(&self.index)?;
        tuple.serialize_element(&lengths)?;
        tuple.serialize_element(&self.tokens.concat())?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Tokens {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_tuple(FIELD_COUNT, TokensVisitor)
    }
}

struct TokensVisitor;

impl<'de> Visitor<'de> for TokensVisitor {
    type Value = Tokens;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(
            "the index of the first token, the tokens' lengths and their concatenated text",
        )
    }

    fn visit_seq<A>(self, mut fields: A) -> Result<Tokens, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let index = fields
            .next_element()?
            .ok_or_else(|| A::Error::invalid_length(0, &self))?;
        let lengths: Vec<usize> = fields
            .next_element()?
            .ok_or_else(|| A::Error::invalid_length(1, &self))?;
        let text: &'de str = fields
            .next_element()?
            .ok_or_else(|| A::Error::invalid_length(2, &self))?;
        let tokens = split(text, &lengths)
            .ok_or_else(|| A::Error::custom("the tokens' lengths don't match their text"))?;
        Ok(Tokens { index, tokens })
    }
}

/// Splits a text into tokens; `None` if the lengths don't add up to the text or split a character.
fn split(text: &str, lengths: &[usize]) -> Option<Vec<String>> {
    let mut rest = text;
    let mut tokens = Vec::with_capacity(lengths.len());
    for length in lengths {
        let (token, remainder) = rest.split_at_checked(*length)?;
        tokens.push(token.to_string());
        rest = remainder;
    }
    rest.is_empty().then_some(tokens)
}
