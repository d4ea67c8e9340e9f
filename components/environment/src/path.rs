//! Where in a document something stands.

use std::fmt;

use serde::{
    Deserializer,
    de::{
        DeserializeSeed,
        Error,
        IgnoredAny,
        MapAccess,
        SeqAccess,
        Visitor, //
    }, //
};

/// One step down from a value to a part of it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// A field or key of a mapping.
    Field(String),
    /// An element of a sequence, from 0.
    Index(usize),
}

/// Path of a value from the document's top, written like `services[0].kind`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Path(Vec<Step>);

impl Path {
    /// The document itself.
    pub fn root() -> Self {
        Self::default()
    }

    /// The path of a field below this one.
    pub fn field(&self, name: impl Into<String>) -> Self {
        self.with(Step::Field(name.into()))
    }

    /// The path of an element of the sequence that this path leads to.
    pub fn index(&self, index: usize) -> Self {
        self.with(Step::Index(index))
    }

    fn with(&self, step: Step) -> Self {
        let mut steps = self.0.clone();
        steps.push(step);
        Self(steps)
    }

    /// A search for this path in YAML; it ends with an error at the value it was looking for.
    pub(crate) fn seek(&self) -> Seek<'_> {
        Seek(&self.0)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return out.write_str("document");
        }
        for (at, step) in self.0.iter().enumerate() {
            match step {
                Step::Field(name) if at == 0 => out.write_str(name)?,
                Step::Field(name) => write!(out, ".{name}")?,
                Step::Index(index) => write!(out, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// Walks the remaining steps, skips everything else, and fails where the last step leads.
///
/// The YAML library keeps no positions in what it reads, but its errors carry one. A second parser
/// only for line numbers isn't needed so.
pub(crate) struct Seek<'a>(&'a [Step]);

impl<'de> DeserializeSeed<'de> for Seek<'_> {
    type Value = IgnoredAny;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<IgnoredAny, D::Error> {
        match self.0.first() {
            Some(Step::Field(_)) => from.deserialize_map(self),
            Some(Step::Index(_)) => from.deserialize_seq(self),
            // The visitor takes no scalar, so that the library refuses what stands here, with its
            // line.
            None => from.deserialize_any(self),
        }
    }
}

impl<'de> Visitor<'de> for Seek<'_> {
    type Value = IgnoredAny;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("a value on the way")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<IgnoredAny, A::Error> {
        if self.0.is_empty() {
            return Err(A::Error::custom("found"));
        }
        while let Some(key) = map.next_key::<String>()? {
            match self.0 {
                [Step::Field(name), rest @ ..] if *name == key => {
                    map.next_value_seed(Seek(rest))?;
                }
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        // A field that was left out stands, for a reader, where its mapping begins.
        Err(A::Error::custom("left out"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<IgnoredAny, A::Error> {
        if self.0.is_empty() {
            return Err(A::Error::custom("found"));
        }
        let mut at = 0;
        loop {
            let found = match self.0 {
                [Step::Index(index), rest @ ..] if *index == at => {
                    seq.next_element_seed(Seek(rest))?
                }
                _ => seq.next_element::<IgnoredAny>()?,
            };
            if found.is_none() {
                return Ok(IgnoredAny);
            }
            at += 1;
        }
    }
}
