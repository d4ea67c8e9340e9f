//! State of one replica: its estimated load and its failures.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use names::{
    Clock,
    Server, //
};

use crate::{
    Settings,
    decay::Decay, //
};

/// Number of samples of the own runs that are kept.
const MAX_SAMPLES: usize = 32;

/// Interval between two samples. Together with [`MAX_SAMPLES`] it gives the longest report delay
/// that is corrected exactly.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Own runs that a valid report may lack, as they were in transit at the time of the measurement.
const MAX_UNREPORTED_RUNS: u32 = 2;

/// Load from failed requests, in runs, below which it counts as zero.
const MIN_FAILURE_LOAD: f64 = 0.05;

/// A replica's report of its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Runs in progress, of all senders.
    pub running: u32,
    /// Runs that are queued in the replica.
    pub queued: u32,
    /// Runs that the replica can execute at full speed.
    pub capacity: u32,
    /// Whether the health check of the replica passes.
    pub healthy: bool,
    /// Whether the replica is draining and takes no new work.
    pub leaving: bool,
    /// Age of the measurement.
    pub age: Duration,
}

/// Outcome of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The replica served it completely.
    Served {
        /// Time from sending to completion.
        time: Duration,
    },
    /// It failed through a fault of the replica.
    Failed,
    /// The replica was full and refused it.
    Refused {
        /// Delay after which the replica accepts work again.
        retry_after: Duration,
    },
    /// It ended for a reason unrelated to the replica.
    Cancelled,
}

/// Minimum of the normal failure share; a lower one can't be estimated from few requests.
const MIN_NORMAL_SHARE: f64 = 0.05;

/// Failure share of a faulty server: a multiple of the normal share, and a minimum.
const FAULTY_SHARE_FACTOR: f64 = 3.0;
const MIN_FAULTY_SHARE: f64 = 0.4;

/// Log likelihood ratio at which a recent fault ejects a server. It corresponds to three failures
/// in five requests where failures are rare. A healthy server with one failure in 25 reaches it
/// about once in two thousand requests and is then out of use for one ejection.
const EJECTION_LOG_RATIO: f64 = 5.0;

/// A replica as the pool tracks it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) server: Server,
    /// Time at which the replica joined; older information does not apply to it.
    pub(crate) joined_at: Clock,
    pub(crate) healthy: bool,
    pub(crate) leaving: bool,
    /// Runs of this sender in progress.
    pub(crate) own_runs: u32,
    load: Load,
    served: Decay,
    failed: Decay,
    /// Load from failed requests, see [`Member::score`].
    failure_load: Decay,
    consecutive_failures: u32,
    /// Log likelihood ratio of the recent requests for a fault, see
    /// [`Member::update_fault_evidence`].
    fault_evidence: f64,
    /// Consecutive ejections without a served request in between.
    ejections: u32,
    ejected_until: Clock,
    /// Whether the single probe request of an ejected replica is in flight.
    is_probing: bool,
    /// Whether the replica has begun to answer a request since its last ejection.
    has_recovered: bool,
    full_until: Clock,
    /// Sequence number of the last cache event.
    pub(crate) last_seq: u64,
    /// Prefixes last seen before this time are doubtful, as cache events were lost.
    pub(crate) cache_doubtful_before: Clock,
}

/// The last report and the history of own runs that corrects it.
#[derive(Clone, Debug, Default)]
struct Load {
    reported: u32,
    capacity: u32,
    /// Own runs that the report includes.
    own_at_report: u32,
    /// Runs of other senders per own run, set when the report is implausible.
    others_per_own: Option<f64>,
    /// Own runs in progress at recent times, the oldest first.
    samples: VecDeque<(Clock, u32)>,
}

impl Member {
    pub(crate) fn new(now: Clock, server: Server) -> Member {
        Member {
            server,
            joined_at: now,
            healthy: true,
            leaving: false,
            own_runs: 0,
            load: Load::default(),
            served: Decay::default(),
            failed: Decay::default(),
            failure_load: Decay::default(),
            consecutive_failures: 0,
            fault_evidence: 0.0,
            ejections: 0,
            ejected_until: Clock::ZERO,
            is_probing: false,
            has_recovered: true,
            full_until: Clock::ZERO,
            last_seq: 0,
            cache_doubtful_before: now,
        }
    }

