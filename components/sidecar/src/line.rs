//! One line of an engine's answer. The visitor is written by hand because parsing these lines is a
//! sidecar's hot path.

use std::fmt;

use names::Index;
use serde::{
    Deserialize,
    Deserializer,
    de::{
        Error,
        IgnoredAny,
        MapAccess,
        Visitor, //
    }, //
};
use wire::frame::Usage;

/// One line of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// A generated token.
    Token {
        /// Position in the answer, from 0.
        index: Index,
        /// Text of the token.
        token: String,
    },
    /// The end of the answer.
    End {
        /// Why the answer ended, as the engine reports it: `stop` or `length`.
        end: String,
        /// Token counts that the engine reports.
        usage: Usage,
    },
}

impl<'de> Deserialize<'de> for Line {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(LineVisitor)
    }
}

struct LineVisitor;

impl<'de> Visitor<'de> for LineVisitor {
    type Value = Line;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a token with its index, or an end")
    }

    fn visit_map<A>(self, mut map: A) -> Result<Line, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut index = None;
        let mut token = None;
        let mut end = None;
        let mut usage = Usage::default();
        while let Some(key) = map.next_key::<&str>()? {
            match key {
                "index" => index = Some(map.next_value()?),
                "token" => token = Some(map.next_value()?),
                "end" => end = Some(map.next_value()?),
                "prompt_tokens" => usage.prompt = map.next_value()?,
                "cached_tokens" => usage.cached = map.next_value()?,
                "completion_tokens" => usage.completion = map.next_value()?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        if let Some(end) = end {
            return Ok(Line::End { end, usage });
        }
        Ok(Line::Token {
            index: index.ok_or_else(|| A::Error::missing_field("index"))?,
            token: token.ok_or_else(|| A::Error::missing_field("token"))?,
        })
    }
}
