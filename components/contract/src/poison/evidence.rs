//! Evidence against requests that crash servers, from processes that each see a part of the requests
//! on a server.
//!
//! What crashes servers is either a request, which comes again under other ids, or a part of a
//! prompt, which comes in requests that are otherwise all different. Both are causes: each request
//! has itself and the parts of its prompt as possible causes, from the most specific to the least.
//!
//! Without sidecars no process sees all that was in flight at a crash, and news from the others may
//! be late or lost. So each process reports which of its own requests had not yet survived there,
//! and one crash convicts nobody. A cause is refused when several crashes are attributed to it; see
//! the module `attribution`. Every run that survives voids the earlier crashes of its causes.
//!
//! Some servers end without a sign: their connections stay open, or their ports take new ones, and
//! nothing answers. What such a server ran is suspected and held back, but nothing is convicted until
//! it is known that the server has crashed; if it answers again, the suspicion ends.
//!
//! Reports are merged by union, and the verdicts follow from the merged reports alone. A late report
//! therefore also corrects an earlier verdict.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use names::Clock;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Fingerprint,
    Verdict, //
};

use self::{
    attribution::candidates,
    lives::Lives, //
};

mod attribution;
mod lives;

/// Numeric id of a server. It is the same after a restart.
pub type ServerId = u32;

/// Start of a server's process; 0 when it is unknown.
pub type ServerIncarnation = u32;

/// Numeric id of a service.
pub type ServiceId = u32;

/// Time after the start of its run within which a request that crashes servers does so.
pub const PROBATION: Duration = Duration::from_secs(1);

/// Age of a run that has outlived a request that crashes its server at once.
pub const LIFE_SIGN: Duration = Duration::from_millis(250);

/// Time for which reports count: longer than callers repeat a request, and short enough that a
/// wrong verdict doesn't last.
const REPORT_TTL: Duration = Duration::from_secs(600);

/// Time within which the processes notice a crash and tell each other of their runs at it.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// Time after the last crash before a conviction is stored: the runs that were under way have
/// survived or not by then, and reports have arrived.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time for which the silence of a server counts at most: longer than its registration may outlive it.
const SILENCE_TTL: Duration = Duration::from_secs(15);

/// Number of unexplained crashes in a series from which runs are separated.
const MIN_SERIES_CRASHES: usize = 4;

/// Maximum time after the last of them for which runs are separated, if none lives.
const MAX_SEPARATION_TIME: Duration = Duration::from_secs(5);

/// Time within which all processes notice the same crash of a server. Unless its new start is known,
/// a server that restarts and crashes again within it counts once.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// Maximum number of stored crashes.
const MAX_CRASHES: usize = 256;

/// Maximum number of stored runs of one crash that had started: more than a server of the larger
/// services runs at once, or runs and queues of a plain one, whose runs all count as started.
const MAX_STARTED_RUNS_PER_CRASH: usize = 64;

/// Maximum number of stored runs of one crash that had not started.
const MAX_PENDING_RUNS_PER_CRASH: usize = 16;

/// Maximum number of prompt parts that count as causes.
const MAX_PARTS: usize = 8;

/// What a request has that may crash servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// Service of the request.
    pub service: ServiceId,
    /// Fingerprint of the whole request.
    pub request: Fingerprint,
    /// Fingerprints of the parts of its prompt, in order.
    pub parts: Vec<Fingerprint>,
}

impl Subject {
    /// Creates a subject. Parts beyond the maximum number are left out.
    pub fn new(
        service: ServiceId,
        request: Fingerprint,
        parts: impl IntoIterator<Item = Fingerprint>,
    ) -> Subject {
        Subject {
            service,
            request,
            parts: parts.into_iter().take(MAX_PARTS).collect(),
        }
    }

    /// Returns the possible causes, from the most specific to the least.
    pub fn causes(&self) -> impl Iterator<Item = Fingerprint> {
        let parts = self.parts.iter().rev().copied();
        std::iter::once(self.request).chain(parts)
    }
}

/// How far a run had come when its server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The server had not begun to answer. It may have been busy with other requests.
    Pending,
    /// The server had begun to run the request.
    Started,
    /// The server had answered for [`LIFE_SIGN`].
    Lived,
}