    pub(crate) fn record_report(&mut self, now: Clock, report: &Report) {
        self.healthy = report.healthy;
        self.leaving = report.leaving;
        self.load.reported = report.running.saturating_add(report.queued);
        self.load.capacity = report.capacity;
        self.load.own_at_report = self.own_at(now.saturating_sub(report.age));
    }

    /// Returns whether the report is below the own runs at that time. If a replica reported too low
    /// a load for long, each sender would fill it as if it were the only sender.
    pub(crate) fn is_implausible(&self) -> bool {
        self.load.reported + MAX_UNREPORTED_RUNS < self.load.own_at_report
    }

    /// Returns the own runs and all runs that the report includes.
    pub(crate) fn reported(&self) -> (u32, u32) {
        (self.load.own_at_report, self.load.reported)
    }

    /// Sets the number of runs of other senders per own run that replaces the report, or removes
    /// it.
    pub(crate) fn set_others_per_own(&mut self, others_per_own: Option<f64>) {
        self.load.others_per_own = others_per_own;
    }

    pub(crate) fn sent(&mut self, now: Clock) {
        self.own_runs += 1;
        self.is_probing = !self.has_recovered;
        self.record_sample(now);
    }

    /// Records that the replica has begun to answer a request, which ends its probe.
    pub(crate) fn answered(&mut self) {
        self.is_probing = false;
        self.has_recovered = true;
    }

    pub(crate) fn release(&mut self, now: Clock) {
        self.own_runs = self.own_runs.saturating_sub(1);
        self.is_probing = false;
        self.record_sample(now);
    }

    /// Records the outcome of a run and releases it.
    pub(crate) fn done(
        &mut self,
        now: Clock,
        outcome: Outcome,
        mean_time: Duration,
        settings: &Settings,
    ) {
        self.release(now);
        match outcome {
            Outcome::Served { .. } => {
                self.served.add(now, settings.failure_half_life, 1.0);
                self.consecutive_failures = 0;
                if self.ejected_until <= now {
                    self.ejections = 0;
                    self.answered();
                }
            }
            Outcome::Failed => {
                self.failed.add(now, settings.failure_half_life, 1.0);
                self.failure_load.add(now, mean_time, 1.0);
                self.consecutive_failures += 1;
            }
            Outcome::Refused { retry_after } => {
                self.full_until = self.full_until.max(now.saturating_add(retry_after));
            }
            Outcome::Cancelled => {}
        }
    }

    fn record_sample(&mut self, now: Clock) {
        let samples = &mut self.load.samples;
        if let Some((at, own)) = samples.back_mut()
            && now.saturating_sub(*at) < SAMPLE_INTERVAL
        {
            *own = self.own_runs;
            return;
        }
        samples.push_back((now, self.own_runs));
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
    }

    /// Returns the own runs in progress at an earlier time.
    fn own_at(&self, at: Clock) -> u32 {
        let mut own = self
            .load
            .samples
            .front()
            .map_or(self.own_runs, |sample| sample.1);
        if self.load.samples.len() < MAX_SAMPLES {
            own = 0;
        }
        for (since, runs) in &self.load.samples {
            if *since > at {
                break;
            }
            own = *runs;
        }
        own
    }

    /// Returns the estimated number of runs in progress. Reports lag, so the part that this sender
    /// contributed is replaced by its current number of runs. Otherwise a burst goes to whichever
    /// replica last reported that it was idle.
    pub(crate) fn load(&self) -> f64 {
        let own = f64::from(self.own_runs);
        if let Some(ratio) = self.load.others_per_own {
            return own * (1.0 + ratio);
        }
        let others = self.load.reported.saturating_sub(self.load.own_at_report);
        f64::from(others) + own
    }

    pub(crate) fn capacity(&self, settings: &Settings) -> f64 {
        let capacity = match self.load.capacity {
            0 => settings.assumed_capacity,
            capacity => capacity,
        };
        f64::from(capacity.max(1))
    }

