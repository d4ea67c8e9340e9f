//! Attributes crashes to a prompt part while servers crash so often that no run lives in between.
//!
//! Servers that fail by themselves crash under requests that have nothing in common, or under what
//! most requests have. A part that accounts for nearly all crashes, although more requests were run
//! without it, is the cause.

use std::{
    collections::HashSet,
    time::Duration, //
};

use super::{
    Case,
    Crash,
    Fingerprint,
    ServiceId,
    Stage,
    cases,
    has_rival,
    select, //
};

/// Time before the last crash from which crashes are considered.
const WINDOW: Duration = Duration::from_secs(5);

/// Minimum number of crashes of a service, and of those under each part.
const MIN_CRASHES: usize = 5;

/// Minimum number of moments at which servers crashed under a part.
const MIN_MOMENTS: usize = 3;

/// Time between two moments: servers that fail together crash at one moment.
const MOMENT_GAP: Duration = Duration::from_millis(250);

/// Minimum number of requests with a part at the crashes.
const MIN_REQUESTS: usize = 3;

/// Share of the crashes that may remain unexplained: the report on a run is lost with its process.
const MAX_UNEXPLAINED_SHARE: f64 = 0.125;

/// Returns the part that accounts for the recent crashes of a service, if there is one.
pub(super) fn find_part(crashes: &[Crash]) -> Option<Fingerprint> {
    let services: HashSet<ServiceId> = crashes.iter().filter_map(Crash::service).collect();
    services
        .into_iter()
        .find_map(|service| common_part(&recent(crashes, service)))
}

impl Crash {
    fn service(&self) -> Option<ServiceId> {
        self.runs.first().map(|run| run.service)
    }
}

/// Returns the recent crashes of a service under runs that had started.
fn recent(crashes: &[Crash], service: ServiceId) -> Vec<Crash> {
    let of_service = |crash: &&Crash| crash.service() == Some(service);
    let mut recent: Vec<Crash> = crashes.iter().filter(of_service).cloned().collect();
    let last = recent.iter().map(|crash| crash.at).max();
    recent.retain(|crash| {
        let has_started = crash.runs.iter().any(|run| run.stage != Stage::Pending);
        has_started && Some(crash.at + WINDOW) > last
    });
    recent
}

/// Returns the most specific part that accounts for nearly all crashes.
fn common_part(crashes: &[Crash]) -> Option<Fingerprint> {
    if crashes.len() < MIN_CRASHES {
        return None;
    }
    let max_unexplained = (crashes.len() as f64 * MAX_UNEXPLAINED_SHARE) as usize;
    let requests = crashes.iter().flat_map(|crash| &crash.runs);
    let requests: HashSet<Fingerprint> = requests.map(|run| run.request).collect();
    let accounts = |case: &Case<'_>| {
        case.candidate.distance.is_some()
            && case.crashes.len() >= MIN_CRASHES
            && case.crashes.len() + max_unexplained >= crashes.len()
            && case.requests.len() >= MIN_REQUESTS
            && case.requests.len() * 2 <= requests.len()
            && count_moments(&case.crashes) >= MIN_MOMENTS
            && !has_rival(case, crashes)
    };
    let cases = cases(crashes).into_iter().filter(accounts);
    let case = select(cases.collect())?;
    Some(case.candidate.fingerprint)
}

fn count_moments(crashes: &[&Crash]) -> usize {
    let mut moments = 0;
    let mut last = None;
    for crash in crashes {
        if last.is_none_or(|last| crash.at >= last + MOMENT_GAP) {
            moments += 1;
            last = Some(crash.at);
        }
    }
    moments
}
