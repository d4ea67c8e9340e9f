//! What the choice can be tuned by.

use std::time::Duration;

/// Settings of a pool. The defaults are those measured in `docs/design/routing.md`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Replicas that a prefix is kept on while they are not too loaded.
    pub affine: usize,
    /// Load, relative to the mean of the group, up to which a replica gets work for its prefixes.
    pub bound: f64,
    /// Load, relative to capacity, above which it gets work for its prefixes only while it is
    /// below the mean.
    pub keep: f64,
    /// Runs beyond that bound that are always allowed, so that small groups can keep prefixes.
    pub slack: f64,
    /// Load, relative to capacity, at which a replica gets no new work.
    pub full: f64,
    /// Capacity of a replica that has not reported yet, in runs.
    pub assumed: u32,
    /// Share of a group that stays in use whatever probes and failures say.
    pub floor: f64,
    /// Share of failures above which a replica is ejected.
    pub failures: f64,
    /// Failures, decayed, below which none is ejected for its share.
    pub least: f64,
    /// Failures in a row for which a replica is ejected.
    pub row: u32,
    /// Half-life of the memory of failures.
    pub memory: Duration,
    /// Time of a first ejection; each further one doubles it.
    pub eject: Duration,
    /// Longest ejection.
    pub eject_most: Duration,
    /// How long a prefix is believed to be cached after it was last seen there.
    pub cached: Duration,
    /// The same, for what was seen before events of that replica were lost.
    pub doubted: Duration,
    /// Prefixes remembered; the ones seen first are forgotten first.
    pub prefixes: usize,
    /// Load, relative to capacity, from which on other data centres are looked at.
    pub spill: f64,
    /// How much less loaded another data centre must be, in shares of its capacity.
    pub margin: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            affine: 2,
            bound: 1.25,
            keep: 0.8,
            slack: 1.0,
            full: 1.0,
            assumed: 8,
            floor: 0.3,
            failures: 0.3,
            least: 3.0,
            row: 5,
            memory: Duration::from_secs(30),
            eject: Duration::from_secs(5),
            eject_most: Duration::from_secs(60),
            cached: Duration::from_secs(120),
            doubted: Duration::from_secs(20),
            prefixes: 16_384,
            spill: 0.9,
            margin: 0.15,
        }
    }
}
