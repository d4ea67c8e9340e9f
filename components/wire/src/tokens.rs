//! A run of tokens, the one frame that is sent for nearly every token.
//!
//! It is serialised by hand as three fields (index, lengths, one text) instead of a sequence of
//! strings: decoding then allocates one text and checks UTF-8 once.

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
    /// Position of the first token.
    pub index: Index,
    /// The tokens.
    pub tokens: Vec<String>,
}

/// Number of fields on the wire.
const FIELDS: usize = 3;

impl Serialize for Tokens {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let lengths: Vec<usize> = self.tokens.iter().map(String::len).collect();
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
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
        deserializer.deserialize_tuple(FIELDS, Fields)
    }
}

struct Fields;

impl<'de> Visitor<'de> for Fields {
    type Value = Tokens;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an index, the tokens' lengths and their text")
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
            .ok_or_else(|| A::Error::custom("the tokens' lengths don't fit their text"))?;
        Ok(Tokens { index, tokens })
    }
}

/// Cuts a text into tokens; none when the lengths don't add up to whole characters of the text.
fn split(text: &str, lengths: &[usize]) -> Option<Vec<String>> {
    let mut rest = text;
    let mut tokens = Vec::with_capacity(lengths.len());
    for length in lengths {
        let (token, after) = rest.split_at_checked(*length)?;
        tokens.push(token.to_string());
        rest = after;
    }
    rest.is_empty().then_some(tokens)
}
