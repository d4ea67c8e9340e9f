//! Bodies in segments of one size.

use std::{
    io::IoSlice,
    rc::Rc, //
};

use bytes::{
    Buf,
    Bytes, //
};

/// Body of a request, in order. Clones share the bytes. A long body in one buffer would be moved as it
/// grows, which leaves the allocator with pieces that nothing else fits in.
#[derive(Clone, Debug, Default)]
pub struct Segments {
    segments: Rc<[Bytes]>,
    /// First segment that isn't consumed, and the consumed bytes of it.
    index: usize,
    offset: usize,
    remaining: usize,
}

impl Segments {
    /// Creates a body from its segments.
    pub fn new(segments: impl Into<Rc<[Bytes]>>) -> Segments {
        let segments = segments.into();
        Segments {
            remaining: segments.iter().map(Bytes::len).sum(),
            segments,
            index: 0,
            offset: 0,
        }
    }

    /// Returns the length in bytes of what isn't consumed.
    pub fn len(&self) -> usize {
        self.remaining
    }

    /// Returns whether everything is consumed.
    pub fn is_empty(&self) -> bool {
        self.remaining == 0
    }

    /// Returns what isn't consumed, in order.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> + Clone {
        let rest = self.segments.get(self.index..).unwrap_or_default();
        rest.iter()
            .enumerate()
            .map(|(number, segment)| match number {
                0 => &segment[self.offset..],
                _ => &segment[..],
            })
    }
}

impl From<Bytes> for Segments {
    fn from(bytes: Bytes) -> Segments {
        Segments::new([bytes])
    }
}

impl Buf for Segments {
    fn remaining(&self) -> usize {
        self.remaining
    }

    fn chunk(&self) -> &[u8] {
        self.pieces()
            .find(|piece| !piece.is_empty())
            .unwrap_or_default()
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let pieces = self.pieces().filter(|piece| !piece.is_empty());
        let mut count = 0;
        for (slice, piece) in slices.iter_mut().zip(pieces) {
            *slice = IoSlice::new(piece);
            count += 1;
        }
        count
    }

    fn advance(&mut self, mut count: usize) {
        assert!(count <= self.remaining, "no more than remains is consumed");
        self.remaining -= count;
        while count > 0 {
            let left = self.segments[self.index].len() - self.offset;
            if count < left {
                self.offset += count;
                return;
            }
            count -= left;
            self.index += 1;
            self.offset = 0;
        }
    }
}
