//! Demand for services at one process, and what it learnt of those that are over capacity.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize,
    de::{
        self,
        SeqAccess,
        Visitor, //
    },
};

use super::{
    Id,
    Incarnation, //
};

/// Recent requests at one process, whether they could be sent or not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Demand {
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Number of requests by service.
    pub requests: Vec<(Id, u32)>,
    /// Services over capacity as far as the sender observes; `None` from releases that don't tell.
    pub overloads: Option<Vec<Overload>>,
}

/// What a process learnt of a service that is over capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overload {
    /// Id of the service.
    pub service: Id,
    /// Time of an unloaded server, in microseconds.
    pub base_us: u32,
    /// Logarithm of the correction of the expected rate, in thousandths.
    pub factor: i16,
}

impl<'de> Deserialize<'de> for Demand {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Demand, D::Error> {
        const FIELDS: &[&str] = &["incarnation", "requests", "overloads"];
        deserializer.deserialize_struct("Demand", FIELDS, DemandVisitor)
    }
}

struct DemandVisitor;

impl<'de> Visitor<'de> for DemandVisitor {
    type Value = Demand;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("demand")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Demand, A::Error> {
        let missing = |index| de::Error::invalid_length(index, &"demand");
        Ok(Demand {
            incarnation: fields.next_element()?.ok_or_else(|| missing(0))?,
            requests: fields.next_element()?.ok_or_else(|| missing(1))?,
            // Messages of earlier releases end here.
            overloads: fields.next_element().ok().flatten().flatten(),
        })
    }
}
