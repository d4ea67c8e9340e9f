//! Tests of what the runs of a held prompt part tell, of which one at a time runs.

use std::time::Duration;

use contract::poison::{
    Fingerprint, Verdict,
    evidence::{
        Evidence,
        Observation,
        ServerId,
        ServiceId,
        Stage,
        Subject, //
    },
};
use names::Clock;
use rstest::rstest;

const SERVICE: ServiceId = 5;

/// Part that crashes servers, and one that sound requests have.
const HARMFUL: Fingerprint = 666;
const SOUND: Fingerprint = 77;

/// Time at which the first server crashes.
const START: Clock = Duration::from_secs(1000);

/// Time from a run to the end of its server's registration, which confirms the crash.
const CONFIRMATION_TIME: Duration = Duration::from_millis(3600);

/// Number of runs after which the part is held, and of those that may follow before it is refused.
const FREE_RUNS: u32 = 3;
const MAX_HELD_RUNS: u32 = 3;

struct Case {
    evidence: Evidence,
    now: Clock,
    count: u32,
    /// Time from the last sign of life of a server, or the send, to its crash.
    run_time: Duration,
}

impl Case {
    /// Returns evidence of a request with the harmful part that was lost at one server after the other.
    fn new() -> Case {
        let mut case = Case {
            evidence: Evidence::default(),
            now: START,
            count: 0,
            run_time: Duration::from_millis(40),
        };
        let request = harmful(0);
        for _ in 0..FREE_RUNS {
            case.crash(&request, &[]);
            case.now += Duration::from_millis(50);
        }
        case.survive();
        case
    }

    /// Records that the next server crashed under a request that it hadn't begun to answer, beside others.
    fn crash(&mut self, request: &Subject, beside: &[Subject]) {
        let server = self.count as ServerId;
        self.count += 1;
        let run_ms = self.run_time.as_millis() as u32;
        let crashed = |stage| Observation::Crashed {
            server,
            incarnation: 0,
            stage,
            run_ms,
        };
        let (evidence, now) = (&mut self.evidence, self.now);
        evidence.record(now, now, request, crashed(Stage::Pending));
        for other in beside {
            evidence.record(now, now, other, crashed(Stage::Started));
        }
    }

    /// Records that a sound request survived.
    fn survive(&mut self) {
        let subject = Subject::new(SERVICE, 1, [SOUND]);
        let now = self.now;
        self.evidence
            .record(now, now, &subject, Observation::Survived);
    }

    fn is_refused(&self) -> bool {
        let verdict = self.evidence.verdict(self.now, HARMFUL);
        matches!(verdict, Verdict::Refused { .. })
    }
}

/// Returns a request with the harmful part that no other one is alike.
fn harmful(number: u32) -> Subject {
    let number = Fingerprint::from(number);
    Subject::new(SERVICE, 1000 + number, [SOUND, HARMFUL, 2000 + number])
}

/// Returns a request without it.
fn sound(number: u32) -> Subject {
    let number = Fingerprint::from(number);
    Subject::new(SERVICE, 3000 + number, [SOUND, 4000 + number])
}

/// Guards against a part whose runs crash servers one after the other while one at a time is let out, as
/// a run that wasn't begun to be answered counts half.
#[rstest]
fn three_runs_of_a_held_part_convict_it(#[values(0, 3)] sound_count: u32) {
    let mut case = Case::new();
    for number in 1..=MAX_HELD_RUNS {
        assert!(case.evidence.held_causes(&harmful(100)) > 0);
        assert!(!case.is_refused());
        case.now += CONFIRMATION_TIME;
        let beside: Vec<Subject> = (0..sound_count).map(|n| sound(10 * number + n)).collect();
        case.crash(&harmful(number), &beside);
        case.now += Duration::from_millis(300);
        case.survive();
    }
    assert!(case.is_refused());
}

/// Guards against the refusal of a part at whose crashes another held one was, which may have been the
/// cause.
#[test]
fn runs_beside_another_held_part_are_no_tests() {
    let rival = |number: Fingerprint| Subject::new(SERVICE, 5000 + number, [SOUND, 888]);
    let mut case = Case::new();
    for number in 1..=MAX_HELD_RUNS {
        case.now += CONFIRMATION_TIME;
        let beside = [rival(number.into())];
        case.crash(&harmful(number), &beside);
        case.now += Duration::from_millis(300);
        case.survive();
    }
    assert!(!case.is_refused());
}

/// Guards against the refusal of a held part whose runs came to servers that had ended before.
#[test]
fn runs_at_servers_that_were_not_heard_since_are_no_tests() {
    let mut case = Case::new();
    case.run_time = 2 * CONFIRMATION_TIME;
    for number in 1..=MAX_HELD_RUNS {
        case.now += CONFIRMATION_TIME;
        case.crash(&harmful(number), &[]);
        case.now += Duration::from_millis(300);
        case.survive();
    }
    assert!(!case.is_refused());
}

/// Guards against a held part that goes on while it isn't known what became of the server of its last
/// run, as sound requests were there too.
#[test]
fn a_held_part_waits_for_a_silent_server_with_other_runs() {
    let mut case = Case::new();
    case.now += CONFIRMATION_TIME;
    let now = case.now;
    let silent = Observation::Silent {
        server: 100,
        incarnation: 0,
        stage: Stage::Pending,
        run_ms: 40,
    };
    for subject in [harmful(1), sound(1), sound(2)] {
        case.evidence.record(now, now, &subject, silent);
    }
    assert!(case.evidence.is_undecided(&harmful(2)));
    assert!(!case.evidence.is_undecided(&sound(3)));
}