impl Stage {
    fn weight(self) -> u32 {
        match self {
            Stage::Pending => 1,
            Stage::Started | Stage::Lived => 2,
        }
    }
}

/// What a process observed of one of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Observation {
    /// A server crashed before the run survived.
    Crashed {
        /// The server.
        server: ServerId,
        /// Start of its process, as far as the observer knows.
        incarnation: ServerIncarnation,
        /// How far the run had come.
        stage: Stage,
        /// Milliseconds from the send of the request to the crash.
        run_ms: u32,
    },
    /// A run was answered for [`LIFE_SIGN`].
    Lived,
    /// A run survived the probation period, or ended with a complete answer.
    Survived,
    /// A server stopped answering before the run survived. It may have crashed.
    Silent {
        /// The server.
        server: ServerId,
        /// Start of its process, as far as the observer knows.
        incarnation: ServerIncarnation,
        /// How far the run had come.
        stage: Stage,
        /// Milliseconds from the send of the request to the last time at which the server may have
        /// answered. If the server wasn't known to answer then, from the time at which it was.
        run_ms: u32,
    },
    /// A server that was silent hasn't crashed: it answers, or is still registered.
    Answered {
        /// The server.
        server: ServerId,
    },
}

/// Observation as sent to other processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The request, or those of its causes that the observation is about.
    pub subject: Subject,
    /// What was observed.
    pub observation: Observation,
    /// Milliseconds since the observation. Clocks of hosts differ, so no time of day is sent.
    pub age_ms: u32,
}

impl Report {
    /// Creates a report on an observation from the time `at`.
    pub fn new(now: Clock, at: Clock, subject: Subject, observation: Observation) -> Report {
        // Rounded up: a crash may look older than it is, never newer than a later survival.
        let age_ms = now.saturating_sub(at).as_millis() + 1;
        Report {
            subject,
            observation,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }
}

/// Run that had not survived when its server crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Run {
    /// Time of the crash.
    at: Clock,
    /// Whether the server has crashed. Otherwise it is only known to be silent.
    is_certain: bool,
    incarnation: ServerIncarnation,
    stage: Stage,
    /// Milliseconds from the send of the request to the crash.
    run_ms: u32,
    subject: Subject,
}

impl Run {
    fn began(&self) -> Clock {
        let length = Duration::from_millis(self.run_ms.into());
        self.at.saturating_sub(length)
    }

    /// Returns whether two runs at a server were in flight at the same crash.
    fn is_at_crash_of(&self, other: &Run) -> bool {
        let is_same_process = self.incarnation == other.incarnation
            || self.incarnation == 0
            || other.incarnation == 0;
        is_same_process && self.at.abs_diff(other.at) <= CRASH_WINDOW
    }
}

/// Observations of all processes, and the verdicts that follow from them.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Runs in flight at crashes of each server, in order of time.
    runs: BTreeMap<ServerId, Vec<Run>>,
    /// When servers that were silent last answered.
    answered: BTreeMap<ServerId, Clock>,
    /// Runs that survived.
    survived: Lives,
    /// Runs that survived, or gave a sign of life before.
    lived: Lives,
    /// Causes that were in flight at crashes and haven't survived since, whatever explains these.
    /// Follows from the observations.
    involved: BTreeSet<Fingerprint>,
    /// Causes to which crashes are attributed. Follows from the observations.
    suspects: BTreeSet<Fingerprint>,
    /// Causes of which one run at a time tells whether they crash servers. Follows from the
    /// observations.
    held: BTreeSet<Fingerprint>,
    /// Held causes of each run that was the only held one at a server which is only known to be silent.
    /// Follows from the observations.
    undecided: Vec<BTreeSet<Fingerprint>>,
    /// Convicted causes with the end of their refusal. Follows from the observations.
    convicts: BTreeMap<Fingerprint, Clock>,
    /// Causes that are refused while servers are silent. Follows from the observations.
    presumed: BTreeSet<Fingerprint>,
    /// Services with crashes since their last run lived. Follows from the observations.
    awaiting: attribution::Awaiting,
    /// Last crashes of each service that nothing explains. Follows from the observations.
    unexplained: BTreeMap<ServiceId, attribution::Series>,
    /// Requests that were in flight at crashes and haven't survived since. Follows from the
    /// observations.
    unproven: BTreeSet<Fingerprint>,
    /// Causes that are refused according to the store, whatever is known of the crashes.
    stored: BTreeSet<Fingerprint>,
}

