//! Fragmentation of store changes that do not fit into one datagram.
//!
//! This happens when a document of some ten kilobytes changes, or when all servers of a data centre
//! register at once. IP drops an oversized packet as a whole, and then every process of the fleet
//! would read the change from the store.

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

/// Size limit of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Encoding overhead of a fragment, in bytes: message tag, hash, index, count and length.
const FRAGMENT_OVERHEAD_BYTES: usize = 24;

/// Limit on the fragments of one message. Receivers read larger changes from the store.
const MAX_FRAGMENTS: usize = 64;

/// Limit on the decompressed size of changes, in bytes.
const MAX_DECOMPRESSED_BYTES: usize = 4 << 20;

/// Limit on messages under reassembly; a new one evicts the oldest.
const MAX_PENDING_MESSAGES: usize = 8;

/// Zlib level. Names and registrations are repetitive, so a low level already finds most matches.
const COMPRESSION_LEVEL: u8 = 3;

/// Fragment of compressed changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Hash of the whole compressed message.
    pub message: u64,
    /// Position in the message, from 0.
    pub index: u16,
    /// Number of fragments in the message.
    pub count: u16,
    /// Content of the fragment.
    pub bytes: Vec<u8>,
}

/// Encodes changes as messages that each fit into a datagram. Returns no messages if the changes
/// are too large; processes that lack them then read them from the store.
pub fn split(changes: Changes) -> Vec<Message> {
    let Ok(bytes) = postcard::to_stdvec(&changes) else {
        return Vec::new();
    };
    if bytes.len() < MAX_DATAGRAM_BYTES {
        return vec![Message::Changes(changes)];
    }
    let bytes = compress_to_vec_zlib(&bytes, COMPRESSION_LEVEL);
    let chunks = bytes.chunks(MAX_DATAGRAM_BYTES - FRAGMENT_OVERHEAD_BYTES);
    let count = chunks.len();
    if count > MAX_FRAGMENTS {
        return Vec::new();
    }
    let message = xxh3_64(&bytes);
    let fragment = |(index, chunk): (usize, &[u8])| {
        Message::Fragment(Fragment {
            message,
            index: index as u16,
            count: count as u16,
            bytes: chunk.to_vec(),
        })
    };
    chunks.enumerate().map(fragment).collect()
}

/// Reassembles fragments of concurrent messages from several peers.
#[derive(Debug, Default)]
pub struct Reassembly {
    pending: VecDeque<Pending>,
}

#[derive(Debug)]
struct Pending {
    from: SocketAddr,
    message: u64,
    fragments: Vec<Option<Vec<u8>>>,
}

impl Reassembly {
    /// Adds a fragment from a peer. Returns the changes when the message is complete and its hash
    /// matches.
    pub fn add(&mut self, from: SocketAddr, fragment: Fragment) -> Option<Changes> {
        let (index, count) = (usize::from(fragment.index), usize::from(fragment.count));
        if index >= count || count > MAX_FRAGMENTS {
            return None;
        }
        let same_message = |pending: &Pending| {
            pending.from == from
                && pending.message == fragment.message
                && pending.fragments.len() == count
        };
        let at = match self.pending.iter().position(same_message) {
            Some(at) => at,
            None => self.insert(from, fragment.message, count),
        };
        let pending = &mut self.pending[at];
        pending.fragments[index] = Some(fragment.bytes);
        if pending.fragments.iter().any(Option::is_none) {
            return None;
        }
        let pending = self.pending.remove(at)?;
        let bytes: Vec<u8> = pending.fragments.into_iter().flatten().flatten().collect();
        if xxh3_64(&bytes) != pending.message {
            return None;
        }
        let bytes = decompress_to_vec_zlib_with_limit(&bytes, MAX_DECOMPRESSED_BYTES).ok()?;
        postcard::from_bytes(&bytes).ok()
    }

    fn insert(&mut self, from: SocketAddr, message: u64, count: usize) -> usize {
        if self.pending.len() >= MAX_PENDING_MESSAGES {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending {
            from,
            message,
            fragments: vec![None; count],
        });
        self.pending.len() - 1
    }
}
