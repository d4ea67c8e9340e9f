//! Tests of the evidence against requests that crash servers, where each process sees only a part of
//! the requests on a server.

use std::time::Duration;

use contract::poison::{
    Fingerprint, Verdict,
    evidence::{
        Evidence,
        Observation,
        Report,
        ServerId,
        ServiceId,
        Stage,
        Subject, //
    },
};
use names::Clock;
use rand::{
    SeedableRng,
    rngs::SmallRng,
    seq::SliceRandom, //
};
use rstest::rstest;

const SERVICE: ServiceId = 5;

const POISON: Fingerprint = 1;
const INNOCENT: Fingerprint = 2;
const OTHER: Fingerprint = 3;

/// Time at which the observations are made.
const START: Clock = Duration::from_secs(1000);

/// Evidence with a clock that advances by a second with each observation.
struct Case {
    evidence: Evidence,
    now: Clock,
}

impl Case {
    fn new() -> Case {
        Case {
            evidence: Evidence::default(),
            now: START,
        }
    }

    fn observe(&mut self, fingerprint: Fingerprint, observation: Observation) {
        self.now += Duration::from_secs(1);
        let subject = request(fingerprint);
        self.evidence
            .record(self.now, self.now, &subject, observation);
    }

    fn crash(&mut self, server: ServerId, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            self.observe(*fingerprint, crashed(server, Stage::Started));
        }
    }

    fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        is_refused(&self.evidence, self.now, fingerprint)
    }
}

/// Returns a request without a prompt.
fn request(fingerprint: Fingerprint) -> Subject {
    Subject::new(SERVICE, fingerprint, [])
}

fn crashed(server: ServerId, stage: Stage) -> Observation {
    Observation::Crashed {
        server,
        incarnation: 0,
        stage,
        run_ms: 50,
    }
}

fn is_refused(evidence: &Evidence, now: Clock, fingerprint: Fingerprint) -> bool {
    matches!(evidence.verdict(now, fingerprint), Verdict::Refused { .. })
}

/// Guards against a request that crashes more than three servers.
#[test]
fn three_crashes_convict_a_request() {
    let mut case = Case::new();
    for server in [10, 11] {
        case.crash(server, &[POISON]);
        assert!(!case.is_refused(POISON));
    }
    case.crash(12, &[POISON]);
    assert!(case.is_refused(POISON));
}

/// Guards against a conviction by copies of a request that were at the same server.
#[test]
fn one_crash_counts_once() {
    let mut case = Case::new();
    case.crash(10, &[POISON, POISON, POISON]);
    assert!(!case.is_refused(POISON));
}

/// Guards against a request that crashes the same servers again and again, as they restart under
/// the ids that they had.
#[test]
fn crashes_of_a_restarted_server_count() {
    let mut case = Case::new();
    for _ in 0..3 {
        assert!(!case.is_refused(POISON));
        case.now += Duration::from_secs(5);
        case.crash(10, &[POISON]);
    }
    assert!(case.is_refused(POISON));
}

/// Guards against the refusal of a request that was beside the one that crashes servers: at some of
/// the crashes, or at all that are known so far.
#[rstest]
#[case::at_some(&[10, 11])]
#[case::at_all_but_one(&[10, 11, 12])]
fn a_request_beside_the_cause_is_not_refused(#[case] shared: &[ServerId]) {
    let mut case = Case::new();
    for server in shared {
        case.crash(*server, &[POISON, INNOCENT]);
    }
    assert!(!case.is_refused(INNOCENT));
    case.crash(20, &[POISON, OTHER]);
    assert!(case.is_refused(POISON));
    for fingerprint in [INNOCENT, OTHER] {
        assert_eq!(case.evidence.verdict(case.now, fingerprint), Verdict::Clear);
    }
}

/// Guards against the refusal of a request that survived between the crashes.
#[test]
fn a_run_that_survives_voids_earlier_crashes() {
    let mut case = Case::new();
    case.crash(10, &[INNOCENT]);
    case.crash(11, &[INNOCENT]);
    case.observe(INNOCENT, Observation::Survived);
    case.crash(12, &[INNOCENT]);
    case.crash(13, &[INNOCENT]);
    assert!(!case.is_refused(INNOCENT));
    case.crash(14, &[INNOCENT]);
    assert!(case.is_refused(INNOCENT));
    case.observe(INNOCENT, Observation::Survived);
    assert_eq!(case.evidence.verdict(case.now, INNOCENT), Verdict::Clear);
}

