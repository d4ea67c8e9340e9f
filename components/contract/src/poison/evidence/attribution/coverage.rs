//! Attributes crashes to prompt parts while servers crash so often that no run lives in between.
//!
//! Servers that fail by themselves crash under requests that have nothing in common, or under what
//! most requests have. One or two parts that account for nearly all crashes, although many requests
//! without them were run too, are the cause.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    time::Duration, //
};

use names::Clock;

use super::{
    Case,
    Crash,
    Fingerprint,
    ServiceId,
    Stage,
    cases,
    has_rival,
    is_beside_requests,
    select, //
};

/// Time within which crashes are considered together.
const WINDOW: Duration = Duration::from_secs(5);

/// Minimum number of crashes of a service, and of those under each part.
const MIN_CRASHES: usize = 5;

/// Minimum number of moments at which servers crashed under a part.
const MIN_MOMENTS: usize = 3;

/// Time between two moments: servers that fail together crash at one moment.
const MOMENT_GAP: Duration = Duration::from_millis(250);

/// Time within which servers that fail together crash, and their minimum number.
const OUTAGE_WINDOW: Duration = Duration::from_millis(50);
const MIN_OUTAGE_CRASHES: usize = 4;

/// Minimum number of requests with a part at the crashes.
const MIN_REQUESTS: usize = 3;

/// Maximum number of parts that together account for the crashes.
const MAX_PARTS: usize = 2;

/// Share of the crashes for which a part alone must account, if more requests have it.
const MIN_SINGLE_SHARE: f64 = 0.95;

/// Maximum share of the requests at the crashes that have such a part.
const MAX_SINGLE_REQUEST_SHARE: f64 = 0.6;

/// Maximum share of the requests at the crashes that have one of these parts, and any of them.
const MAX_REQUEST_SHARES: (f64, f64) = (0.4, 0.6);

/// Share of the crashes that may remain unexplained: the report on a run is lost with its process.
const MAX_UNEXPLAINED_SHARE: f64 = 0.125;

/// Returns the parts that together account for the recent crashes of a service; empty if there are
/// none. `convictable` requests explain the crashes under a part that was beside them.
pub(super) fn find_parts(crashes: &[Crash], convictable: &[Fingerprint]) -> Vec<Fingerprint> {
    let is_beside_requests = |part: &Fingerprint| {
        let mut cases = cases(crashes).into_iter();
        let case = cases.find(|case| case.candidate.fingerprint == *part);
        case.is_some_and(|case| is_beside_requests(&case, convictable, crashes))
    };
    let services: HashSet<ServiceId> = crashes.iter().filter_map(Crash::service).collect();
    for service in services {
        // Later crashes for another reason don't lift a conviction.
        let ends: BTreeMap<u64, Clock> = crashes
            .iter()
            .map(|crash| (crash.at.as_secs(), crash.at))
            .collect();
        for end in ends.into_values() {
            let parts = cover(within_window(crashes, service, end));
            if !parts.is_empty() && !parts.iter().any(is_beside_requests) {
                return parts;
            }
        }
    }
    Vec::new()
}

impl Crash {
    fn service(&self) -> Option<ServiceId> {
        self.runs.first().map(|run| run.service)
    }
}

/// Returns the crashes of a service until a time under runs that had started, without those of
/// servers that failed together.
fn within_window(crashes: &[Crash], service: ServiceId, end: Clock) -> Vec<Crash> {
    let begin = crashes.partition_point(|crash| crash.at + WINDOW <= end);
    let count = crashes[begin..].partition_point(|crash| crash.at <= end);
    let crashes = &crashes[begin..begin + count];
    let is_outage = |crash: &Crash| {
        let others = crashes.iter();
        let others = others.filter(|other| other.at.abs_diff(crash.at) <= OUTAGE_WINDOW);
        others.count() >= MIN_OUTAGE_CRASHES
    };
    let has_started = |crash: &Crash| crash.runs.iter().any(|run| run.stage != Stage::Pending);
    let of_service = |crash: &&Crash| crash.service() == Some(service);
    let in_window = crashes.iter().filter(of_service);
    let in_window = in_window.filter(|crash| has_started(crash) && !is_outage(crash));
    in_window.cloned().collect()
}

/// Requests at crashes, and those of them that have each part.
struct Requests {
    all: HashSet<Fingerprint>,
    by_part: HashMap<Fingerprint, HashSet<Fingerprint>>,
}

impl Requests {
    fn new(crashes: &[Crash]) -> Requests {
        let runs = crashes.iter().flat_map(|crash| &crash.runs);
        Requests {
            all: runs.map(|run| run.request).collect(),
            by_part: cases(crashes)
                .into_iter()
                .map(|case| (case.candidate.fingerprint, case.requests))
                .collect(),
        }
    }

    /// Returns the share of the requests that have any of some parts.
    fn share(&self, parts: &[Fingerprint]) -> f64 {
        let with_parts = parts.iter().filter_map(|part| self.by_part.get(part));
        let with_parts: HashSet<_> = with_parts.flatten().collect();
        with_parts.len() as f64 / self.all.len().max(1) as f64
    }
}

/// Returns the parts that account for nearly all crashes.
fn cover(mut crashes: Vec<Crash>) -> Vec<Fingerprint> {
    if crashes.len() < MIN_CRASHES {
        return Vec::new();
    }
    let requests = Requests::new(&crashes);
    for crash in &mut crashes {
        crash.runs.retain(|run| run.stage != Stage::Pending);
    }
    let max_unexplained = (crashes.len() as f64 * MAX_UNEXPLAINED_SHARE) as usize;
    let (max_share, max_total_share) = MAX_REQUEST_SHARES;
    let is_eligible = |case: &Case<'_>, max_share: f64| {
        case.candidate.distance.is_some()
            && case.crashes.len() >= MIN_CRASHES
            && case.requests.len() >= MIN_REQUESTS
            && requests.share(&[case.candidate.fingerprint]) <= max_share
            && count_moments(&case.crashes) >= MIN_MOMENTS
    };
    let min_single = crashes.len() as f64 * MIN_SINGLE_SHARE;
    let single = cases(&crashes).into_iter().filter(|case| {
        case.crashes.len() as f64 >= min_single
            && is_eligible(case, MAX_SINGLE_REQUEST_SHARE)
            && !has_rival(case, &crashes)
    });
    if let Some(case) = select(single.collect()) {
        return vec![case.candidate.fingerprint];
    }
    let mut parts = Vec::new();
    while crashes.len() > max_unexplained {
        let eligible = cases(&crashes)
            .into_iter()
            .filter(|case| is_eligible(case, max_share) && !has_rival(case, &crashes));
        let Some(case) = select(eligible.collect()) else {
            return Vec::new();
        };
        let part = case.candidate.fingerprint;
        parts.push(part);
        if parts.len() > MAX_PARTS {
            return Vec::new();
        }
        crashes.retain(|crash| !crash.has(part));
    }
    match requests.share(&parts) <= max_total_share {
        true => parts,
        false => Vec::new(),
    }
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
