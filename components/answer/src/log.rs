//! The token log of one generation, as kept by its sidecar.
//!
//! The log accepts only the next token, so an engine that repeats or skips a token is detected
//! before the caller receives anything wrong. The log's size in bytes is bounded.

use std::mem::size_of;

use names::Index;

use crate::Finish;

/// Bytes that a token occupies in memory in addition to its text.
pub const TOKEN_OVERHEAD_BYTES: usize = size_of::<String>();

/// Reason why the log rejected a token or an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The index is already in the log.
    #[error("the engine repeated a token")]
    Repeat,
    /// The index is beyond the next one.
    #[error("the engine skipped the token at index {expected}")]
    Hole {
        /// The expected index.
        expected: Index,
    },
    /// The token would exceed the log's size limit.
    #[error("the log has reached its size limit")]
    Full,
    /// The generation has already ended.
    #[error("the generation has already ended")]
    Ended,
}

/// The tokens of one generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    first: Index,
    tokens: Vec<String>,
    finish: Option<Finish>,
    bytes: usize,
    max_bytes: usize,
}

impl Log {
    /// Creates an empty log whose first token has index `from`; `max_bytes` is in bytes.
    pub fn new(from: Index, max_bytes: usize) -> Log {
        Log {
            first: from,
            tokens: Vec::new(),
            finish: None,
            bytes: 0,
            max_bytes,
        }
    }

    /// Creates a log that starts with the tokens of earlier epochs.
    ///
    /// An entry that takes the answer over from another one holds none of its tokens; with the
    /// prefix in the log it receives them all, and can itself continue the answer elsewhere.
    ///
    /// # Errors
    ///
    /// [`Fault::Full`] if the prefix exceeds `max_bytes`.
    pub fn with_prefix(prefix: &[String], max_bytes: usize) -> Result<Log, Fault> {
        let mut log = Log::new(0, max_bytes);
        for (index, token) in (0..).zip(prefix) {
            log.append(index, token.clone())?;
        }
        Ok(log)
    }

    /// Appends the token at `index`, which must be [`Log::next`].
    ///
    /// # Errors
    ///
    /// Returns the [`Fault`] if the index isn't the next one, the log is full or the generation has
    /// ended.
    pub fn append(&mut self, index: Index, token: String) -> Result<(), Fault> {
        if self.finish.is_some() {
            return Err(Fault::Ended);
        }
        let expected = self.next();
        if index < expected {
            return Err(Fault::Repeat);
        }
        if index > expected {
            return Err(Fault::Hole { expected });
        }
        let size = size(&token);
        if self.bytes + size > self.max_bytes {
            return Err(Fault::Full);
        }
        self.bytes += size;
        self.tokens.push(token);
        Ok(())
    }

    /// Records the end of the generation.
    ///
    /// # Errors
    ///
    /// [`Fault::Ended`] if an end is already recorded; the first one is kept.
    pub fn end(&mut self, finish: Finish) -> Result<(), Fault> {
        if self.finish.is_some() {
            return Err(Fault::Ended);
        }
        self.finish = Some(finish);
        Ok(())
    }

    /// Returns at most `max` tokens from index `from` on; empty if `from` is the next index.
    ///
    /// `None` if `from` lies outside the log: before its first token or beyond the next one.
    pub fn read(&self, from: Index, max: usize) -> Option<&[String]> {
        let start = usize::try_from(from.checked_sub(self.first)?).ok()?;
        let rest = self.tokens.get(start..)?;
        Some(&rest[..rest.len().min(max)])
    }

    /// Drops the tokens below `to`, which must have been sent to every attached entry.
    ///
    /// A full log remains useful to its attached entries. Only an entry that attaches later finds
    /// the beginning missing, and restarts the answer.
    pub fn trim(&mut self, to: Index) {
        let count = to
            .saturating_sub(self.first)
            .min(self.tokens.len() as Index);
        for token in self.tokens.drain(..count as usize) {
            self.bytes -= size(&token);
        }
        self.first += count;
    }

    /// Returns the index of the first token in the log.
    pub fn first(&self) -> Index {
        self.first
    }

    /// Returns the index of the next token.
    pub fn next(&self) -> Index {
        self.first + self.tokens.len() as Index
    }

    /// Returns the end, if there is one.
    pub fn finish(&self) -> Option<&Finish> {
        self.finish.as_ref()
    }

    /// Returns the size in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn size(token: &str) -> usize {
    token.len() + TOKEN_OVERHEAD_BYTES
}