/// Guards against the refusal of requests that wait at servers which end by themselves, and against
/// a request that crashes servers before it is answered.
#[test]
fn crashes_before_the_start_of_a_run_count_half() {
    let mut case = Case::new();
    for server in 10..15 {
        case.observe(POISON, crashed(server, Stage::Pending));
        assert!(!case.is_refused(POISON));
    }
    case.observe(POISON, crashed(15, Stage::Pending));
    assert!(case.is_refused(POISON));
}

/// Guards against a wrong verdict that stands after the reports of another process arrived late.
#[test]
fn a_late_report_corrects_a_verdict() {
    let mut case = Case::new();
    case.crash(10, &[INNOCENT]);
    case.crash(11, &[INNOCENT]);
    case.crash(12, &[INNOCENT]);
    assert!(case.is_refused(INNOCENT));
    for (server, age_ms) in [(10, 3000), (11, 2000), (12, 1000), (13, 500)] {
        let report = Report {
            subject: request(POISON),
            observation: crashed(server, Stage::Started),
            age_ms,
        };
        case.evidence.apply(case.now, &[report]);
    }
    assert!(!case.is_refused(INNOCENT));
    assert!(case.is_refused(POISON));
}

/// Guards against the refusal of a request that was beside the one that crashes servers, and whose
/// runs at the last crash are reported first.
#[test]
fn a_refusal_is_not_certain_until_all_runs_at_the_last_crash_are_reported() {
    let mut case = Case::new();
    case.crash(10, &[POISON, INNOCENT]);
    case.crash(11, &[POISON, INNOCENT]);
    case.crash(12, &[INNOCENT]);
    let crashed_at = case.now;
    assert!(case.is_refused(INNOCENT));
    let unsettled_for = |case: &Case, after_ms| {
        let now = crashed_at + Duration::from_millis(after_ms);
        case.evidence.unsettled_for(now, INNOCENT)
    };
    assert!(unsettled_for(&case, 0) > Duration::ZERO);
    assert!(unsettled_for(&case, 16) > Duration::ZERO);
    assert_eq!(unsettled_for(&case, 100), Duration::ZERO);
    let now = crashed_at + Duration::from_millis(16);
    case.evidence
        .record(now, now, &request(POISON), crashed(12, Stage::Started));
    assert!(!is_refused(&case.evidence, now, INNOCENT));
}

/// Guards against the refusal of a prompt part that many requests have, as it was beside several
/// requests that crash servers.
#[test]
fn a_part_beside_several_causes_is_not_refused() {
    const PART: Fingerprint = 50;
    let mut case = Case::new();
    for number in 0..12 {
        let server = 10 + number as ServerId;
        case.crash(server, &[POISON + 100 * (number / 4)]);
        // Each of them also crashes a server without the part.
        if number % 4 > 0 {
            let sound = Subject::new(SERVICE, 1000 + number, [PART]);
            let observation = crashed(server, Stage::Started);
            case.evidence
                .record(case.now, case.now, &sound, observation);
        }
        case.observe(2000 + number, Observation::Survived);
    }
    for poison in [POISON, POISON + 100, POISON + 200] {
        assert!(case.is_refused(poison));
    }
    assert!(!case.is_refused(PART));
}

/// Guards against the refusal of a prompt part for crashes that another one explains, after which it
/// survived, as soon as it is beside a further cause.
#[test]
fn a_part_that_survived_explained_crashes_is_not_refused_for_them() {
    const HARMFUL: Fingerprint = 40;
    const SOUND: Fingerprint = 50;
    let mut case = Case::new();
    let mut request_number = 1000;
    let mut subject = |part| {
        request_number += 1;
        Subject::new(SERVICE, request_number, [part])
    };
    for server in 10..14 {
        for part in [HARMFUL, SOUND] {
            let crashed = crashed(server, Stage::Started);
            case.evidence
                .record(case.now, case.now, &subject(part), crashed);
        }
        case.now += Duration::from_secs(1);
        for observation in [Observation::Lived, Observation::Survived] {
            let sound = subject(SOUND);
            // As a process does: what changes nothing isn't recorded.
            if let Some(relevant) = case.evidence.relevant_to(&sound, observation) {
                case.evidence
                    .record(case.now, case.now, &relevant, observation);
            }
        }
        case.now += Duration::from_secs(1);
    }
    assert!(case.is_refused(HARMFUL));
    for server in 20..23 {
        let crashed = crashed(server, Stage::Started);
        for run in [request(POISON), subject(SOUND)] {
            case.evidence.record(case.now, case.now, &run, crashed);
        }
        case.observe(OTHER, Observation::Survived);
        assert!(!case.is_refused(SOUND));
    }
    case.crash(23, &[POISON]);
    assert!(case.is_refused(POISON));
    assert!(case.is_refused(HARMFUL));
    assert!(!case.is_refused(SOUND));
}

