//! Paths of values in a document.

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

/// One step of a path, from a value to one of its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// A field or key of a mapping.
    Field(String),
    /// An element of a sequence, counted from 0.
    Index(usize),
}

/// Path of a value from the root of the document, displayed as `services[0].kind`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Path(Vec<Step>);

impl Path {
    /// Returns the path of the document itself.
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns the path of a field of the value at this path.
    pub fn field(&self, name: impl Into<String>) -> Self {
        self.with(Step::Field(name.into()))
    }

    /// Returns the path of an element of the sequence at this path.
    pub fn index(&self, index: usize) -> Self {
        self.with(Step::Index(index))
    }

    fn with(&self, step: Step) -> Self {
        let mut steps = self.0.clone();
        steps.push(step);
        Self(steps)
    }

    /// Returns the line, counted from 1, at which the value at this path ends in a JSON text; `None`
    /// if there is none.
    pub fn line_in_json(&self, text: &str) -> Option<usize> {
        // The seed fails on purpose at the value, and the library's error contains the position.
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let error = self.seek().deserialize(&mut deserializer).err()?;
        Some(error.line())
    }

    /// Returns a deserializer seed that fails at the value at this path.
    pub(crate) fn seek(&self) -> Seek<'_> {
        Seek(&self.0)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return out.write_str("document");
        }
        for (position, step) in self.0.iter().enumerate() {
            match step {
                Step::Field(name) if position == 0 => out.write_str(name)?,
                Step::Field(name) => write!(out, ".{name}")?,
                Step::Index(index) => write!(out, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// Follows the remaining steps, skips all other values, and fails at the end of the path.
///
/// The YAML library doesn't retain positions in deserialized values, but its errors carry one.
/// Failing on purpose yields the line number without a second parser.
pub(crate) struct Seek<'a>(&'a [Step]);

impl<'de> DeserializeSeed<'de> for Seek<'_> {
    type Value = IgnoredAny;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<IgnoredAny, D::Error> {
        match self.0.first() {
            Some(Step::Field(_)) => from.deserialize_map(self),
            Some(Step::Index(_)) => from.deserialize_seq(self),
            // The visitor accepts no scalar, so the library rejects the value here and reports its
            // line.
            None => from.deserialize_any(self),
        }
    }
}

impl<'de> Visitor<'de> for Seek<'_> {
    type Value = IgnoredAny;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("a mapping or sequence on the path")
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
        // A missing field is reported at the start of its mapping.
        Err(A::Error::custom("missing"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<IgnoredAny, A::Error> {
        if self.0.is_empty() {
            return Err(A::Error::custom("found"));
        }
        let mut position = 0;
        loop {
            let found = match self.0 {
                [Step::Index(index), rest @ ..] if *index == position => {
                    seq.next_element_seed(Seek(rest))?
                }
                _ => seq.next_element::<IgnoredAny>()?,
            };
            if found.is_none() {
                return Ok(IgnoredAny);
            }
            position += 1;
        }
    }
}
