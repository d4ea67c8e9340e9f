//! Request counts over the last three days, in bounded memory.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use names::Clock;

/// Counts of requests and of those that missed the level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of all requests.
    pub requests: u64,
    /// Requests that missed the level.
    pub missed: u64,
}

/// Counts in time buckets of equal width, the newest last.
#[derive(Clone, Debug)]
struct Buckets {
    width: Duration,
    capacity: usize,
    /// Index of the newest bucket since the origin of the clock.
    newest: u64,
    counts: VecDeque<Count>,
}

/// Counts by minute for the last hour, and by quarter of an hour for three days.
#[derive(Clone, Debug)]
pub struct WindowedCounts {
    minutes: Buckets,
    quarter_hours: Buckets,
}

impl Default for WindowedCounts {
    fn default() -> Self {
        Self {
            // The minutes of the last hour, and one more because the oldest is partial.
            minutes: Buckets::new(Duration::from_secs(60), 61),
            // The quarter hours of three days, and one more because the oldest is partial.
            quarter_hours: Buckets::new(Duration::from_secs(900), 289),
        }
    }
}

impl Buckets {
    fn new(width: Duration, capacity: usize) -> Self {
        Self {
            width,
            capacity,
            newest: 0,
            counts: VecDeque::new(),
        }
    }

    /// Returns the index of the bucket of a time.
    fn index(&self, now: Clock) -> u64 {
        now.as_secs() / self.width.as_secs()
    }

    /// Counts a request.
    fn add(&mut self, missed: bool, now: Clock) {
        let index = self.index(now);
        if self.counts.is_empty() {
            self.newest = index;
            self.counts.push_back(Count::default());
        }
        // After a long time without requests all buckets are out of date, and adding every bucket
        // since then would take long.
        if index.saturating_sub(self.newest) > self.capacity as u64 {
            self.newest = index;
            self.counts.clear();
            self.counts.push_back(Count::default());
        }
        while self.newest < index {
            self.newest += 1;
            self.counts.push_back(Count::default());
            if self.counts.len() > self.capacity {
                self.counts.pop_front();
            }
        }
        let current = self.counts.back_mut().expect("a bucket was added");
        current.requests += 1;
        current.missed += u64::from(missed);
    }

    /// Returns the sum of the buckets that overlap the last `window` before `now`.
    fn sum(&self, window: Duration, now: Clock) -> Count {
        let from = self.index(now.saturating_sub(window));
        let mut sum = Count::default();
        for (age, bucket) in self.counts.iter().rev().enumerate() {
            let index = self.newest.saturating_sub(age as u64);
            if index < from {
                break;
            }
            sum.requests += bucket.requests;
            sum.missed += bucket.missed;
        }
        sum
    }
}

impl WindowedCounts {
    /// Counts a request.
    pub fn add(&mut self, missed: bool, now: Clock) {
        self.minutes.add(missed, now);
        self.quarter_hours.add(missed, now);
    }

    /// Returns the counts over the last `window`, accurate to one bucket.
    pub fn sum(&self, window: Duration, now: Clock) -> Count {
        let hour = Duration::from_secs(3600);
        if window <= hour {
            return self.minutes.sum(window, now);
        }
        self.quarter_hours.sum(window, now)
    }
}