/// Guards against verdicts that differ between processes by the order in which reports arrive.
#[test]
fn the_order_of_reports_does_not_matter() {
    let mut case = Case::new();
    case.crash(10, &[POISON, INNOCENT]);
    case.crash(11, &[POISON]);
    case.crash(12, &[INNOCENT, OTHER]);
    case.crash(13, &[POISON, INNOCENT]);
    case.crash(14, &[INNOCENT]);
    case.observe(OTHER, Observation::Survived);
    case.crash(15, &[OTHER]);
    let reports = case.evidence.reports(case.now);
    for seed in 0..200 {
        let mut shuffled = reports.clone();
        // Each report arrives twice.
        shuffled.extend(reports.clone());
        shuffled.shuffle(&mut SmallRng::seed_from_u64(seed));
        let mut other = Evidence::default();
        for report in &shuffled {
            other.apply(case.now, std::slice::from_ref(report));
        }
        for fingerprint in [POISON, INNOCENT, OTHER] {
            assert_eq!(
                is_refused(&other, case.now, fingerprint),
                case.is_refused(fingerprint),
                "seed {seed}"
            );
        }
    }
}

/// Guards against a refusal that lasts for ever, and against memory that grows with the crashes.
#[test]
fn observations_expire_and_are_bounded() {
    let mut case = Case::new();
    for server in 0..3 {
        case.crash(server, &[POISON]);
    }
    // Servers that crash at the same moment would say nothing about the third crash.
    case.now += Duration::from_secs(1);
    for server in 100..1100 {
        let subject = request(Fingerprint::from(server));
        let observation = crashed(server, Stage::Started);
        case.evidence
            .record(case.now, case.now, &subject, observation);
    }
    assert!(case.evidence.reports(case.now).len() <= 256);
    assert!(case.is_refused(POISON));
    let later = case.now + Duration::from_secs(601);
    assert!(!is_refused(&case.evidence, later, POISON));
}

/// Guards against a harmful request that isn't recorded at crashes under many runs.
#[test]
fn a_crash_under_many_runs_counts_against_all_of_them() {
    const RUN_COUNT: u128 = 30;
    let mut case = Case::new();
    let mut crash = |server: ServerId| {
        let beside = (0..RUN_COUNT).map(|run| 1000 * (u128::from(server) + 1) + run);
        for fingerprint in beside.chain([POISON]) {
            let at = case.now;
            let observation = crashed(server, Stage::Started);
            case.evidence
                .record(at, at, &request(fingerprint), observation);
        }
        case.now += Duration::from_secs(1);
    };
    for server in [10, 11, 12] {
        crash(server);
    }
    assert!(is_refused(&case.evidence, case.now, POISON));
}

/// Guards against a wrong conviction that is stored before reports correct it.
#[test]
fn a_conviction_is_stored_once_it_is_settled() {
    let mut case = Case::new();
    for server in [10, 11, 12] {
        case.crash(server, &[POISON]);
    }
    assert_eq!(case.evidence.unstored(case.now), []);
    let settled = case.now + Duration::from_secs(2);
    let unstored = case.evidence.unstored(settled);
    assert_eq!(unstored, [(POISON, Duration::from_secs(598))]);
    case.evidence.set_stored(POISON, true);
    assert_eq!(case.evidence.unstored(settled), []);
}

/// Guards against requests that are not refused after the crashes were forgotten with the process.
#[test]
fn a_stored_refusal_holds_without_crashes() {
    let mut case = Case::new();
    case.evidence.set_stored(POISON, true);
    assert!(case.is_refused(POISON));
    assert!(!case.is_refused(INNOCENT));
    case.evidence.set_stored(POISON, false);
    assert!(!case.is_refused(POISON));
}

/// Returns evidence that convicts the part [`POISON`]: between the crashes, and after them, runs with
/// another part survived.
fn convicted_part() -> (Evidence, Clock) {
    let mut evidence = Evidence::default();
    let mut now = START;
    for number in 0..3 {
        now += Duration::from_secs(1);
        let subject = Subject::new(SERVICE, 100 + number, [POISON, OTHER]);
        let crash = crashed(10 + number as ServerId, Stage::Started);
        evidence.record(now, now, &subject, crash);
        now += Duration::from_millis(500);
        survive(&mut evidence, now);
    }
    assert!(is_refused(&evidence, now, POISON));
    (evidence, now)
}

fn survive(evidence: &mut Evidence, now: Clock) {
    let subject = Subject::new(SERVICE, INNOCENT, [OTHER]);
    evidence.record(now, now, &subject, Observation::Survived);
}

