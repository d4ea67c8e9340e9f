//! What the choice can be tuned by.

use std::time::Duration;

/// Settings of a pool. The defaults are those measured in `docs/design/routing.md`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Replicas that a prefix is kept on while they are not too loaded.
    pub affine_replicas: usize,
    /// Load, relative to the mean of the group, up to which a replica gets work for its prefixes.
    pub affinity_bound: f64,
    /// Load, relative to capacity, above which it gets work for its prefixes only while it is
    /// below the mean.
    pub affinity_load: f64,
    /// Runs beyond that bound that are always allowed, so that small groups can keep prefixes.
    pub affinity_slack: f64,
    /// Load, relative to capacity, at which a replica gets no new work.
    pub full_load: f64,
    /// Capacity of a replica that has not reported yet, in runs.
    pub assumed_capacity: u32,
    /// Share of a group that stays in use whatever probes and failures say.
    pub min_usable_share: f64,
    /// Share of failures above which a replica is ejected.
    pub max_failure_share: f64,
    /// Failures, decayed, below which none is ejected for its share.
    pub min_failures: f64,
    /// Failures in a row for which a replica is ejected.
    pub max_consecutive_failures: u32,
    /// Half-life of the memory of failures.
    pub failure_half_life: Duration,
    /// Time of a first ejection; each further one doubles it.
    pub first_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// How long a prefix is believed to be cached after it was last seen there.
    pub prefix_ttl: Duration,
    /// The same, for what was seen before events of that replica were lost.
    pub doubtful_prefix_ttl: Duration,
    /// Prefixes remembered; the ones seen first are forgotten first.
    pub max_prefixes: usize,
    /// Load, relative to capacity, from which on other data centres are looked at.
    pub spill_load: f64,
    /// How much less loaded another data centre must be, in shares of its capacity.
    pub spill_margin: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            affine_replicas: 2,
            affinity_bound: 1.25,
            affinity_load: 0.8,
            affinity_slack: 1.0,
            full_load: 1.0,
            assumed_capacity: 8,
            min_usable_share: 0.3,
            max_failure_share: 0.3,
            min_failures: 3.0,
            max_consecutive_failures: 5,
            failure_half_life: Duration::from_secs(30),
            first_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(60),
            prefix_ttl: Duration::from_secs(120),
            doubtful_prefix_ttl: Duration::from_secs(20),
            max_prefixes: 16_384,
            spill_load: 0.9,
            spill_margin: 0.15,
        }
    }
}
