//! Histograms of durations with fixed buckets, small enough to gossip.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Maximum number of buckets; the last one also counts longer durations.
const MAX_BUCKETS: usize = 40;

/// Upper bound of the first bucket, in milliseconds.
const FIRST_BUCKET_BOUND_MS: f64 = 2.0;

/// Ratio between adjacent bucket bounds; 40 buckets reach from 2 ms to 50 minutes.
const BUCKET_RATIO: f64 = 1.44;

/// Counts by bucket. Counts only grow; two copies merge to the larger count of each bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Histogram(Vec<u32>);

impl Histogram {
    /// Records one duration.
    pub fn record(&mut self, time: Duration) {
        let millis = time.as_secs_f64() * 1000.0;
        let bucket = (millis / FIRST_BUCKET_BOUND_MS)
            .max(1.0)
            .log(BUCKET_RATIO)
            .ceil() as usize;
        let bucket = bucket.min(MAX_BUCKETS - 1);
        if self.0.len() <= bucket {
            self.0.resize(bucket + 1, 0);
        }
        self.0[bucket] = self.0[bucket].saturating_add(1);
    }

    /// Merges a copy of the same histogram, which may be older or newer.
    pub fn merge(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (own, other_count) in self.0.iter_mut().zip(&other.0) {
            *own = (*own).max(*other_count);
        }
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (own, other_count) in self.0.iter_mut().zip(&other.0) {
            *own = own.saturating_add(*other_count);
        }
    }

    /// Returns the number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.iter().map(|count| u64::from(*count)).sum()
    }

    /// Returns the upper bound of the first bucket that covers at least `share` of the durations.
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
                return Some(Self::upper_bound(bucket));
            }
        }
        None
    }

    fn upper_bound(bucket: usize) -> Duration {
        Duration::from_secs_f64(FIRST_BUCKET_BOUND_MS * BUCKET_RATIO.powi(bucket as i32) / 1000.0)
    }
}
