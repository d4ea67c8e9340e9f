//! Changes of the store that don't fit a datagram, in several.
//!
//! The load that it answers: a document of some ten kilobytes changes, or a data centre's servers
//! register at once. A packet that is too long is lost whole, and then each process of the fleet reads
//! the change from the store.

use std::{
    collections::VecDeque,
    net::SocketAddr, //
};

use miniz_oxide::{
    deflate::compress_to_vec_zlib,
    inflate::decompress_to_vec_zlib_with_limit, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Changes,
    Message, //
};

/// Longest datagram that is sent, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Bytes of a fragment beside its content: the message's kind, numbers, length.
const HEAD: usize = 24;

/// Fragments of one message at most. What needs more is read from the store.
const MAX_FRAGMENTS: usize = 64;

/// Bytes of changes at most, once they are inflated.
const MAX_INFLATED: usize = 4 << 20;

/// Messages that are put together at the same time; the oldest yields.
const MAX_PENDING: usize = 8;

/// Effort of compression: names and registrations repeat, so that little finds most.
const LEVEL: u8 = 3;

/// A part of changes that are too long for one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Hash of the whole.
    pub whole: u64,
    /// Its place.
    pub index: u16,
    /// Number of fragments.
    pub count: u16,
    /// Content.
    pub bytes: Vec<u8>,
}

/// Messages that carry changes, each of which fits a datagram; none when they are too long. Whoever
/// misses changes reads them from the store.
pub fn split(changes: Changes) -> Vec<Message> {
    let Ok(bytes) = postcard::to_stdvec(&changes) else {
        return Vec::new();
    };
    if bytes.len() < MAX_DATAGRAM_BYTES {
        return vec![Message::Changes(changes)];
    }
    let bytes = compress_to_vec_zlib(&bytes, LEVEL);
    let chunks = bytes.chunks(MAX_DATAGRAM_BYTES - HEAD);
    let count = chunks.len();
    if count > MAX_FRAGMENTS {
        return Vec::new();
    }
    let whole = xxh3_64(&bytes);
    let fragment = |(index, chunk): (usize, &[u8])| {
        Message::Fragment(Fragment {
            whole,
            index: index as u16,
            count: count as u16,
            bytes: chunk.to_vec(),
        })
    };
    chunks.enumerate().map(fragment).collect()
}

/// Puts fragments together again.
#[derive(Debug, Default)]
pub struct Reassembly {
    pending: VecDeque<Pending>,
}

#[derive(Debug)]
struct Pending {
    from: SocketAddr,
    whole: u64,
    parts: Vec<Option<Vec<u8>>>,
}

impl Reassembly {
    /// Takes a fragment from a peer; gives the changes with the last one.
    pub fn add(&mut self, from: SocketAddr, fragment: Fragment) -> Option<Changes> {
        let (index, count) = (usize::from(fragment.index), usize::from(fragment.count));
        if index >= count || count > MAX_FRAGMENTS {
            return None;
        }
        let known = |pending: &Pending| {
            pending.from == from && pending.whole == fragment.whole && pending.parts.len() == count
        };
        let at = match self.pending.iter().position(known) {
            Some(at) => at,
            None => self.begin(from, fragment.whole, count),
        };
        let pending = &mut self.pending[at];
        pending.parts[index] = Some(fragment.bytes);
        if pending.parts.iter().any(Option::is_none) {
            return None;
        }
        let pending = self.pending.remove(at)?;
        let bytes: Vec<u8> = pending.parts.into_iter().flatten().flatten().collect();
        if xxh3_64(&bytes) != pending.whole {
            return None;
        }
        let bytes = decompress_to_vec_zlib_with_limit(&bytes, MAX_INFLATED).ok()?;
        postcard::from_bytes(&bytes).ok()
    }

    fn begin(&mut self, from: SocketAddr, whole: u64, count: usize) -> usize {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending {
            from,
            whole,
            parts: vec![None; count],
        });
        self.pending.len() - 1
    }
}
