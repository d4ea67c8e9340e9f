//! Evidence against requests that crash servers, from processes that each see a part of the requests
//! on a server.
//!
//! Without sidecars no process sees all that was in flight at a crash, and news from the others may
//! be late or lost. So each process reports which of its own requests had not yet survived there,
//! and one crash convicts nobody. A request is refused when several crashes are attributed to it
//! and no other request was in flight at all of them. Every run that survives voids the earlier
//! crashes of its request.
//!
//! Reports are merged by union, and the verdicts follow from the merged reports alone. A late report
//! therefore also corrects an earlier verdict.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
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

/// Numeric id of one start of a server.
pub type ServerId = u32;

/// Time after the start of its run within which a request that crashes servers does so.
pub const PROBATION: Duration = Duration::from_secs(1);

/// Time for which reports count: longer than callers repeat a request, and short enough that a
/// wrong verdict doesn't last.
const REPORT_TTL: Duration = Duration::from_secs(600);

/// Time after the last crash before a conviction is stored: the runs that were under way have
/// survived or not by then, and reports have arrived.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Total weight of the crashes that convict a request: three at which it had started.
const CONVICTION_WEIGHT: u32 = 6;

/// Maximum number of stored crashes.
const MAX_CRASHES: usize = 256;

/// Maximum number of stored requests of one crash.
const MAX_RUNS_PER_CRASH: usize = 32;

/// Maximum number of stored requests that survived.
const MAX_SURVIVORS: usize = 512;

/// How far a run had come when its server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The server had not begun to answer. It may have been busy with other requests.
    Pending,
    /// The server had begun to run the request.
    Started,
}

impl Stage {
    fn weight(self) -> u32 {
        match self {
            Stage::Pending => 1,
            Stage::Started => 2,
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
        /// How far the run had come.
        stage: Stage,
    },
    /// A run survived the probation period, or ended with a response.
    Survived,
}

/// Observation as sent to other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// What was observed.
    pub observation: Observation,
    /// Milliseconds since the observation. Clocks of hosts differ, so no time of day is sent.
    pub age_ms: u32,
}

impl Report {
    /// Creates a report on an observation from the time `at`.
    pub fn new(
        now: Clock,
        at: Clock,
        fingerprint: Fingerprint,
        observation: Observation,
    ) -> Report {
        // Rounded up: a crash may look older than it is, never newer than a later survival.
        let age_ms = now.saturating_sub(at).as_millis() + 1;
        Report {
            fingerprint,
            observation,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }
}

/// Crash of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Crash {
    at: Clock,
    /// Requests in flight that had not survived.
    runs: BTreeMap<Fingerprint, Stage>,
}

/// Observations of all processes, and the verdicts that follow from them.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    crashes: BTreeMap<ServerId, Crash>,
    /// Last time at which a run of a request survived.
    survivors: BTreeMap<Fingerprint, Clock>,
    /// Requests to which crashes are attributed. Follows from the observations.
    suspects: BTreeSet<Fingerprint>,
    /// Convicted requests with the end of their refusal. Follows from the observations.
    convicts: BTreeMap<Fingerprint, Clock>,
    /// Requests that are refused according to the store, whatever is known of the crashes.
    stored: BTreeSet<Fingerprint>,
}

impl Evidence {
    /// Records an observation from the time `at`; returns whether it was new.
    pub fn record(
        &mut self,
        now: Clock,
        at: Clock,
        fingerprint: Fingerprint,
        observation: Observation,
    ) -> bool {
        if at + REPORT_TTL <= now {
            return false;
        }
        let changed = match observation {
            Observation::Crashed { server, stage } => {
                self.record_crash(at, fingerprint, server, stage)
            }
            Observation::Survived => self.record_survival(at, fingerprint),
        };
        if changed {
            self.prune(now);
            self.update();
        }
        changed
    }

    /// Records the report of another process; returns whether it was new.
    pub fn apply(&mut self, now: Clock, report: &Report) -> bool {
        let age = Duration::from_millis(report.age_ms.into());
        let at = now.saturating_sub(age);
        self.record(now, at, report.fingerprint, report.observation)
    }

    /// Returns all observations, for a process that may have none.
    pub fn reports(&self, now: Clock) -> Vec<Report> {
        let mut reports = Vec::new();
        for (server, crash) in &self.crashes {
            for (fingerprint, stage) in &crash.runs {
                let observation = Observation::Crashed {
                    server: *server,
                    stage: *stage,
                };
                reports.push(Report::new(now, crash.at, *fingerprint, observation));
            }
        }
        for (fingerprint, at) in &self.survivors {
            reports.push(Report::new(now, *at, *fingerprint, Observation::Survived));
        }
        reports
    }

    /// Returns the verdict on a request.
    pub fn verdict(&self, now: Clock, fingerprint: Fingerprint) -> Verdict {
        let until = self.convicts.get(&fingerprint).copied();
        if let Some(until) = until.filter(|until| *until > now) {
            return Verdict::Refused {
                remaining: until - now,
            };
        }
        if self.stored.contains(&fingerprint) {
            return Verdict::Refused {
                remaining: REPORT_TTL,
            };
        }
        match self.suspects.contains(&fingerprint) {
            true => Verdict::Suspect,
            false => Verdict::Clear,
        }
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.stored.is_empty()
    }