    /// Returns the load relative to capacity, including failures. A replica that fails at once
    /// always looks idle and would attract the traffic of the whole group; each failed request
    /// therefore counts as load for as long as a served one takes.
    pub(crate) fn score(&self, now: Clock, mean_time: Duration, settings: &Settings) -> f64 {
        let mut failure_load = self.failure_load.get(now, mean_time);
        if failure_load < MIN_FAILURE_LOAD {
            // Otherwise an idle group would avoid the replica forever, as any load is more than
            // none.
            failure_load = 0.0;
        }
        (self.load() + failure_load) / self.capacity(settings)
    }

    /// Returns whether the replica refused work and its retry delay has not elapsed.
    pub(crate) fn is_refusing(&self, now: Clock) -> bool {
        self.full_until > now
    }

    pub(crate) fn is_full(&self, now: Clock, settings: &Settings) -> bool {
        self.full_until > now || self.load() >= settings.full_load * self.capacity(settings)
    }

    /// Returns whether the replica is ejected, or its probe request is in flight.
    pub(crate) fn is_ejected(&self, now: Clock) -> bool {
        self.ejected_until > now || self.is_probing
    }

    pub(crate) fn counts(&self, now: Clock, settings: &Settings) -> (f64, f64) {
        let served = self.served.get(now, settings.failure_half_life);
        (served, self.failed.get(now, settings.failure_half_life))
    }

    /// Returns a score of an unusable replica; those with the lowest are used again first.
    pub(crate) fn unfitness(&self, now: Clock, settings: &Settings) -> f64 {
        let (served, failed) = self.counts(now, settings);
        let health = if self.healthy { 0.0 } else { 0.5 };
        health + failed / (served + failed + 1.0)
    }

    /// Ejects the replica if its failures stand out from those of the others in its group. When all
    /// fail alike, the cause lies elsewhere and an ejection does not help.
    pub(crate) fn eject_if_failing(&mut self, now: Clock, others: f64, settings: &Settings) {
        if self.ejected_until > now {
            // Requests in flight at the ejection fail as well and carry no new information.
            return;
        }
        let (served, failed) = self.counts(now, settings);
        let share = failed / (served + failed).max(f64::MIN_POSITIVE);
        let is_failing =
            failed >= settings.min_failures - 0.5 && share >= settings.max_failure_share;
        let stands_out = share >= 2.0 * others;
        let too_many_in_a_row =
            self.consecutive_failures >= settings.max_consecutive_failures && others < 0.5;
        let is_faulty = self.fault_evidence >= EJECTION_LOG_RATIO;
        let was_ejected = self.ejections > 0;
        if !(too_many_in_a_row || is_faulty || was_ejected || is_failing && stands_out) {
            return;
        }
        let factor = 1 << self.ejections.min(8);
        let duration = (settings.first_ejection * factor).min(settings.max_ejection);
        self.ejections += 1;
        self.ejected_until = now + duration;
        self.has_recovered = false;
        self.consecutive_failures = 0;
        self.fault_evidence = 0.0;
    }

    /// Adds a finished request to a cumulative sum of log likelihood ratios, which compares the
    /// failure share of a faulty server with the normal share here and `elsewhere`, and discards
    /// earlier successes. A failure share over a half-life of thirty seconds would detect a server
    /// that begins to lose two in five responses only after as long a time again.
    pub(crate) fn update_fault_evidence(
        &mut self,
        now: Clock,
        failed: bool,
        elsewhere: f64,
        settings: &Settings,
    ) {
        let (served, failures) = self.counts(now, settings);
        let own = failures / (served + failures).max(1.0);
        let normal = own.max(elsewhere).max(MIN_NORMAL_SHARE);
        let faulty = (FAULTY_SHARE_FACTOR * normal).max(MIN_FAULTY_SHARE);
        if faulty >= 1.0 {
            self.fault_evidence = 0.0;
            return;
        }
        let ratio = match failed {
            true => faulty / normal,
            false => (1.0 - faulty) / (1.0 - normal),
        };
        self.fault_evidence = (self.fault_evidence + ratio.ln()).max(0.0);
    }
}
