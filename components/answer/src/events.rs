//! Splits a proxied event stream: only complete events pass, each once and in order.
//!
//! A backend server can stop in the middle of an event. The caller's stream must end with a
//! complete one, or the rest from another server can't be appended.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Maximum size of a buffered event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Id of the event, if present.
    pub id: Option<u64>,
    /// Bytes of the event, including the terminating blank line.
    pub bytes: Bytes,
}

impl Event {
    /// Returns whether the event has data. Comments have none.
    pub fn has_data(&self) -> bool {
        self.bytes
            .split(|byte| *byte == b'\n')
            .filter_map(|line| line.strip_prefix(b"data:"))
            .any(|data| !data.trim_ascii().is_empty())
    }
}

/// Reason why an event can't be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An event is missing.
    Gap {
        /// Expected id.
        expected: u64,
        /// Received id.
        received: u64,
    },
    /// An event exceeds the size limit.
    TooLong,
}

/// Splits a byte stream into events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of bytes already searched for an end.
    searched: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether nothing is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes and returns the next complete event.
    ///
    /// # Errors
    ///
    /// [`Fault::TooLong`] for an event that exceeds the size limit.
    pub fn take(&mut self) -> Result<Option<Event>, Fault> {
        let start = self.searched.saturating_sub(3);
        let Some(event_end) = event_end(&self.buffer[start..]) else {
            self.searched = self.buffer.len();
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Fault::TooLong);
            }
            return Ok(None);
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(start + event_end).freeze();
        let id = id(&bytes);
        Ok(Some(Event { id, bytes }))
    }
}

/// Returns the offset after the first blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
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

/// Accepts each event once and in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sequence {
    last: Option<u64>,
}

impl Sequence {
    /// Creates a sequence that continues after an event that the caller has.
    pub fn after(last: Option<u64>) -> Sequence {
        Sequence { last }
    }

    /// Returns the id of the last accepted event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether an event is the next one; `Ok(false)` for one that was accepted before.
    ///
    /// # Errors
    ///
    /// [`Fault::Gap`] if events before it are missing.
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
                expected: last + 1,
                received: id,
            });
        }
        self.last = Some(id);
        Ok(true)
    }
}
