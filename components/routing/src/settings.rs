//! Tuning parameters of replica selection.

use std::time::Duration;

/// Settings of a pool. `docs/design/routing.md` gives the measurements behind the defaults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of replicas that serve a prefix while their load allows it.
    pub affine_replicas: usize,
    /// Load, relative to the mean of the group, up to which a replica gets work for its prefixes.
    pub affinity_bound: f64,
    /// Load, relative to capacity, above which a replica gets work for its prefixes only while its
    /// load is below the group's mean.
    pub affinity_load: f64,
    /// Runs allowed beyond `affinity_bound`, so that small groups can keep prefixes.
    pub affinity_slack: f64,
    /// Load, relative to capacity, at which a replica gets no new work.
    pub full_load: f64,
    /// Assumed capacity, in runs, of a replica that has not reported yet.
    pub assumed_capacity: u32,
    /// Minimum share of a group that stays in use regardless of health checks and failures.
    pub min_usable_share: f64,
    /// Share of failed requests above which a replica is ejected.
    pub max_failure_share: f64,
    /// Decayed number of failures below which a replica is not ejected for its share of failures.
    pub min_failures: f64,
    /// Consecutive failures after which a replica is ejected.
    pub max_consecutive_failures: u32,
    /// Half-life of the counts of served and failed requests.
    pub failure_half_life: Duration,
    /// Duration of the first ejection; it doubles with each further one.
    pub first_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Time after its last cache event or use for which a prefix is assumed to be cached.
    pub prefix_ttl: Duration,
    /// The same for prefixes last seen before cache events of the replica were lost.
    pub doubtful_prefix_ttl: Duration,
    /// Maximum number of prefixes in the cache index; the oldest are evicted first.
    pub max_prefixes: usize,
    /// Load, relative to capacity, from which other data centres are considered.
    pub spill_load: f64,
    /// How much lower the load of another data centre must be, as a share of capacity.
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