impl Evidence {
    /// Records an observation from the time `at`; returns whether it was new.
    pub fn record(
        &mut self,
        now: Clock,
        at: Clock,
        subject: &Subject,
        observation: Observation,
    ) -> bool {
        let changed = self.store(now, at, subject, observation);
        if changed {
            self.prune(now);
            self.update();
        }
        changed
    }

    /// Records reports of another process.
    pub fn apply(&mut self, now: Clock, reports: &[Report]) {
        let mut changed = false;
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let at = now.saturating_sub(age);
            changed |= self.store(now, at, &report.subject, report.observation);
        }
        if changed {
            self.prune(now);
            self.update();
        }
    }

    /// Stores an observation; returns whether it was new.
    fn store(
        &mut self,
        now: Clock,
        at: Clock,
        subject: &Subject,
        observation: Observation,
    ) -> bool {
        if at + REPORT_TTL <= now {
            return false;
        }
        match observation {
            Observation::Crashed {
                server,
                incarnation,
                stage,
                run_ms,
            } => {
                let run = Run {
                    at,
                    is_certain: true,
                    incarnation,
                    stage,
                    run_ms,
                    subject: subject.clone(),
                };
                self.record_crash(server, run)
            }
            Observation::Silent {
                server,
                incarnation,
                stage,
                run_ms,
            } => {
                let run = Run {
                    at,
                    is_certain: false,
                    incarnation,
                    stage,
                    run_ms,
                    subject: subject.clone(),
                };
                let answered = self.answered.get(&server);
                answered.is_none_or(|answered| *answered < at) && self.record_crash(server, run)
            }
            Observation::Answered { server } => self.record_answer(server, at),
            Observation::Lived => self.lived.record(at, subject),
            Observation::Survived => self.record_survival(at, subject),
        }
    }

    /// Returns all observations, for a process that may have none.
    pub fn reports(&self, now: Clock) -> Vec<Report> {
        let mut reports = Vec::new();
        for (server, runs) in &self.runs {
            for run in runs {
                let (server, incarnation) = (*server, run.incarnation);
                let (stage, run_ms) = (run.stage, run.run_ms);
                let observation = match run.is_certain {
                    true => Observation::Crashed {
                        server,
                        incarnation,
                        stage,
                        run_ms,
                    },
                    false => Observation::Silent {
                        server,
                        incarnation,
                        stage,
                        run_ms,
                    },
                };
                reports.push(Report::new(now, run.at, run.subject.clone(), observation));
            }
        }
        let crashes = self.crash_times();
        let (lived, survived) = (Observation::Lived, Observation::Survived);
        reports.extend(self.lived.reports(now, &crashes, lived));
        reports.extend(self.survived.reports(now, &crashes, survived));
        reports
    }

    /// Returns the verdict on a cause.
    pub fn verdict(&self, now: Clock, cause: Fingerprint) -> Verdict {
        let until = self.convicts.get(&cause).copied();
        if let Some(until) = until.filter(|until| *until > now) {
            return Verdict::Refused {
                remaining: until - now,
            };
        }
        if self.stored.contains(&cause) {
            return Verdict::Refused {
                remaining: REPORT_TTL,
            };
        }
        if self.presumed.contains(&cause) {
            return Verdict::Refused {
                remaining: SILENCE_TTL,
            };
        }
        match self.suspects.contains(&cause) {
            true => Verdict::Suspect,
            false => Verdict::Clear,
        }
    }

    /// Returns the cause for which a request is refused, if it is.
    pub fn refused_cause(&self, now: Clock, subject: &Subject) -> Option<Fingerprint> {
        let is_refused =
            |cause: &Fingerprint| matches!(self.verdict(now, *cause), Verdict::Refused { .. });
        subject.causes().find(is_refused)
    }

    /// Returns how long the refusal of a cause may still be wrong, as runs in flight at its last crash
    /// may not have been reported yet; zero once all have been.
    pub fn unsettled_for(&self, now: Clock, cause: Fingerprint) -> Duration {
        if self.stored.contains(&cause) {
            return Duration::ZERO;
        }
        let until = self.convicts.get(&cause);
        let crashed_at = until.map(|until| until.saturating_sub(REPORT_TTL));
        crashed_at.map_or(Duration::ZERO, |at| (at + REPORT_TIME).saturating_sub(now))
    }

    /// Returns the number of causes of a request that were at so many crashes, always beside others, that
    /// only a run beside no other such request tells whether they crash servers. It must have
    /// a permit of the service's [`Arbiter`](super::trial::Arbiter) if there is any.
    pub fn held_causes(&self, subject: &Subject) -> usize {
        let is_held = |cause: &Fingerprint| self.held.contains(cause);
        subject.causes().filter(is_held).count()
    }

    /// Returns whether a request has all held causes of the only held run at a silent server. Until it
    /// is known whether that server has crashed, another such run would tell nothing more.
    pub fn is_undecided(&self, subject: &Subject) -> bool {
        let mut undecided = self.undecided.iter();
        undecided.any(|held| {
            let mut held = held.iter();
            held.all(|cause| subject.causes().any(|own| own == *cause))
        })
    }

    /// Returns whether the runs of a service must be separated: its servers crash one after the other,
    /// and no cause is known. Causes that are together at each crash can't be told apart, so each
    /// process has one run at a time at a server until it lives.
    pub fn separates(&self, now: Clock, service: ServiceId) -> bool {
        let Some(series) = self.unexplained.get(&service) else {
            return false;
        };
        // A run that began after the last crash has lived by then.
        let time = match series.has_lived {
            true => LIFE_SIGN,
            false => MAX_SEPARATION_TIME,
        };
        series.count >= MIN_SERIES_CRASHES && now < series.last + time
    }

    /// Returns what a sign of life or the survival of a request changes: the request with those of
    /// its parts that were at crashes. `None` if it changes nothing.
    pub fn relevant_to(&self, subject: &Subject, observation: Observation) -> Option<Subject> {
        // Crashes that are explained now would count again beside later ones for another reason.
        let is_involved =
            |cause: &Fingerprint| self.involved.contains(cause) || self.stored.contains(cause);
        let mut relevant = subject.clone();
        relevant.parts.retain(is_involved);
        let awaited = match observation {
            Observation::Lived => &self.awaiting.lives,
            _ => &self.awaiting.survivals,
        };
        let changes = !relevant.parts.is_empty()
            || is_involved(&subject.request)
            || awaited.contains(&subject.service);
        changes.then_some(relevant)
    }

    /// Returns whether a request was in flight at a server that crashed or is silent, and hasn't survived
    /// since. The next server that gets it must have answered just before: the end of one that was gone
    /// already would tell nothing of the request.
    pub fn is_unproven(&self, request: Fingerprint) -> bool {
        self.unproven.contains(&request)
    }

    /// Returns whether a server is only known to be silent.
    pub fn is_silent(&self, server: ServerId) -> bool {
        let mut runs = self.runs.get(&server).into_iter().flatten();
        runs.any(|run| !run.is_certain)
    }

    /// Returns whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.stored.is_empty()
    }

    /// Sets whether the store has a refusal. It keeps refusals while all processes that know the
    /// crashes are lost.
    pub fn set_stored(&mut self, cause: Fingerprint, stored: bool) {
        // The refusal is older than a survival that is known here.
        let is_cleared = self.survived.last(cause).is_some() && !self.suspects.contains(&cause);
        match stored && !is_cleared {
            true => self.stored.insert(cause),
            false => self.stored.remove(&cause),
        };
    }

    /// Returns the convicted causes that the store should refuse but doesn't, each with the time
    /// for which it should. Late reports may still correct a conviction that has just been made.
    pub fn unstored(&self, now: Clock) -> Vec<(Fingerprint, Duration)> {
        let mut unstored = Vec::new();
        for (cause, until) in &self.convicts {
            let is_settled = *until + SETTLE_TIME <= now + REPORT_TTL;
            if is_settled && *until > now && !self.stored.contains(cause) {
                unstored.push((*cause, *until - now));
            }
        }
        unstored
    }

    fn record_crash(&mut self, server: ServerId, run: Run) -> bool {
        if !self.has_live_cause(&run) {
            return false;
        }
        let runs = self.runs.entry(server).or_default();
        let is_copy = |other: &&mut Run| {
            other.subject.request == run.subject.request && other.is_at_crash_of(&run)
        };
        if let Some(known) = runs.iter_mut().find(is_copy) {
            let is_new = known.stage < run.stage || !known.is_certain && run.is_certain;
            known.stage = known.stage.max(run.stage);
            known.is_certain |= run.is_certain;
            return is_new;
        }
        // Runs that had started say more, and are limited apart.
        let is_pending = run.stage == Stage::Pending;
        let max_runs = match is_pending {
            true => MAX_PENDING_RUNS_PER_CRASH,
            false => MAX_STARTED_RUNS_PER_CRASH,
        };
        let is_alike = |other: &&Run| {
            (other.stage == Stage::Pending) == is_pending && other.is_at_crash_of(&run)
        };
        if runs.iter().filter(is_alike).count() >= max_runs {
            return false;
        }
        let index = runs.partition_point(|other| other.at <= run.at);
        runs.insert(index, run);
        true
    }

    /// Removes what the silence of a server told before a time; returns whether there was any.
    fn record_answer(&mut self, server: ServerId, at: Clock) -> bool {
        let answered = self.answered.entry(server).or_default();
        *answered = at.max(*answered);
        let Some(runs) = self.runs.get_mut(&server) else {
            return false;
        };
        let count = runs.len();
        runs.retain(|run| run.is_certain || run.at > at);
        count != runs.len()
    }

    fn record_survival(&mut self, at: Clock, subject: &Subject) -> bool {
        self.lived.record(at, subject);
        if !self.survived.record(at, subject) {
            return false;
        }
        for cause in subject.causes() {
            self.stored.remove(&cause);
        }
        true
    }

    fn has_live_cause(&self, run: &Run) -> bool {
        let mut causes = run.subject.causes();
        causes.any(|cause| !self.survived.has_since(cause, run.at))
    }

    /// Removes expired and voided observations, then the oldest ones beyond the limits. Runs that
    /// convict a cause are kept.
    fn prune(&mut self, now: Clock) {
        let mut all = std::mem::take(&mut self.runs);
        for runs in all.values_mut() {
            let expires_at = |run: &Run| match run.is_certain {
                true => run.at + REPORT_TTL,
                false => run.at + SILENCE_TTL,
            };
            runs.retain(|run| expires_at(run) > now && self.has_live_cause(run));
        }
        all.retain(|_, runs| !runs.is_empty());
        self.runs = all;
        self.answered.retain(|_, at| *at + SILENCE_TTL > now);
        if self.lived.are_many() || self.survived.are_many() {
            let crashes = self.crash_times();
            let runs = self.runs.values().flatten();
            let causes = runs.flat_map(|run| run.subject.causes()).collect();
            self.lived.thin(now, &crashes, &causes);
            self.survived.thin(now, &crashes, &causes);
        }
        self.lived.prune(now);
        self.survived.prune(now);
        self.remove_oldest_crashes();
    }

    /// Returns the times of all runs at crashes, in order.
    fn crash_times(&self) -> Vec<Clock> {
        let runs = self.runs.values().flatten();
        let mut times: Vec<Clock> = runs.map(|run| run.at).collect();
        times.sort_unstable();
        times
    }

    /// Removes the oldest crashes beyond the limit, those that convict a cause last.
    fn remove_oldest_crashes(&mut self) {
        let count: usize = self.runs.values().map(|runs| by_crash(runs).len()).sum();
        if count <= MAX_CRASHES {
            return;
        }
        let convicts = &self.convicts;
        let is_convicting = |run: &Run| {
            run.subject
                .causes()
                .any(|cause| convicts.contains_key(&cause))
        };
        let mut crashes = Vec::new();
        for (server, runs) in &self.runs {
            for crash in by_crash(runs) {
                let key = (crash.iter().any(is_convicting), crash[0].at);
                crashes.push((key, *server, crash.len()));
            }
        }
        crashes.sort_unstable();
        let excess = crashes.len().saturating_sub(MAX_CRASHES);
        for ((_, at), server, count) in crashes.into_iter().take(excess) {
            let Some(runs) = self.runs.get_mut(&server) else {
                continue;
            };
            let first = runs.partition_point(|run| run.at < at);
            runs.drain(first..(first + count).min(runs.len()));
        }
        self.runs.retain(|_, runs| !runs.is_empty());
    }

    /// Derives the verdicts from the observations.
    fn update(&mut self) {
        let crashes = self.crashes();
        let runs = crashes.iter().flat_map(|crash| &crash.runs);
        self.involved = runs.flat_map(attribution::Run::fingerprints).collect();
        let runs = crashes.iter().flat_map(|crash| &crash.runs);
        self.unproven = runs.map(|run| run.request).collect();
        let (lived, survived) = (self.lived.services(), self.survived.services());
        let attribution = attribution::attribute(crashes, lived, survived);
        self.suspects = attribution.suspects;
        self.presumed = attribution.presumed;
        self.held = attribution.held;
        self.undecided = attribution.undecided;
        self.awaiting = attribution.awaiting;
        self.unexplained = attribution.unexplained;
        let convicts = attribution.convicts.into_iter();
        self.convicts = convicts
            .map(|(cause, last)| (cause, last + REPORT_TTL))
            .collect();
    }

    /// Groups the runs by crash, in order of time, with the causes that were not cleared since.
    fn crashes(&self) -> Vec<attribution::Crash> {
        let tallies = self.tallies();
        let is_cleared = |cause: Fingerprint, at: Clock| {
            if self.survived.has_since(cause, at) {
                return true;
            }
            let tally = tallies.get(&cause);
            tally.is_some_and(|tally| tally.strikes_early() && tally.lived >= Some(at))
        };
        let mut crashes = Vec::new();
        for runs in self.runs.values().flat_map(|runs| by_crash(runs)) {
            let mut crash = attribution::Crash {
                at: runs[0].at,
                is_certain: runs.iter().any(|run| run.is_certain),
                runs: Vec::with_capacity(runs.len()),
            };
            for run in runs {
                let causes = candidates(&run.subject).filter_map(|mut cause| {
                    let tally = tallies.get(&cause.fingerprint);
                    cause.strikes_early = tally.is_some_and(Tally::strikes_early);
                    (!is_cleared(cause.fingerprint, run.at)).then_some(cause)
                });
                crash.runs.push(attribution::Run {
                    stage: run.stage,
                    began: run.began(),
                    service: run.subject.service,
                    request: run.subject.request,
                    causes: causes.collect(),
                    is_test: false,
                });
            }
            crashes.push(crash);
        }
        crashes.sort_by_key(|crash| crash.at);
        crashes
    }

    /// Sums up how far the runs with each cause had come, the one that had come farthest at each crash.
    fn tallies(&self) -> HashMap<Fingerprint, Tally> {
        let mut tallies: HashMap<Fingerprint, Tally> = HashMap::new();
        for crash in self.runs.values().flat_map(|runs| by_crash(runs)) {
            let mut stages: HashMap<Fingerprint, Stage> = HashMap::new();
            for run in crash {
                for cause in run.subject.causes() {
                    let stage = stages.entry(cause).or_insert(run.stage);
                    *stage = run.stage.max(*stage);
                }
            }
            for (cause, stage) in stages {
                let tally = tallies.entry(cause).or_insert_with(|| Tally {
                    lived: self.lived.last(cause),
                    ..Tally::default()
                });
                match stage {
                    Stage::Lived => {
                        tally.lived_count += 1;
                        tally.lived = tally.lived.max(Some(crash[0].at));
                    }
                    Stage::Started => tally.started_count += 1,
                    Stage::Pending => tally.pending_count += 1,
                }
            }
        }
        tallies
    }
}

/// How far the runs with a cause had come at crashes.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    pending_count: usize,
    started_count: usize,
    lived_count: usize,
    /// Last time at which a run with the cause gave a sign of life.
    lived: Option<Clock>,
}

impl Tally {
    /// Returns whether the cause crashes servers before a sign of life, if it crashes them.
    fn strikes_early(&self) -> bool {
        let begun_count = self.started_count + self.lived_count;
        self.started_count > 2 * self.lived_count || self.pending_count > 2 * begun_count
    }
}

/// Splits the runs at a server, in order of time, by crash; no part is empty.
fn by_crash(mut runs: &[Run]) -> Vec<&[Run]> {
    let mut crashes = Vec::new();
    while let Some(first) = runs.first() {
        let same = runs.iter().take_while(|run| run.is_at_crash_of(first));
        let count = same.count();
        let (crash, rest) = runs.split_at(count);
        crashes.push(crash);
        runs = rest;
    }
    crashes
}
