//! Tells the events that continue an answer from bytes that only keep its connection busy.

use bytes::{
    Bytes,
    BytesMut, //
};

use crate::events::Event;

/// Maximum size of the filler between two events, in bytes.
const MAX_FILLER_BYTES: usize = 64 * 1024;

/// Progress of one run. A run that sends only filler is as silent as one that sends nothing.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Whether the answer's events have ids.
    has_ids: bool,
    /// Highest id of the run.
    highest: Option<u64>,
    /// Filler since the last event. It precedes the next one.
    filler: BytesMut,
    filler_bytes: usize,
}

impl Progress {
    /// Creates the progress of a run without events.
    pub fn new(has_ids: bool) -> Progress {
        Progress {
            has_ids,
            highest: None,
            filler: BytesMut::new(),
            filler_bytes: 0,
        }
    }

    /// Returns whether an event continues the answer: it has data and the id of a further event,
    /// where events have ids.
    pub fn record(&mut self, event: &Event) -> bool {
        let is_further = match event.id {
            Some(id) => self.highest.is_none_or(|highest| id > highest),
            None => !self.has_ids,
        };
        self.highest = self.highest.max(event.id);
        let progresses = is_further && event.has_data();
        self.filler_bytes = match progresses {
            true => 0,
            false => self.filler_bytes + event.bytes.len(),
        };
        progresses
    }

    /// Keeps filler until the next event.
    pub fn keep_filler(&mut self, bytes: &[u8]) {
        self.filler.extend_from_slice(bytes);
    }

    /// Returns whether there is more filler than a server sends to keep a connection open.
    pub fn has_excess(&self) -> bool {
        self.filler.len() > MAX_FILLER_BYTES
    }

    /// Takes the filler before the next event, or before the end of the answer.
    pub fn take_filler(&mut self) -> Bytes {
        self.filler.split().freeze()
    }

    /// Returns the number of bytes of kept filler.
    pub fn kept_bytes(&self) -> usize {
        self.filler.len()
    }

    /// Returns the number of bytes received since the last event that continued the answer.
    pub fn filler_bytes(&self) -> usize {
        self.filler_bytes
    }
}
