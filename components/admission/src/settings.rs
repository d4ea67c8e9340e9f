//! What admission can be tuned by.

use std::time::Duration;

/// Settings of a gate. The defaults are those measured in `docs/design/admission.md`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Concurrency before any report. Rather too high: an entry that has just begun gets a burst
    /// before it hears of its replicas, and the first report sets it right.
    pub initial_limit: u32,
    /// Time of a request before any was finished. Rather too short: then some wait for nothing, and
    /// no longer than their patience; too long, and those are refused that could be served.
    pub initial_time: Duration,
    /// Share of capacity that is aimed at; the rest is for what other entries do meanwhile.
    pub target_utilization: f64,
    /// Concurrency above the limit that is kept for continuing answers, as a share; at least one.
    pub resume_reserve: f64,
    /// First-token time above which a request counts as late.
    pub first_token_target: Duration,
    /// Share of late requests above which the concurrency is lowered.
    pub max_late_share: f64,
    /// Lowest factor that late requests bring the concurrency to.
    pub min_factor: f64,
    /// Requests that wait, at most.
    pub max_waiting: usize,
    /// Teams that are known at once, at most.
    pub max_teams: usize,
    /// Share of the finished work's rate that refused callers are asked to come back at.
    pub retry_share: f64,
    /// Shortest and longest time that a refused caller is asked to wait.
    pub retry_after: (Duration, Duration),
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            initial_limit: 128,
            initial_time: Duration::from_secs(1),
            target_utilization: 1.0,
            resume_reserve: 0.1,
            first_token_target: Duration::from_millis(1900),
            max_late_share: 0.05,
            min_factor: 0.3,
            max_waiting: 4096,
            max_teams: 8192,
            retry_share: 0.5,
            retry_after: (Duration::from_millis(500), Duration::from_secs(60)),
        }
    }
}
