//! Events of a stream that is passed through: whole ones only, each once, in order.
//!
//! A backend server can stop in the middle of an event. What the caller gets must end with a whole
//! one, or the rest from another server can't be joined to it.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Longest event that is kept until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its id, where it has one.
    pub id: Option<u64>,
    /// Its bytes, with the blank line behind it.
    pub bytes: Bytes,
}

/// What comes where the next event should.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An event is missing.
    Gap {
        /// Id that was due.
        due: u64,
        /// Id that came.
        came: u64,
    },
    /// An event is longer than any that is known to be sent.
    TooLong,
}

/// Cuts a stream into events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes that were searched for an end already.
    searched: usize,
}

impl Splitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an event has begun and isn't whole.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the next whole event.
    ///
    /// # Errors
    ///
    /// [`Fault::TooLong`] for an event that doesn't end.
    pub fn take(&mut self) -> Result<Option<Event>, Fault> {
        let start = self.searched.saturating_sub(3);
        let Some(end) = end(&self.buffer[start..]) else {
            self.searched = self.buffer.len();
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Fault::TooLong);
            }
            return Ok(None);
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(start + end).freeze();
        let id = id(&bytes);
        Ok(Some(Event { id, bytes }))
    }
}

/// Place behind the first blank line.
fn end(bytes: &[u8]) -> Option<usize> {
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let rest = &bytes[at + 1..];
        if rest.starts_with(b"\n") {
            return Some(at + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(at + 3);
        }
    }
    None
}

fn id(event: &[u8]) -> Option<u64> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}

/// Lets each event through once and in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sequence {
    last: Option<u64>,
}

impl Sequence {
    /// A sequence that goes on behind an event that the caller has.
    pub fn after(last: Option<u64>) -> Sequence {
        Sequence { last }
    }

    /// Id of the last event that went through.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether an event is the next one; `Ok(false)` for one that went through before.
    ///
    /// # Errors
    ///
    /// [`Fault::Gap`] when events before it are missing.
    pub fn accept(&mut self, id: u64) -> Result<bool, Fault> {
        let Some(last) = self.last else {
            self.last = Some(id);
            return Ok(true);
        };
        if id <= last {
            return Ok(false);
        }
        if id > last + 1 {
            return Err(Fault::Gap {
                due: last + 1,
                came: id,
            });
        }
        self.last = Some(id);
        Ok(true)
    }
}
