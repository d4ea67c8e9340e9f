//! Tuning parameters of admission control.

use std::time::Duration;

/// Settings of a gate. `docs/design/admission.md` gives the measurements behind the defaults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Concurrency limit before the first report. It is rather high: a new process may get a burst
    /// before it receives reports of its replicas, and the first report corrects it.
    pub initial_limit: u32,
    /// Assumed time of a request before any has finished. It is rather short: with a value that is
    /// too short some requests queue in vain, but no longer than their maximum wait; with one that
    /// is too long, requests are refused that could be served.
    pub initial_time: Duration,
    /// Target share of the capacity; the rest covers what other processes admit in the meantime.
    pub target_utilization: f64,
    /// Concurrency above the limit that is reserved for continuations, as a share of the limit; at
    /// least one.
    pub resume_reserve: f64,
    /// Time to the first token or byte above which a request counts as late.
    pub first_output_target: Duration,
    /// Share of late requests above which the concurrency limit is lowered.
    pub max_late_share: f64,
    /// Lowest factor, from 0 to 1, by which late requests can lower the concurrency limit.
    pub min_concurrency_factor: f64,
    /// Maximum number of queued requests.
    pub max_waiting: usize,
    /// Maximum number of teams that are known at once.
    pub max_teams: usize,
    /// Rate at which refused callers shall retry, as a share of the completion rate.
    pub retry_share: f64,
    /// Shortest and longest retry delay of refused callers.
    pub retry_after_bounds: (Duration, Duration),
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            initial_limit: 128,
            initial_time: Duration::from_secs(1),
            target_utilization: 1.0,
            resume_reserve: 0.1,
            first_output_target: Duration::from_millis(1900),
            max_late_share: 0.05,
            min_concurrency_factor: 0.3,
            max_waiting: 4096,
            max_teams: 8192,
            retry_share: 0.5,
            retry_after_bounds: (Duration::from_millis(500), Duration::from_secs(60)),
        }
    }
}
