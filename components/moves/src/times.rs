//! Histograms of times with fixed buckets, small enough to gossip.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Number of buckets.
const BUCKETS: usize = 40;

/// Upper end of the first bucket in milliseconds.
const FIRST: f64 = 2.0;

/// Ratio between the ends of neighbouring buckets: 40 buckets reach from 2 ms to 50 minutes.
const RATIO: f64 = 1.44;

/// Counts by bucket. Counts only grow, and two copies merge to the larger count of each bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Histogram(Vec<u32>);

impl Histogram {
    /// Counts one time.
    pub fn record(&mut self, time: Duration) {
        let millis = time.as_secs_f64() * 1000.0;
        let bucket = (millis / FIRST).max(1.0).log(RATIO).ceil() as usize;
        let bucket = bucket.min(BUCKETS - 1);
        if self.0.len() <= bucket {
            self.0.resize(bucket + 1, 0);
        }
        self.0[bucket] = self.0[bucket].saturating_add(1);
    }

    /// Takes in a copy of the same histogram that may be older or newer.
    pub fn merge(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (mine, theirs) in self.0.iter_mut().zip(&other.0) {
            *mine = (*mine).max(*theirs);
        }
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (mine, theirs) in self.0.iter_mut().zip(&other.0) {
            *mine = mine.saturating_add(*theirs);
        }
    }

    /// Number of times counted.
    pub fn count(&self) -> u64 {
        self.0.iter().map(|count| u64::from(*count)).sum()
    }

    /// Upper end of the bucket below which at least `share` of the times lie.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let total = self.count();
        if total == 0 {
            return None;
        }
        let wanted = (share * total as f64).ceil() as u64;
        let mut below = 0;
        for (bucket, count) in self.0.iter().enumerate() {
            below += u64::from(*count);
            if below >= wanted {
                return Some(Self::end(bucket));
            }
        }
        None
    }

    fn end(bucket: usize) -> Duration {
        Duration::from_secs_f64(FIRST * RATIO.powi(bucket as i32) / 1000.0)
    }
}
