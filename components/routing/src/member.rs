//! One replica: its load as it can be estimated, and its failures.

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

/// Levels of own load that are remembered.
const LEVELS: usize = 32;

/// Time between two remembered levels; with [`LEVELS`] the longest lag that is corrected exactly.
const SPACING: Duration = Duration::from_millis(100);

/// Own work that a report may lack and still be true: it was under way when the reading was taken.
const PLAUSIBLE: u32 = 2;

/// Load by failures below which they no longer count, in runs.
const FORGOTTEN: f64 = 0.05;

/// What a replica says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Runs in progress, of all senders.
    pub running: u32,
    /// Runs that wait inside.
    pub queued: u32,
    /// Runs at full speed.
    pub capacity: u32,
    /// Its health check passes.
    pub healthy: bool,
    /// It is leaving: no new work.
    pub leaving: bool,
    /// How old the reading is.
    pub age: Duration,
}

/// What came of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served to its end.
    Served {
        /// From sending to the end.
        time: Duration,
    },
    /// Failed by the replica's fault.
    Failed,
    /// Refused because the replica is full.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
    /// Ended for reasons that say nothing about the replica.
    Cancelled,
}

/// Share of failures that a server is taken to have at the least: none can be told from few requests.
const USUAL: f64 = 0.05;

/// Share of failures of a faulty server: a multiple of the usual one, and at the least.
const FAULTY: f64 = 3.0;
const LEAST_FAULTY: f64 = 0.4;

/// Log likelihood ratio at which a fault that began of late ejects a server: three failures among five
/// requests where hardly any fails. A sound server with one failure in 25 gets there about once in
/// two thousand requests, and is missed for the time of an ejection.
const SUDDEN: f64 = 5.0;

/// A replica as the pool knows it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) server: Server,
    /// When it joined; what is older says nothing about it.
    pub(crate) since: Clock,
    pub(crate) healthy: bool,
    pub(crate) leaving: bool,
    /// Work of this sender in progress.
    pub(crate) own: u32,
    load: Load,
    served: Decay,
    failed: Decay,
    /// Work that failed, as load: see [`Member::score`].
    phantom: Decay,
    row: u32,
    /// How strongly the latest requests speak for a fault that began of late: see [`Member::weigh`].
    sudden: f64,
    /// Ejections without a served request since.
    ejections: u32,
    ejected_until: Clock,
    /// The one request that an ejected replica gets to prove itself is under way.
    trial: bool,
    /// It has begun to answer a request since it was ejected.
    proved: bool,
    full_until: Clock,
    /// Number of the last cache event.
    pub(crate) seq: u64,
    /// Cache knowledge from before this is doubtful, as events were lost.
    pub(crate) doubt: Clock,
}

/// The last report, and the levels of own work to correct it by.
#[derive(Clone, Debug, Default)]
struct Load {
    reported: u32,
    capacity: u32,
    /// Own work that the report holds.
    own_then: u32,
    /// Work of other senders for each piece of own work, when the report can't be true.
    guessed: Option<f64>,
    levels: VecDeque<(Clock, u32)>,
}

impl Member {
    pub(crate) fn new(now: Clock, server: Server) -> Member {
        Member {
            server,
            since: now,
            healthy: true,
            leaving: false,
            own: 0,
            load: Load::default(),
            served: Decay::default(),
            failed: Decay::default(),
            phantom: Decay::default(),
            row: 0,
            sudden: 0.0,
            ejections: 0,
            ejected_until: Clock::ZERO,
            trial: false,
            proved: true,
            full_until: Clock::ZERO,
            seq: 0,
            doubt: now,
        }
    }

    pub(crate) fn learn(&mut self, now: Clock, report: &Report) {
        self.healthy = report.healthy;
        self.leaving = report.leaving;
        self.load.reported = report.running.saturating_add(report.queued);
        self.load.capacity = report.capacity;
        self.load.own_then = self.own_at(now.saturating_sub(report.age));
    }

    /// Whether the report is below what this sender alone had there. A replica that reports too
    /// little for long would be filled by each sender as if it were the only one.
    pub(crate) fn implausible(&self) -> bool {
        self.load.reported + PLAUSIBLE < self.load.own_then
    }

    /// What the report says of own work and of all work.
    pub(crate) fn reported(&self) -> (u32, u32) {
        (self.load.own_then, self.load.reported)
    }

    /// Sets what to take for the work of others, for each piece of own work, in place of the
    /// report.
    pub(crate) fn guess(&mut self, others: Option<f64>) {
        self.load.guessed = others;
    }

    pub(crate) fn sent(&mut self, now: Clock) {
        self.own += 1;
        self.trial = !self.proved;
        self.note(now);
    }

    /// Notes that a request has begun to be answered: the replica works again.
    pub(crate) fn answered(&mut self) {
        self.trial = false;
        self.proved = true;
    }

    pub(crate) fn release(&mut self, now: Clock) {
        self.own = self.own.saturating_sub(1);
        self.trial = false;
        self.note(now);
    }

    /// Ends a piece of work.
    pub(crate) fn done(
        &mut self,
        now: Clock,
        outcome: Outcome,
        usual: Duration,
        settings: &Settings,
    ) {
        self.release(now);
        match outcome {
            Outcome::Served { .. } => {
                self.served.add(now, settings.failure_half_life, 1.0);
                self.row = 0;
                if self.ejected_until <= now {
                    self.ejections = 0;
                    self.answered();
                }
            }
            Outcome::Failed => {
                self.failed.add(now, settings.failure_half_life, 1.0);
                self.phantom.add(now, usual, 1.0);
                self.row += 1;
            }
            Outcome::Refused { retry_after } => {
                self.full_until = self.full_until.max(now + retry_after);
            }
            Outcome::Cancelled => {}
        }
    }

