//! Sizes in bytes, written as a number or with a unit: `65536`, `64KiB`, `4MiB`, `1GiB`.

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::Error, //
};

/// Units and their sizes in bytes, the largest first.
const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Reads a size.
pub fn deserialize<'de, D>(deserializer: D) -> Result<u64, D::Error>
where
    D: Deserializer<'de>,
{
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Form {
        Number(u64),
        Text(String),
    }
    match Form::deserialize(deserializer)? {
        Form::Number(bytes) => Ok(bytes),
        Form::Text(text) => parse(&text).ok_or_else(|| {
            D::Error::custom(format!(
                "`{text}` is not a size; accepted are bytes or a number with B, KiB, MiB or GiB"
            ))
        }),
    }
}

/// Writes a size in bytes.
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
