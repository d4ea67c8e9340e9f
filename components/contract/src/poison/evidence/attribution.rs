//! Attributes crashes to their causes.
//!
//! A request is convicted by three crashes that follow each other: servers that fail at one moment
//! crash once under it. A prompt part may be in many requests at once. It is convicted by three crashes
//! under different requests, between which runs of the service outlived the time after which it
//! crashes servers; one doesn't count that came together with others without the part. Nothing is
//! convicted while another cause was in flight beside it at all of its crashes.
//!
//! A conviction explains its crashes. A request at crashes that are explained by another one is convicted
//! by two more.
//!
//! A server that is only known to be silent convicts nothing for good. What it ran is held back like
//! what is at crashes, and a cause that would be convicted if such servers had crashed is refused until
//! it is known what became of them.
//!
//! Causes that are together at each crash can't be told apart by crashes. Requests with a cause at three
//! crashes are held back: one at a time runs, over all processes, and what it does tells. Such a run is a
//! test. For a part its crash counts as one at which it had started. If its server falls silent, no other
//! one with the same causes runs until it is known what became of the server.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap,
        HashSet, //
    },
    ops::Bound,
    time::Duration, //
};

use names::Clock;

use super::{
    Fingerprint,
    ServiceId,
    Stage,
    Subject, //
};

/// Total weight of the crashes that convict a cause: three at which its run had started.
const CONVICTION_WEIGHT: u32 = 6;

/// The same for a prompt part whose runs had come to different stages, as those of requests beside
/// the cause do: five such crashes.
const LATE_CONVICTION_WEIGHT: u32 = 10;

/// Share of the crashes under a cause from which a more specific one accounts for them as well.
const MIN_PART_OF_WIDEST: f64 = 0.75;

/// Minimum number of crashes that convict a cause.
const MIN_CRASHES: usize = 3;

/// Number of crashes under a prompt part, not all at one moment, from which its runs are held back.
const MIN_HELD_PART_CRASHES: usize = 5;

/// Shortest time between two crashes that follow each other. Servers that fail at one moment are noticed
/// one after the other, and what was lost at the first may be sent to the next meanwhile.
const MIN_CRASH_GAP: Duration = Duration::from_millis(8);

/// Time by which a run may seem to have begun before the crash that it followed, as the processes
/// tell each other ages.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(5);

/// Minimum number of them that no other convicted cause explains.
const MIN_UNEXPLAINED_CRASHES: usize = 2;

/// Time without a crash that ends a series.
const SERIES_GAP: Duration = Duration::from_secs(2);

/// Time within which servers that fail together crash.
const OUTAGE_WINDOW: Duration = Duration::from_millis(250);

/// Number of other servers that crash at the same time under runs without a cause, from which a
/// crash says nothing about it.
const OUTAGE_CRASHES: usize = 2;

/// Crash of one server.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) at: Clock,
    /// Whether the server has crashed. Otherwise it is only known to be silent.
    pub(super) is_certain: bool,
    /// Runs in flight that had not survived.
    pub(super) runs: Vec<Run>,
}

/// Run in flight at a crash.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) stage: Stage,
    /// When the request was sent.
    pub(super) began: Clock,
    pub(super) service: ServiceId,
    pub(super) request: Fingerprint,
    /// Causes that have not survived since, from the most specific to the least.
    pub(super) causes: Vec<Candidate>,
    /// Whether it was held back, and nothing beside it was at as many crashes.
    pub(super) is_test: bool,
}

/// Possible cause of a crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) fingerprint: Fingerprint,
    /// Distance of a prompt part from the end of the prompt; `None` for a whole request. The nearer
    /// a part is to the end, the fewer requests have it.
    distance: Option<usize>,
    /// Whether it crashes servers before a sign of life, if it crashes them.
    pub(super) strikes_early: bool,
}

/// Returns the possible causes of crashes under a request, from the most specific to the least.
pub(super) fn candidates(subject: &Subject) -> impl Iterator<Item = Candidate> {
    let causes = subject.causes().enumerate();
    causes.map(|(index, fingerprint)| Candidate {
        fingerprint,
        distance: index.checked_sub(1),
        strikes_early: false,
    })
}

