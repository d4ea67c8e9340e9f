//! When runs lived, as far as that tells crashes apart.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use names::Clock;

use super::{
    Fingerprint,
    Observation,
    REPORT_TTL,
    Report,
    SETTLE_TIME,
    ServiceId,
    Subject,
    attribution, //
};

/// In place of a request, in reports on lives of a service.
const NO_REQUEST: Fingerprint = 0;

/// Number of stored causes that survived from which some are removed, and that of those that remain.
const MANY_SURVIVORS: usize = 1024;
const MAX_SURVIVORS: usize = 512;

/// Number of stored times at which runs of a service lived, from which those that tell no two crashes
/// apart are removed.
const MANY_LIVES: usize = 1024;

/// Shortest time between two of the latest lives that are kept: servers that crash within it crash
/// together.
const LIFE_SPACING: Duration = Duration::from_millis(10);

/// When runs lived.
#[derive(Clone, Debug, Default)]
pub(super) struct Lives {
    /// Last time for each cause, and its service.
    causes: BTreeMap<Fingerprint, (ServiceId, Clock)>,
    /// Times for each service, by which crashes are told apart.
    services: attribution::Lives,
}

impl Lives {
    /// Records a time; returns whether it changed anything.
    pub(super) fn record(&mut self, at: Clock, subject: &Subject) -> bool {
        let times = self.services.entry(subject.service).or_default();
        let mut changed = times.insert(at);
        for cause in subject.causes().filter(|cause| *cause != NO_REQUEST) {
            if !self.has_since(cause, at) {
                changed = true;
                self.causes.insert(cause, (subject.service, at));
            }
        }
        changed
    }

    /// Returns whether a run with a cause lived at a time or later.
    pub(super) fn has_since(&self, cause: Fingerprint, at: Clock) -> bool {
        self.last(cause).is_some_and(|last| last >= at)
    }

    /// Returns the last time at which a run with a cause lived.
    pub(super) fn last(&self, cause: Fingerprint) -> Option<Clock> {
        self.causes.get(&cause).map(|(_, at)| *at)
    }

    /// Returns the times at which runs of each service lived.
    pub(super) fn services(&self) -> &attribution::Lives {
        &self.services
    }

    /// Returns whether so much is stored that some of it should be removed.
    pub(super) fn are_many(&self) -> bool {
        let mut services = self.services.values();
        self.causes.len() > MANY_SURVIVORS || services.any(|times| times.len() > MANY_LIVES)
    }

    /// Removes, where there are many, the times that tell no two crashes apart, and the oldest causes,
    /// those that were at no crash first: without its survival, a cause would be at its earlier crashes
    /// again. `crashes` are the times of all crashes, and `causes` what was at them.
    pub(super) fn thin(&mut self, now: Clock, crashes: &[Clock], causes: &BTreeSet<Fingerprint>) {
        if self.causes.len() > MANY_SURVIVORS {
            let mut all: Vec<_> = self.causes.iter().collect();
            all.sort_unstable_by_key(|(cause, (_, at))| (causes.contains(cause), *at));
            let excess = all.len().saturating_sub(MAX_SURVIVORS);
            let least: Vec<Fingerprint> = all[..excess].iter().map(|(cause, _)| **cause).collect();
            for cause in least {
                self.causes.remove(&cause);
            }
        }
        for times in self.services.values_mut() {
            if times.len() > MANY_LIVES {
                *times = separating(times, crashes, now.saturating_sub(SETTLE_TIME));
            }
            while times.len() > MANY_LIVES {
                times.pop_first();
            }
        }
    }

    /// Removes expired times.
    pub(super) fn prune(&mut self, now: Clock) {
        let is_current = |at: &Clock| *at + REPORT_TTL > now;
        self.causes.retain(|_, (_, at)| is_current(at));
        for times in self.services.values_mut() {
            times.retain(is_current);
        }
        self.services.retain(|_, times| !times.is_empty());
    }

    /// Returns reports on all causes, and on the lives that tell crashes apart.
    pub(super) fn reports(
        &self,
        now: Clock,
        crashes: &[Clock],
        observation: Observation,
    ) -> Vec<Report> {
        let mut reports = Vec::new();
        for (service, times) in &self.services {
            for at in separating(times, crashes, now) {
                let subject = Subject::new(*service, NO_REQUEST, []);
                reports.push(Report::new(now, at, subject, observation));
            }
        }
        for (cause, (service, at)) in &self.causes {
            let subject = Subject::new(*service, *cause, []);
            reports.push(Report::new(now, *at, subject, observation));
        }
        reports
    }
}

/// Returns the last life, the last one before each crash, and those since a time that aren't together.
fn separating(lives: &BTreeSet<Clock>, crashes: &[Clock], since: Clock) -> BTreeSet<Clock> {
    let mut kept = BTreeSet::new();
    let mut last: Option<Clock> = None;
    for at in lives.range(since..) {
        if last.is_none_or(|last| *at - last >= LIFE_SPACING) {
            kept.insert(*at);
            last = Some(*at);
        }
    }
    kept.extend(lives.last());
    for crash in crashes {
        kept.extend(lives.range(..=*crash).next_back());
    }
    kept
}