/// Guards against a part that goes on to crash servers, as the runs that lived between its crashes
/// are forgotten while many others live.
#[rstest]
#[case::a_hundred_a_second(100)]
#[case::thousands_a_second(4000)]
fn a_part_stays_refused_however_many_runs_live(#[case] per_second: u32) {
    let (mut evidence, mut now) = convicted_part();
    for _ in 0..5000 {
        now += Duration::from_secs(1) / per_second;
        survive(&mut evidence, now);
    }
    assert!(is_refused(&evidence, now, POISON));
    assert!(!is_refused(&evidence, now, OTHER));
}

/// Guards against the refusal of a part whose survival is forgotten while many other requests survive:
/// the crashes before it would count again.
#[test]
fn a_part_that_survived_is_not_refused_for_the_crashes_before_however_many_requests_live() {
    let mut evidence = Evidence::default();
    let mut now = START;
    let mut step = |evidence: &mut Evidence, subject: &Subject, observation| {
        now += Duration::from_millis(500);
        evidence.record(now, now, subject, observation);
        now
    };
    let between = Subject::new(SERVICE, 900, [OTHER]);
    for number in 0..2 {
        let subject = Subject::new(SERVICE, 100 + number, [INNOCENT]);
        let crash = crashed(10 + number as ServerId, Stage::Started);
        step(&mut evidence, &subject, crash);
        step(&mut evidence, &between, Observation::Survived);
    }
    let sound = Subject::new(SERVICE, 200, [INNOCENT]);
    step(&mut evidence, &sound, Observation::Survived);
    for number in 0..3000 {
        let subject = Subject::new(SERVICE, 1000 + number, [OTHER]);
        now += Duration::from_millis(5);
        evidence.record(now, now, &subject, Observation::Survived);
    }
    let subject = Subject::new(SERVICE, 102, [INNOCENT]);
    now += Duration::from_millis(500);
    let crash = crashed(12, Stage::Started);
    evidence.record(now, now, &subject, crash);
    assert!(!is_refused(&evidence, now, INNOCENT));
}

/// Guards against a process that starts and sends requests with a part that others refuse: it is told
/// the crashes, and not what lived between them.
#[test]
fn a_process_that_starts_refuses_what_others_refuse() {
    let (evidence, now) = convicted_part();
    let mut started = Evidence::default();
    started.apply(now, &evidence.reports(now));
    assert!(is_refused(&started, now, POISON));
    assert!(!is_refused(&started, now, OTHER));
}

/// Guards against the conviction of a request that many callers make by servers that fail at one moment.
#[test]
fn servers_that_crash_at_one_moment_convict_no_request() {
    let mut case = Case::new();
    // The request that was lost at the first server is sent to the others before they are noticed.
    for (server, after_ms) in [(10, 0), (11, 2), (12, 4)] {
        let observation = Observation::Crashed {
            server,
            incarnation: 0,
            stage: Stage::Started,
            run_ms: 1,
        };
        case.now = START + Duration::from_millis(after_ms);
        let subject = request(INNOCENT);
        case.evidence
            .record(case.now, case.now, &subject, observation);
    }
    assert!(!case.is_refused(INNOCENT));
    assert_eq!(case.evidence.held_causes(&request(INNOCENT)), 1);
    case.observe(INNOCENT, Observation::Survived);
    assert_eq!(case.evidence.held_causes(&request(INNOCENT)), 0);
}

/// Guards against the refusal of a request that was beside the cause each time, and against a cause that
/// is never found as another request was beside it each time.
#[test]
fn requests_that_are_together_at_each_crash_are_held() {
    let mut case = Case::new();
    for server in [10, 11, 12, 13] {
        case.crash(server, &[POISON, INNOCENT]);
    }
    for fingerprint in [POISON, INNOCENT] {
        assert!(!case.is_refused(fingerprint));
        assert_eq!(case.evidence.held_causes(&request(fingerprint)), 1);
    }
    case.crash(14, &[POISON]);
    assert!(case.is_refused(POISON));
    assert!(!case.is_refused(INNOCENT));
    case.observe(INNOCENT, Observation::Survived);
    assert_eq!(case.evidence.held_causes(&request(INNOCENT)), 0);
}

/// Guards against a verdict that is lifted by the conviction of another request at the same crashes, so
/// that both go on to crash servers in turns.
#[test]
fn a_crash_that_another_request_explains_still_counts() {
    let mut case = Case::new();
    for server in [10, 11, 12] {
        case.crash(server, &[POISON, OTHER]);
    }
    for server in [13, 14] {
        case.crash(server, &[POISON]);
    }
    assert!(case.is_refused(POISON));
    for server in [15, 16] {
        assert!(!case.is_refused(OTHER));
        case.crash(server, &[OTHER]);
    }
    assert!(case.is_refused(POISON));
    assert!(case.is_refused(OTHER));
}