/// Result of the attribution.
#[derive(Debug, Default)]
pub(super) struct Attribution {
    /// Convicted causes with their last crashes.
    pub(super) convicts: BTreeMap<Fingerprint, Clock>,
    /// Causes that are convicted if the servers that are only known to be silent have crashed.
    pub(super) presumed: BTreeSet<Fingerprint>,
    /// Causes that may have crashed a server.
    pub(super) suspects: BTreeSet<Fingerprint>,
    /// Causes at so many crashes that they run one at a time.
    pub(super) held: BTreeSet<Fingerprint>,
    /// Held causes of each run that was the only held one at a server, which is only known to be silent.
    pub(super) undecided: Vec<BTreeSet<Fingerprint>>,
    pub(super) awaiting: Awaiting,
    /// Last series of crashes of each service.
    pub(super) unexplained: BTreeMap<ServiceId, Series>,
}

/// Crashes of a service one after the other that no convicted cause explains.
#[derive(Clone, Copy, Debug)]
pub(super) struct Series {
    pub(super) count: usize,
    /// Time of the last one.
    pub(super) last: Clock,
    /// Whether a run of the service lived since.
    pub(super) has_lived: bool,
}

/// Services with crashes under a prompt part after the last time that one of their runs lived.
#[derive(Clone, Debug, Default)]
pub(super) struct Awaiting {
    /// Services without a sign of life since.
    pub(super) lives: BTreeSet<ServiceId>,
    /// Services without a survival since.
    pub(super) survivals: BTreeSet<ServiceId>,
}

/// Times at which runs of each service lived.
pub(super) type Lives = BTreeMap<ServiceId, BTreeSet<Clock>>;

/// Attributes crashes, given in order of time. `lived` are the times of signs of life, `survived`
/// those of survivals.
pub(super) fn attribute(mut crashes: Vec<Crash>, lived: &Lives, survived: &Lives) -> Attribution {
    let mut attribution = Attribution {
        awaiting: Awaiting {
            lives: awaiting_services(&crashes, lived),
            survivals: awaiting_services(&crashes, survived),
        },
        ..Attribution::default()
    };
    mark_tests(&mut crashes);
    let all = crashes.clone();
    let mut silences: Vec<Crash> = crashes.extract_if(.., |crash| !crash.is_certain).collect();
    let certain = crashes.clone();
    while let Some(cause) = find_cause(&crashes, &certain, &attribution.convicts, lived, survived) {
        attribution.convict(&crashes, cause.fingerprint);
        explain(&mut crashes, cause);
        explain(&mut silences, cause);
    }
    attribution.unexplained = find_series(&crashes, lived);
    if !silences.is_empty() {
        attribution.presumed = presume(&all, &attribution.convicts, lived, survived);
    }
    crashes.append(&mut silences);
    let unexplained: HashSet<Fingerprint> = crashes
        .iter()
        .flat_map(|crash| &crash.runs)
        .flat_map(Run::fingerprints)
        .collect();
    // A crash that another cause explains may have been this one's.
    let held = cases(&all, MIN_CRASHES).into_iter().filter(Case::is_held);
    let held = held.map(|case| case.candidate);
    attribution.held = held
        .filter(|cause| cause.distance.is_none() || unexplained.contains(&cause.fingerprint))
        .map(|cause| cause.fingerprint)
        .collect();
    let silent = all.iter().filter(|crash| !crash.is_certain);
    let undecided = silent.filter_map(|crash| undecided_causes(crash, &all, &attribution.held));
    attribution.undecided = undecided.collect();
    let runs = crashes.iter().flat_map(|crash| &crash.runs);
    attribution
        .suspects
        .extend(runs.flat_map(Run::fingerprints));
    attribution
}

