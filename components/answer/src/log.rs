//! The token log of one generation, as its sidecar keeps it.
//!
//! The log takes only the token that comes next, so an engine that repeats or leaves out a token is
//! caught here, before anything of it reaches a caller. Its bytes are bounded.

use std::mem::size_of;

use names::Index;

use crate::Finish;

/// Bytes that a token takes beside its text.
pub const TOKEN_OVERHEAD: usize = size_of::<String>();

/// Why the log didn't take a token or an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The index is already in the log.
    #[error("the engine sent a token again that the log holds")]
    Repeat,
    /// The index is beyond the next one.
    #[error("the engine left out the token at index {expected}")]
    Hole {
        /// The index that had to come.
        expected: Index,
    },
    /// The token would take the log over its bound.
    #[error("the log is at its bound")]
    Full,
    /// The log has its end.
    #[error("the generation has ended")]
    Ended,
}

/// The tokens of one generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    first: Index,
    tokens: Vec<String>,
    finish: Option<Finish>,
    bytes: usize,
    bound: usize,
}

impl Log {
    /// An empty log whose first token has index `from`; `bound` is in bytes.
    pub fn new(from: Index, bound: usize) -> Log {
        Log {
            first: from,
            tokens: Vec::new(),
            finish: None,
            bytes: 0,
            bound,
        }
    }

    /// A log that begins with the tokens of the epochs before it.
    ///
    /// An entry that takes the answer over from another one holds none of its tokens; with the
    /// prefix in the log it gets them all, and can itself continue the answer elsewhere.
    pub fn with_prefix(prefix: &[String], bound: usize) -> Result<Log, Fault> {
        let mut log = Log::new(0, bound);
        for (index, token) in (0..).zip(prefix) {
            log.append(index, token.clone())?;
        }
        Ok(log)
    }

    /// Takes the token at `index`, which must be [`Log::next`].
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
        if self.bytes + size > self.bound {
            return Err(Fault::Full);
        }
        self.bytes += size;
        self.tokens.push(token);
        Ok(())
    }

    /// Takes the end; the first one stands.
    pub fn end(&mut self, finish: Finish) -> Result<(), Fault> {
        if self.finish.is_some() {
            return Err(Fault::Ended);
        }
        self.finish = Some(finish);
        Ok(())
    }

    /// At most `most` tokens from index `from` on; empty when `from` is the next one.
    ///
    /// `None` when `from` lies outside of the log: before its first token or beyond the next one.
    pub fn read(&self, from: Index, most: usize) -> Option<&[String]> {
        let start = usize::try_from(from.checked_sub(self.first)?).ok()?;
        let rest = self.tokens.get(start..)?;
        Some(&rest[..rest.len().min(most)])
    }

    /// Drops the tokens below `to`, which every attached entry must have been sent.
    ///
    /// A log at its bound stays useful to those who follow it: only an entry that comes later finds
    /// the beginning gone, and starts the answer afresh.
    pub fn trim(&mut self, to: Index) {
        let many = to
            .saturating_sub(self.first)
            .min(self.tokens.len() as Index);
        for token in self.tokens.drain(..many as usize) {
            self.bytes -= size(&token);
        }
        self.first += many;
    }

    /// Index of the first token that is held.
    pub fn first(&self) -> Index {
        self.first
    }

    /// Index of the token that comes next.
    pub fn next(&self) -> Index {
        self.first + self.tokens.len() as Index
    }

    /// The end, once there is one.
    pub fn finish(&self) -> Option<&Finish> {
        self.finish.as_ref()
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn size(token: &str) -> usize {
    token.len() + TOKEN_OVERHEAD
}
