//! Sizes in bytes, given as a number or with a unit: `65536`, `64KiB`, `4MiB`, `1GiB`.

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::Error, //
};

/// Units and their sizes in bytes, largest first, because every name ends with the last one.
const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Deserializes a size in bytes.
///
/// # Errors
///
/// When the value is neither a number nor a number with a unit.
pub fn deserialize<'de, D>(deserializer: D) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Repr {
        Number(u64),
        Text(String),
    }
    match Repr::deserialize(deserializer)? {
        Repr::Number(bytes) => Ok(bytes),
        Repr::Text(text) => parse(&text).ok_or_else(|| {
            D::Error::custom(format!(
                "`{text}` is not a size; expected bytes or a number with B, KiB, MiB or GiB"
            ))
        }),
    }
}

/// Serializes a size as a number of bytes.
pub fn serialize<S>(bytes: &u64, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    bytes.serialize(serializer)
}

fn parse(text: &str) -> Option<u64> {
    let text = text.trim();
    for (unit, size) in UNITS {
        let Some(number) = text.strip_suffix(unit) else {
            continue;
        };
        return number.trim().parse::<u64>().ok()?.checked_mul(size);
    }
    text.parse().ok()
}