/// Marks the runs that were held back when they began, at servers that were heard after the crash before.
/// Such a run has a permit, so that no other one with a cause of as many crashes should be beside it:
/// that it wasn't begun to be answered then doesn't mean that the server was busy with others.
fn mark_tests(crashes: &mut [Crash]) {
    let counts = count_crashes(crashes);
    // Number of earlier crashes under each cause, and the time of the last one.
    let mut before: HashMap<Fingerprint, (usize, Clock)> = HashMap::new();
    for crash in crashes {
        let was_held = |run: &Run| {
            let mut known = run.fingerprints().filter_map(|cause| before.get(&cause));
            known.any(|(count, last)| *count >= MIN_CRASHES && run.began + CLOCK_TOLERANCE >= *last)
        };
        let is_rival = |run: &Run, other: &Run| {
            let mut causes = other.fingerprints();
            causes.any(|cause| counts[&cause] >= MIN_CRASHES && !run.has(cause))
        };
        let is_test = |run: &Run| {
            let mut others = crash.runs.iter();
            was_held(run) && !others.any(|other| is_rival(run, other))
        };
        let tests: Vec<bool> = crash.runs.iter().map(is_test).collect();
        for (run, is_test) in crash.runs.iter_mut().zip(tests) {
            run.is_test = is_test;
        }
        let causes: HashSet<Fingerprint> = crash.runs.iter().flat_map(Run::fingerprints).collect();
        for cause in causes {
            let (count, last) = before.entry(cause).or_default();
            *count += 1;
            *last = crash.at;
        }
    }
}

/// Returns the held causes of the only held request at a silent server, if it follows the crashes for which
/// they are held.
fn undecided_causes(
    silence: &Crash,
    all: &[Crash],
    held: &BTreeSet<Fingerprint>,
) -> Option<BTreeSet<Fingerprint>> {
    let was_held = |cause: Fingerprint| {
        let before = all.iter().take_while(|crash| silence.follows(crash.at));
        before.filter(|crash| crash.has(cause)).count() >= MIN_CRASHES
    };
    let held_causes = |run: &Run| -> BTreeSet<Fingerprint> {
        let causes = run.fingerprints();
        let causes = causes.filter(|cause| held.contains(cause) && was_held(*cause));
        causes.collect()
    };
    let all = silence.runs.iter().map(held_causes);
    let mut all = all.filter(|causes| !causes.is_empty());
    let causes = all.next()?;
    all.next().is_none().then_some(causes)
}

/// Returns the causes that would be convicted beside the `convicts` if all servers had crashed.
fn presume(
    all: &[Crash],
    convicts: &BTreeMap<Fingerprint, Clock>,
    lived: &Lives,
    survived: &Lives,
) -> BTreeSet<Fingerprint> {
    let mut found = Attribution {
        convicts: convicts.clone(),
        ..Attribution::default()
    };
    let mut presumed = BTreeSet::new();
    let mut crashes = all.to_vec();
    crashes.retain(|crash| !convicts.keys().any(|cause| crash.has(*cause)));
    while let Some(cause) = find_cause(&crashes, all, &found.convicts, lived, survived) {
        found.convict(&crashes, cause.fingerprint);
        explain(&mut crashes, cause);
        presumed.insert(cause.fingerprint);
    }
    presumed
}

/// Removes what a convicted cause explains.
fn explain(crashes: &mut Vec<Crash>, cause: Candidate) {
    match cause.distance {
        Some(_) => crashes.retain(|crash| !crash.has(cause.fingerprint)),
        // A request that crashes servers for a part of its prompt is refused with the part.
        None => {
            for crash in crashes {
                if crash.has(cause.fingerprint) {
                    crash.runs.retain(|run| run.has(cause.fingerprint));
                }
            }
        }
    }
}

impl Attribution {
    /// Records the conviction of a cause by its crashes.
    fn convict(&mut self, crashes: &[Crash], cause: Fingerprint) {
        let with_cause = crashes.iter().filter(|crash| crash.has(cause));
        let last = with_cause.map(|crash| crash.at).max();
        self.convicts.insert(cause, last.unwrap_or_default());
        self.suspects.insert(cause);
    }
}

impl Crash {
    fn has(&self, cause: Fingerprint) -> bool {
        self.runs.iter().any(|run| run.has(cause))
    }

    /// Returns whether it came after one at the time `at`, not at one moment with it.
    fn follows(&self, at: Clock) -> bool {
        self.at >= at + MIN_CRASH_GAP
    }
}

impl Run {
    fn has(&self, cause: Fingerprint) -> bool {
        let mut causes = self.causes.iter();
        causes.any(|candidate| candidate.fingerprint == cause)
    }

    /// Returns the weight of its crash for a part.
    fn weight(&self) -> u32 {
        match self.is_test {
            true => Stage::Started.weight(),
            false => self.stage.weight(),
        }
    }

