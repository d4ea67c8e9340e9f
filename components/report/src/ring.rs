//! Counts over the last three days in bounded memory.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use names::Clock;

/// Requests, and those of them that missed the level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests.
    pub all: u64,
    /// Requests that missed the level.
    pub missed: u64,
}

/// Buckets of equal length, the newest last.
#[derive(Clone, Debug)]
struct Row {
    length: Duration,
    most: usize,
    /// Number of the newest bucket, counted from the clock's origin.
    newest: u64,
    buckets: VecDeque<Count>,
}

/// Counts by the minute for the last hour, by the quarter of an hour for three days.
#[derive(Clone, Debug)]
pub struct Ring {
    minutes: Row,
    quarters: Row,
}

impl Default for Ring {
    fn default() -> Self {
        Self {
            minutes: Row::new(Duration::from_secs(60), 61),
            quarters: Row::new(Duration::from_secs(900), 289),
        }
    }
}

impl Row {
    fn new(length: Duration, most: usize) -> Self {
        Self {
            length,
            most,
            newest: 0,
            buckets: VecDeque::new(),
        }
    }

    fn number(&self, now: Clock) -> u64 {
        now.as_secs() / self.length.as_secs()
    }

    fn add(&mut self, missed: bool, now: Clock) {
        let number = self.number(now);
        if self.buckets.is_empty() {
            self.newest = number;
            self.buckets.push_back(Count::default());
        }
        // After a long rest every bucket is out of date; there is no need to add them one by one.
        if number.saturating_sub(self.newest) > self.most as u64 {
            self.newest = number;
            self.buckets.clear();
            self.buckets.push_back(Count::default());
        }
        while self.newest < number {
            self.newest += 1;
            self.buckets.push_back(Count::default());
            if self.buckets.len() > self.most {
                self.buckets.pop_front();
            }
        }
        let last = self.buckets.back_mut().expect("a bucket was added");
        last.all += 1;
        last.missed += u64::from(missed);
    }

    /// Sums the buckets that began within `window` before `now`.
    fn sum(&self, window: Duration, now: Clock) -> Count {
        let from = self.number(now.saturating_sub(window));
        let mut sum = Count::default();
        for (age, bucket) in self.buckets.iter().rev().enumerate() {
            let number = self.newest.saturating_sub(age as u64);
            if number < from {
                break;
            }
            sum.all += bucket.all;
            sum.missed += bucket.missed;
        }
        sum
    }
}

impl Ring {
    /// Counts a request.
    pub fn add(&mut self, missed: bool, now: Clock) {
        self.minutes.add(missed, now);
        self.quarters.add(missed, now);
    }

    /// Counts over the last `window`, to within one bucket.
    pub fn sum(&self, window: Duration, now: Clock) -> Count {
        let hour = Duration::from_secs(3600);
        if window <= hour {
            return self.minutes.sum(window, now);
        }
        self.quarters.sum(window, now)
    }
}
