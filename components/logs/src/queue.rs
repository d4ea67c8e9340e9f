//! Queue of log lines that wait to be written.

use log::Level;

/// Queue size in bytes up to which lines of each class are accepted. Lines about failures still fit
/// when no others do.
const MAX_BYTES: [usize; Class::COUNT] = [64 * 1024, 192 * 1024, 256 * 1024];

/// Queue size in bytes above which only one in [`SAMPLING_RATIO`] routine lines is kept.
const SAMPLING_THRESHOLD_BYTES: usize = 32 * 1024;

/// Number of routine lines of which one is kept above [`SAMPLING_THRESHOLD_BYTES`].
const SAMPLING_RATIO: u64 = 16;

/// Class of a log line, which decides what is dropped when the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A routine decision.
    Routine,
    /// A change of the process's view of the system.
    Transition,
    /// A failure.
    Failure,
}

impl Class {
    /// Number of classes.
    pub const COUNT: usize = 3;

    /// Returns the class of lines of a log level.
    pub fn of(level: Level) -> Class {
        match level {
            Level::Error | Level::Warn => Class::Failure,
            Level::Info => Class::Transition,
            Level::Debug | Level::Trace => Class::Routine,
        }
    }
}

/// A bounded queue of log lines, with the number of dropped ones.
#[derive(Debug, Default)]
pub struct Queue {
    bytes: Vec<u8>,
    routine_count: u64,
    dropped: [u64; Class::COUNT],
}

impl Queue {
    /// Adds a line, or drops and counts it.
    pub fn push(&mut self, class: Class, line: &str) {
        let full = self.bytes.len() + line.len() > MAX_BYTES[class as usize];
        let mut sampled = false;
        if class == Class::Routine && self.bytes.len() > SAMPLING_THRESHOLD_BYTES {
            self.routine_count += 1;
            sampled = !self.routine_count.is_multiple_of(SAMPLING_RATIO);
        }
        if full || sampled {
            self.dropped[class as usize] += 1;
            return;
        }
        self.bytes.extend_from_slice(line.as_bytes());
    }

    /// Removes and returns all lines, for writing.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    /// Puts back lines that could not be handed to the writer thread, in front of those added
    /// since.
    pub fn put_back(&mut self, mut bytes: Vec<u8>) {
        bytes.append(&mut self.bytes);
        self.bytes = bytes;
    }

    /// Returns and resets the counts of dropped lines by class; `None` when none were dropped.
    pub fn take_dropped(&mut self) -> Option<[u64; Class::COUNT]> {
        let dropped = std::mem::take(&mut self.dropped);
        (dropped != [0; Class::COUNT]).then_some(dropped)
    }

    /// Returns whether no lines wait.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}