    pub(super) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.causes.iter().map(|candidate| candidate.fingerprint)
    }
}

/// A candidate and the crashes under it.
#[derive(Debug)]
struct Case<'a> {
    candidate: Candidate,
    crashes: Vec<&'a Crash>,
    /// Requests at these crashes that have it.
    requests: HashSet<Fingerprint>,
}

impl Case<'_> {
    /// Returns whether runs with the cause are held back until one at a time shows whether it crashes
    /// servers. Servers that fail at one moment hold no prompt part back.
    fn is_held(&self) -> bool {
        let cause = self.candidate.fingerprint;
        let successive = successive_stages(cause, &self.crashes).count();
        match self.candidate.distance {
            None => self.crashes.len() >= MIN_CRASHES,
            Some(_) => {
                successive >= MIN_CRASHES
                    || successive > 1 && self.crashes.len() >= MIN_HELD_PART_CRASHES
            }
        }
    }

    /// Returns whether no other one of the causes that were `repeated` at crashes was beside this one at one
    /// of its crashes, and no convicted request, which explains it.
    fn is_singled_out(
        &self,
        repeated: &HashSet<Fingerprint>,
        convicts: &BTreeMap<Fingerprint, Clock>,
    ) -> bool {
        let cause = self.candidate.fingerprint;
        let is_explained = |crash: &Crash| {
            let mut runs = crash.runs.iter();
            runs.any(|run| convicts.contains_key(&run.request))
        };
        let mut open = self.crashes.iter().filter(|crash| !is_explained(crash));
        open.any(|crash| {
            let mut others = crash.runs.iter().filter(|run| !run.has(cause));
            !others.any(|run| run.fingerprints().any(|other| repeated.contains(&other)))
        })
    }

    /// Returns the order among cases with the same crashes: the most specific first.
    fn order(&self) -> (usize, Option<usize>, Fingerprint) {
        let candidate = &self.candidate;
        (
            self.requests.len(),
            candidate.distance,
            candidate.fingerprint,
        )
    }

    /// Returns whether each run with this cause has another cause too.
    fn is_within(&self, other: Fingerprint) -> bool {
        let cause = self.candidate.fingerprint;
        let runs = self.crashes.iter().flat_map(|crash| &crash.runs);
        let mut runs = runs.filter(|run| run.has(cause));
        runs.all(|run| run.has(other))
    }
}

/// Returns the case that accounts for the most crashes, or one within it that accounts for nearly as
/// many.
fn select<'a>(cases: Vec<Case<'a>>) -> Option<Case<'a>> {
    let order = |case: &Case<'_>| (std::cmp::Reverse(case.crashes.len()), case.order());
    let widest = cases.iter().min_by_key(|case| order(case))?;
    let cause = widest.candidate.fingerprint;
    let least = widest.crashes.len() as f64 * MIN_PART_OF_WIDEST;
    let mut within = cases;
    within.retain(|case| case.crashes.len() as f64 >= least && case.is_within(cause));
    within.into_iter().min_by_key(Case::order)
}

/// Returns the cases of all causes, with the crashes that didn't come together with others without
/// the cause.
fn single_cases(crashes: &[Crash]) -> impl Iterator<Item = Case<'_>> {
    cases(crashes, MIN_CRASHES).into_iter().map(|mut case| {
        let cause = case.candidate.fingerprint;
        case.crashes
            .retain(|crash| is_single(crash, cause, crashes));
        case
    })
}

/// Returns whether few other servers crashed at the same time without a cause.
fn is_single(crash: &Crash, cause: Fingerprint, crashes: &[Crash]) -> bool {
    let first = crash.at.saturating_sub(OUTAGE_WINDOW);
    let begin = crashes.partition_point(|other| other.at < first);
    let beside = crashes[begin..].iter();
    let beside = beside.take_while(|other| other.at <= crash.at + OUTAGE_WINDOW);
    beside.filter(|other| !other.has(cause)).count() < OUTAGE_CRASHES
}