    fn note(&mut self, now: Clock) {
        let levels = &mut self.load.levels;
        if let Some((at, own)) = levels.back_mut()
            && now.saturating_sub(*at) < SPACING
        {
            *own = self.own;
            return;
        }
        levels.push_back((now, self.own));
        if levels.len() > LEVELS {
            levels.pop_front();
        }
    }

    /// Own work in progress at an earlier time.
    fn own_at(&self, at: Clock) -> u32 {
        let mut own = self.load.levels.front().map_or(self.own, |level| level.1);
        if self.load.levels.len() < LEVELS {
            own = 0;
        }
        for (since, level) in &self.load.levels {
            if *since > at {
                break;
            }
            own = *level;
        }
        own
    }

    /// Work in progress, estimated. A report lags: of what it counts, this sender's part is
    /// replaced by what this sender knows now. Else a burst goes to whichever replica last
    /// reported to be idle.
    pub(crate) fn load(&self) -> f64 {
        let own = f64::from(self.own);
        if let Some(others) = self.load.guessed {
            return own * (1.0 + others);
        }
        let others = self.load.reported.saturating_sub(self.load.own_then);
        f64::from(others) + own
    }

    pub(crate) fn capacity(&self, settings: &Settings) -> f64 {
        let capacity = match self.load.capacity {
            0 => settings.assumed_capacity,
            capacity => capacity,
        };
        f64::from(capacity.max(1))
    }

    /// Load relative to capacity, failures included. A replica that fails at once always looks
    /// idle, and would draw the traffic of the whole group; so each failed request counts as load
    /// for as long as a served one would have taken.
    pub(crate) fn score(&self, now: Clock, usual: Duration, settings: &Settings) -> f64 {
        let mut phantom = self.phantom.get(now, usual);
        if phantom < FORGOTTEN {
            // Else an idle group would shun the replica for good: any load is more than none.
            phantom = 0.0;
        }
        (self.load() + phantom) / self.capacity(settings)
    }

    /// Whether the replica refused work and asked to be left alone for a while.
    pub(crate) fn refusing(&self, now: Clock) -> bool {
        self.full_until > now
    }

    pub(crate) fn full(&self, now: Clock, settings: &Settings) -> bool {
        self.full_until > now || self.load() >= settings.full_load * self.capacity(settings)
    }

    /// Out because of failures: ejected, or back with its one request for trial under way.
    pub(crate) fn ejected(&self, now: Clock) -> bool {
        self.ejected_until > now || self.trial
    }

    pub(crate) fn counts(&self, now: Clock, settings: &Settings) -> (f64, f64) {
        let served = self.served.get(now, settings.failure_half_life);
        (served, self.failed.get(now, settings.failure_half_life))
    }

    /// How bad it looks, for the order in which replicas are taken back.
    pub(crate) fn badness(&self, now: Clock, settings: &Settings) -> f64 {
        let (served, failed) = self.counts(now, settings);
        let health = if self.healthy { 0.0 } else { 0.5 };
        health + failed / (served + failed + 1.0)
    }

    /// Ejects the replica if its failures stand out from those of the others in its group. When
    /// all fail alike, the cause is elsewhere and ejecting helps nobody.
    pub(crate) fn judge(&mut self, now: Clock, others: f64, settings: &Settings) {
        if self.ejected_until > now {
            // What was under way when it was ejected fails as well, and says nothing new.
            return;
        }
        let (served, failed) = self.counts(now, settings);
        let share = failed / (served + failed).max(f64::MIN_POSITIVE);
        let many = failed >= settings.min_failures - 0.5 && share >= settings.max_failure_share;
        let stands_out = share >= 2.0 * others;
        let row = self.row >= settings.max_consecutive_failures && others < 0.5;
        let sudden = self.sudden >= SUDDEN;
        let on_trial = self.ejections > 0;
        if !(row || sudden || on_trial || many && stands_out) {
            return;
        }
        let doubled = 1 << self.ejections.min(8);
        let time = (settings.first_ejection * doubled).min(settings.max_ejection);
        self.ejections += 1;
        self.ejected_until = now + time;
        self.proved = false;
        self.row = 0;
        self.sudden = 0.0;
    }

    /// Weighs a request that ended against the share of failures that is usual here and `elsewhere`:
    /// a cumulative sum of log likelihood ratios, which forgets good times. A share over half a minute
    /// sees a server that begins to lose two in five answers after as long a time again.
    pub(crate) fn weigh(&mut self, now: Clock, failed: bool, elsewhere: f64, settings: &Settings) {
        let (good, bad) = self.counts(now, settings);
        let own = bad / (good + bad).max(1.0);
        let usual = own.max(elsewhere).max(USUAL);
        let faulty = (FAULTY * usual).max(LEAST_FAULTY);
        if faulty >= 1.0 {
            self.sudden = 0.0;
            return;
        }
        let ratio = match failed {
            true => faulty / usual,
            false => (1.0 - faulty) / (1.0 - usual),
        };
        self.sudden = (self.sudden + ratio.ln()).max(0.0);
    }
}