    /// Sets whether the store has a refusal. It keeps refusals while all processes that know the
    /// crashes are lost.
    pub fn set_stored(&mut self, fingerprint: Fingerprint, stored: bool) {
        match stored {
            true => self.stored.insert(fingerprint),
            false => self.stored.remove(&fingerprint),
        };
    }

    /// Returns the convicted requests that the store should refuse but doesn't, each with the time
    /// for which it should. Late reports may still correct a conviction that has just been made.
    pub fn unstored(&self, now: Clock) -> Vec<(Fingerprint, Duration)> {
        let mut unstored = Vec::new();
        for (fingerprint, until) in &self.convicts {
            let is_settled = *until + SETTLE_TIME <= now + REPORT_TTL;
            if is_settled && *until > now && !self.stored.contains(fingerprint) {
                unstored.push((*fingerprint, *until - now));
            }
        }
        unstored
    }

    fn record_crash(
        &mut self,
        at: Clock,
        fingerprint: Fingerprint,
        server: ServerId,
        stage: Stage,
    ) -> bool {
        if self.has_survived_since(fingerprint, at) {
            return false;
        }
        let crash = self.crashes.entry(server).or_insert_with(|| Crash {
            at,
            runs: BTreeMap::new(),
        });
        let known = crash.runs.get(&fingerprint);
        let is_new = known.is_none_or(|known| *known < stage);
        let has_room = known.is_some() || crash.runs.len() < MAX_RUNS_PER_CRASH;
        if is_new && has_room {
            crash.runs.insert(fingerprint, stage);
        }
        is_new && has_room
    }

    fn record_survival(&mut self, at: Clock, fingerprint: Fingerprint) -> bool {
        if self.has_survived_since(fingerprint, at) {
            return false;
        }
        self.survivors.insert(fingerprint, at);
        self.stored.remove(&fingerprint);
        for crash in self.crashes.values_mut() {
            if crash.at <= at {
                crash.runs.remove(&fingerprint);
            }
        }
        true
    }

    fn has_survived_since(&self, fingerprint: Fingerprint, at: Clock) -> bool {
        self.survivors
            .get(&fingerprint)
            .is_some_and(|survived| *survived >= at)
    }

    /// Removes expired observations, then the oldest ones beyond the limits. Crashes that convict a
    /// request are kept.
    fn prune(&mut self, now: Clock) {
        self.crashes
            .retain(|_, crash| !crash.runs.is_empty() && crash.at + REPORT_TTL > now);
        self.survivors.retain(|_, at| *at + REPORT_TTL > now);
        while self.crashes.len() > MAX_CRASHES {
            let convicts = &self.convicts;
            let convicting =
                |crash: &Crash| crash.runs.keys().any(|run| convicts.contains_key(run));
            let crashes = self.crashes.iter();
            let oldest = crashes.min_by_key(|(_, crash)| (convicting(crash), crash.at));
            let Some(server) = oldest.map(|(server, _)| *server) else {
                return;
            };
            self.crashes.remove(&server);
        }
        while self.survivors.len() > MAX_SURVIVORS {
            let oldest = self.survivors.iter().min_by_key(|(_, at)| **at);
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.survivors.remove(&fingerprint);
        }
    }

    /// Derives the verdicts from the observations.
    fn update(&mut self) {
        self.convicts.clear();
        let mut unexplained: BTreeSet<ServerId> = self.crashes.keys().copied().collect();
        loop {
            let crashes = self.crashes_by_request(&unexplained);
            let convict = crashes
                .iter()
                .find(|(fingerprint, servers)| self.is_convicted(**fingerprint, servers));
            let Some((fingerprint, servers)) = convict else {
                self.suspects = crashes.into_keys().collect();
                break;
            };
            let last = servers.iter().map(|server| self.crashes[server].at).max();
            let until = last.unwrap_or_default() + REPORT_TTL;
            self.convicts.insert(*fingerprint, until);
            // The other requests at these crashes are no longer suspected for them.
            unexplained.retain(|server| !servers.contains(server));
        }
        self.suspects.extend(self.convicts.keys());
    }

    fn crashes_by_request(
        &self,
        servers: &BTreeSet<ServerId>,
    ) -> BTreeMap<Fingerprint, BTreeSet<ServerId>> {
        let mut crashes: BTreeMap<Fingerprint, BTreeSet<ServerId>> = BTreeMap::new();
        for server in servers {
            for fingerprint in self.crashes[server].runs.keys() {
                crashes.entry(*fingerprint).or_default().insert(*server);
            }
        }
        crashes
    }

    fn weight(&self, fingerprint: Fingerprint, servers: &BTreeSet<ServerId>) -> u32 {
        let stages = servers
            .iter()
            .filter_map(|server| self.crashes[server].runs.get(&fingerprint));
        stages.map(|stage| stage.weight()).sum()
    }

    /// Returns whether enough crashes are attributed to a request, and no other one was in flight at
    /// all of them.
    fn is_convicted(&self, fingerprint: Fingerprint, servers: &BTreeSet<ServerId>) -> bool {
        if self.weight(fingerprint, servers) < CONVICTION_WEIGHT {
            return false;
        }
        let mut crashes = servers.iter().map(|server| &self.crashes[server].runs);
        let Some(first) = crashes.next() else {
            return false;
        };
        let mut rivals: BTreeSet<Fingerprint> = first.keys().copied().collect();
        for runs in crashes {
            rivals.retain(|rival| runs.contains_key(rival));
        }
        rivals.len() == 1
    }
}