/// Returns the number of crashes under each cause.
fn count_crashes(crashes: &[Crash]) -> HashMap<Fingerprint, usize> {
    let mut counts: HashMap<Fingerprint, (usize, usize)> = HashMap::new();
    for (index, crash) in crashes.iter().enumerate() {
        for cause in crash.runs.iter().flat_map(Run::fingerprints) {
            let (count, last) = counts.entry(cause).or_insert((1, index));
            if *last != index {
                (*count, *last) = (*count + 1, index);
            }
        }
    }
    let counts = counts.into_iter();
    counts.map(|(cause, (count, _))| (cause, count)).collect()
}

/// Returns the cases of all causes with enough crashes; most causes have a single one.
fn cases(crashes: &[Crash], min_crashes: usize) -> Vec<Case<'_>> {
    let counts = count_crashes(crashes);
    let mut cases: HashMap<Fingerprint, Case<'_>> = HashMap::new();
    for crash in crashes {
        let mut seen = HashSet::new();
        for run in &crash.runs {
            for candidate in &run.causes {
                let cause = candidate.fingerprint;
                if counts[&cause] < min_crashes {
                    continue;
                }
                let case = cases.entry(cause).or_insert_with(|| Case {
                    candidate: *candidate,
                    crashes: Vec::new(),
                    requests: HashSet::new(),
                });
                case.candidate.distance = case.candidate.distance.min(candidate.distance);
                case.requests.insert(run.request);
                if seen.insert(cause) {
                    case.crashes.push(crash);
                }
            }
        }
    }
    cases.into_values().collect()
}

/// Returns the cause that is convicted by the most crashes.
fn find_cause(
    crashes: &[Crash],
    all: &[Crash],
    convicts: &BTreeMap<Fingerprint, Clock>,
    lived: &Lives,
    survived: &Lives,
) -> Option<Candidate> {
    let mut convictable = part_cases(crashes, lived, survived);
    convictable.extend(request_cases(crashes, all));
    convictable.retain(|case| !convicts.contains_key(&case.candidate.fingerprint));
    if convictable.is_empty() {
        return None;
    }
    let counts = count_crashes(crashes).into_iter();
    let repeated =
        counts.filter(|(cause, count)| *count >= MIN_CRASHES && !convicts.contains_key(cause));
    let repeated = repeated.map(|(cause, _)| cause).collect();
    convictable.retain(|case| case.is_singled_out(&repeated, convicts));
    let convict = select(convictable)?;
    Some(convict.candidate)
}

/// Returns the cases of prompt parts that are convicted by crashes between which runs lived.
fn part_cases<'a>(crashes: &'a [Crash], lived: &Lives, survived: &Lives) -> Vec<Case<'a>> {
    let is_convicted = |case: &Case<'_>| {
        let cause = case.candidate.fingerprint;
        let (lives, weight) = match case.candidate.strikes_early {
            true => (lived, CONVICTION_WEIGHT),
            false => (survived, LATE_CONVICTION_WEIGHT),
        };
        case.candidate.distance.is_some()
            && case.crashes.len() >= MIN_CRASHES
            && part_weight(cause, &case.crashes, lives) >= weight
            && !has_rival(case, crashes)
    };
    single_cases(crashes).filter(is_convicted).collect()
}

/// Returns the cases of requests that are convicted by the crashes that nothing else explains, if
/// they were at enough crashes in all.
fn request_cases<'a>(crashes: &'a [Crash], all: &[Crash]) -> Vec<Case<'a>> {
    let is_convicted = |case: &Case<'_>| {
        let request = case.candidate.fingerprint;
        let with_request = all.iter().filter(|crash| crash.has(request));
        let with_request: Vec<&Crash> = with_request.collect();
        case.candidate.distance.is_none()
            && with_request.len() >= MIN_CRASHES
            && request_weight(request, &with_request) >= CONVICTION_WEIGHT
            && !has_rival(case, crashes)
    };
    let mut cases = cases(crashes, MIN_UNEXPLAINED_CRASHES);
    cases.retain(is_convicted);
    cases
}

/// Returns the total weight of the crashes of a request that follow each other.
fn request_weight(request: Fingerprint, crashes: &[&Crash]) -> u32 {
    successive_stages(request, crashes).map(Stage::weight).sum()
}

