//! A document's digest: equal for texts that say the same.

use serde_norway::Value;
use xxhash_rust::xxh3::Xxh3;

/// Digest of a document's text: comments, layout, quoting and the order of fields don't count.
///
/// It is taken from the YAML values and not from [`crate::Document`], so that processes of two
/// releases, one of which knows more fields, agree on it. A text that isn't YAML is taken as is.
pub fn digest(text: &str) -> u64 {
    let mut hash = Xxh3::new();
    match serde_norway::from_str::<Value>(text) {
        Ok(value) => feed(&mut hash, &value),
        Err(_) => hash.update(text.as_bytes()),
    }
    hash.digest()
}

/// Kinds of values, so that `1` and `"1"`, or a list and its only element, differ.
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

fn feed(hash: &mut Xxh3, value: &Value) {
    match value {
        Value::Null => hash.update(&[Tag::Null as u8]),
        Value::Bool(value) => hash.update(&[Tag::Bool as u8, u8::from(*value)]),
        Value::Number(number) => text(hash, Tag::Number, &number.to_string()),
        Value::String(value) => text(hash, Tag::String, value),
        Value::Sequence(list) => {
            count(hash, Tag::List, list.len());
            for value in list {
                feed(hash, value);
            }
        }
        Value::Mapping(map) => {
            count(hash, Tag::Map, map.len());
            let mut entries: Vec<_> = map
                .iter()
                .map(|(key, value)| (alone(key), alone(value)))
                .collect();
            entries.sort_unstable();
            for (key, value) in entries {
                hash.update(&key.to_le_bytes());
                hash.update(&value.to_le_bytes());
            }
        }
        Value::Tagged(tagged) => {
            text(hash, Tag::Tagged, &tagged.tag.to_string());
            feed(hash, &tagged.value);
        }
    }
}

/// Digest of one value; mappings are sorted by it, since values of YAML have no whole order.
fn alone(value: &Value) -> u64 {
    let mut hash = Xxh3::new();
    feed(&mut hash, value);
    hash.digest()
}

fn count(hash: &mut Xxh3, tag: Tag, length: usize) {
    hash.update(&[tag as u8]);
    hash.update(&(length as u64).to_le_bytes());
}

fn text(hash: &mut Xxh3, tag: Tag, value: &str) {
    count(hash, tag, value.len());
    hash.update(value.as_bytes());
}
