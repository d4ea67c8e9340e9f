//! Digest of a document that is independent of its formatting.

use serde_norway::Value;
use xxhash_rust::xxh3::Xxh3;

/// Returns the digest of a document's text. Comments, layout, quoting and the order of fields don't
/// affect it.
///
/// The digest is computed from the YAML values rather than from [`crate::Document`], so processes
/// of two releases agree on it even if one of them knows more fields. A text that isn't YAML is
/// hashed as is.
pub fn digest(text: &str) -> u64 {
    let mut hash = Xxh3::new();
    match serde_norway::from_str::<Value>(text) {
        Ok(value) => hash_value(&mut hash, &value),
        Err(_) => hash.update(text.as_bytes()),
    }
    hash.digest()
}

/// Type tags that make the digests of `1` and `"1"`, or of a list and its only element, differ.
#[repr(u8)]
enum Tag {
    Null,
    Bool,
    Number,
    String,
    List,
    Map,
    Tagged,
}

fn hash_value(hash: &mut Xxh3, value: &Value) {
    match value {
        Value::Null => hash.update(&[Tag::Null as u8]),
        Value::Bool(value) => hash.update(&[Tag::Bool as u8, u8::from(*value)]),
        Value::Number(number) => hash_text(hash, Tag::Number, &number.to_string()),
        Value::String(value) => hash_text(hash, Tag::String, value),
        Value::Sequence(list) => {
            hash_length(hash, Tag::List, list.len());
            for value in list {
                hash_value(hash, value);
            }
        }
        Value::Mapping(map) => {
            hash_length(hash, Tag::Map, map.len());
            let mut entries: Vec<_> = map
                .iter()
                .map(|(key, value)| (value_digest(key), value_digest(value)))
                .collect();
            entries.sort_unstable();
            for (key, value) in entries {
                hash.update(&key.to_le_bytes());
                hash.update(&value.to_le_bytes());
            }
        }
        Value::Tagged(tagged) => {
            hash_text(hash, Tag::Tagged, &tagged.tag.to_string());
            hash_value(hash, &tagged.value);
        }
    }
}

/// Returns the digest of one value. Mappings are sorted by the digests of their entries, since YAML
/// values have no total order.
fn value_digest(value: &Value) -> u64 {
    let mut hash = Xxh3::new();
    hash_value(&mut hash, value);
    hash.digest()
}

fn hash_length(hash: &mut Xxh3, tag: Tag, length: usize) {
    hash.update(&[tag as u8]);
    hash.update(&(length as u64).to_le_bytes());
}

fn hash_text(hash: &mut Xxh3, tag: Tag, value: &str) {
    hash_length(hash, tag, value.len());
    hash.update(value.as_bytes());
}