/// Returns how far the runs with a cause had come at those of its crashes that follow each other: at
/// each of them a run with the cause was sent after the crash before. Servers that fail together
/// crash under runs that were all sent before.
fn successive_stages(cause: Fingerprint, crashes: &[&Crash]) -> impl Iterator<Item = Stage> {
    let mut last: Option<Clock> = None;
    crashes.iter().filter_map(move |crash| {
        if last.is_some_and(|last| !crash.follows(last)) {
            return None;
        }
        let follows = |run: &&Run| {
            run.has(cause) && last.is_none_or(|last| run.began + CLOCK_TOLERANCE >= last)
        };
        let stage = crash
            .runs
            .iter()
            .filter(follows)
            .map(|run| run.stage)
            .max()?;
        last = Some(crash.at);
        Some(stage)
    })
}

/// Returns the weight of the crashes under a part. A crash counts if it comes under another request
/// than those before it, and if a run of the service lived since the one before it.
fn part_weight(part: Fingerprint, crashes: &[&Crash], lives: &Lives) -> u32 {
    let mut weight = 0;
    let mut last: Option<Clock> = None;
    let mut requests = HashSet::new();
    for crash in crashes {
        let runs = crash.runs.iter().filter(|run| run.has(part));
        let runs: Vec<&Run> = runs.collect();
        let Some(service) = runs.first().map(|run| run.service) else {
            continue;
        };
        let lived_since = |last: Clock| {
            let between = (Bound::Excluded(last), Bound::Included(crash.at));
            let times = lives.get(&service);
            last < crash.at && times.is_some_and(|times| times.range(between).next().is_some())
        };
        if !last.is_none_or(lived_since) {
            continue;
        }
        let others = runs.iter().filter(|run| !requests.contains(&run.request));
        let Some(heaviest) = others.map(|run| run.weight()).max() else {
            continue;
        };
        weight += heaviest;
        last = Some(crash.at);
        requests.extend(runs.iter().map(|run| run.request));
    }
    weight
}

/// Returns whether another cause was in flight at all crashes under one: in runs without it, or at
/// further crashes too and not only as a part of the same requests.
fn has_rival(case: &Case<'_>, crashes: &[Crash]) -> bool {
    let cause = case.candidate.fingerprint;
    let count = |rival: Fingerprint| crashes.iter().filter(|crash| crash.has(rival)).count();
    let is_beside = |rival: Fingerprint| {
        let mut crashes = case.crashes.iter();
        crashes.all(|crash| {
            let mut others = crash.runs.iter().filter(|run| !run.has(cause));
            others.any(|run| run.has(rival))
        })
    };
    let Some(first) = case.crashes.first() else {
        return false;
    };
    let mut rivals: HashSet<Fingerprint> = first.runs.iter().flat_map(Run::fingerprints).collect();
    rivals.remove(&cause);
    for crash in &case.crashes[1..] {
        rivals.retain(|rival| crash.has(*rival));
    }
    rivals.into_iter().any(|rival| {
        is_beside(rival) || (!case.is_within(rival) && count(rival) > case.crashes.len())
    })
}

/// Returns the services with a crash under a prompt part after the last of their `lives`.
fn awaiting_services(crashes: &[Crash], lives: &Lives) -> BTreeSet<ServiceId> {
    let mut services = BTreeSet::new();
    for crash in crashes {
        for run in &crash.runs {
            let has_part = run.causes.iter().any(|cause| cause.distance.is_some());
            let last = lives.get(&run.service).and_then(BTreeSet::last);
            if has_part && last.is_none_or(|last| *last <= crash.at) {
                services.insert(run.service);
            }
        }
    }
    services
}

/// Returns the last series of crashes of each service.
fn find_series(crashes: &[Crash], lives: &Lives) -> BTreeMap<ServiceId, Series> {
    let mut all: BTreeMap<ServiceId, Series> = BTreeMap::new();
    for crash in crashes {
        let Some(service) = crash.runs.first().map(|run| run.service) else {
            continue;
        };
        let last_life = lives.get(&service).and_then(BTreeSet::last);
        let before = all.get(&service);
        let before = before.filter(|series| crash.at <= series.last + SERIES_GAP);
        let series = Series {
            count: before.map_or(0, |series| series.count) + 1,
            last: crash.at,
            has_lived: last_life.is_some_and(|life| *life > crash.at),
        };
        all.insert(service, series);
    }
    all
}
