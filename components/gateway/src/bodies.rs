//! Bound on the bodies of requests that the process holds.
//!
//! A body is held until its request ends, as it may be sent to another server. Backend servers that
//! read slowly keep many of them at once.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use tokio::time::Instant;

/// Share of the process's memory that bodies may take. Responses and connections need the rest.
const MEMORY_SHARE: f64 = 0.5;

/// Share of that which only small bodies may take, so that long ones don't keep out all others.
const SMALL_SHARE: f64 = 0.125;

/// Maximum size of a small body, in bytes.
const MAX_SMALL_BYTES: usize = 64 * 1024;

/// Bounds of the time after which a refused request may return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Weight of the last body in the mean time for which bodies are held.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Bodies that the process holds.
#[derive(Debug, Default)]
pub struct Bodies {
    bytes: Cell<usize>,
    count: Cell<usize>,
    /// Mean time for which a long body is held; 0 while it is unknown.
    mean_time: Cell<Duration>,
}

/// Part of the bound that a body takes until this is dropped.
#[derive(Debug)]
pub struct Hold {
    bodies: Rc<Bodies>,
    bytes: usize,
    since: Instant,
}

impl Bodies {
    /// Takes room for a body of `bytes` in a process that may use `memory` bytes; `None` if there is
    /// none.
    pub fn hold(self: &Rc<Self>, memory: Option<u64>, bytes: usize) -> Option<Hold> {
        if !self.has_room(memory, bytes, bytes) {
            return None;
        }
        self.bytes.set(self.bytes.get() + bytes);
        self.count.set(self.count.get() + 1);
        Some(Hold {
            bodies: self.clone(),
            bytes,
            since: Instant::now(),
        })
    }

    /// Returns whether a body of `length` bytes may take `bytes` more.
    fn has_room(&self, memory: Option<u64>, length: usize, bytes: usize) -> bool {
        let Some(memory) = memory else {
            return true;
        };
        let share = match length <= MAX_SMALL_BYTES {
            true => MEMORY_SHARE,
            false => MEMORY_SHARE * (1.0 - SMALL_SHARE),
        };
        let bound = memory as f64 * share;
        (self.bytes.get() + bytes) as f64 <= bound
    }

    /// Returns the time until a body is expected to be released.
    pub fn retry_after(&self) -> Duration {
        let count = u32::try_from(self.count.get()).unwrap_or(u32::MAX).max(1);
        (self.mean_time.get() / count).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.bytes.get()
    }
}

impl Hold {
    /// Takes room for `bytes` more; returns whether there is any.
    pub fn grow(&mut self, memory: Option<u64>, bytes: usize) -> bool {
        let bodies = &self.bodies;
        if !bodies.has_room(memory, self.bytes + bytes, bytes) {
            return false;
        }
        self.bytes += bytes;
        bodies.bytes.set(bodies.bytes.get() + bytes);
        true
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let bodies = &self.bodies;
        bodies.bytes.set(bodies.bytes.get() - self.bytes);
        bodies.count.set(bodies.count.get() - 1);
        if self.bytes <= MAX_SMALL_BYTES {
            return;
        }
        let (mean, time) = (bodies.mean_time.get(), self.since.elapsed());
        bodies.mean_time.set(match mean.is_zero() {
            true => time,
            false => mean.mul_f64(1.0 - SAMPLE_WEIGHT) + time.mul_f64(SAMPLE_WEIGHT),
        });
    }
}
