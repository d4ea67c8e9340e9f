//! Tests of the evidence of servers that stop answering, of which it isn't known whether they crashed.

use std::time::Duration;

use contract::poison::{
    Fingerprint, Verdict,
    evidence::{
        Evidence,
        Observation,
        ServerId,
        Stage,
        Subject, //
    },
};
use names::Clock;
use rstest::rstest;

const REQUEST: Fingerprint = 1;
const START: Clock = Duration::from_secs(1000);

/// Time between two runs of the request.
const INTERVAL: Duration = Duration::from_millis(250);

fn subject() -> Subject {
    Subject::new(5, REQUEST, [])
}

/// Returns the silence of a server that was known to answer `before` its last sign of life.
fn silent(server: ServerId, before: Duration) -> Observation {
    Observation::Silent {
        server,
        incarnation: 0,
        stage: Stage::Started,
        run_ms: before.as_millis() as u32,
    }
}

/// Returns evidence of servers that fell silent under runs of the request, one after the other.
fn silent_servers(count: u32, before: Duration) -> (Evidence, Clock) {
    let mut evidence = Evidence::default();
    let mut now = START;
    for server in 0..count {
        now = START + INTERVAL * server;
        evidence.record(now, now, &subject(), silent(server, before));
    }
    (evidence, now)
}

fn is_refused(evidence: &Evidence, now: Clock) -> bool {
    matches!(evidence.verdict(now, REQUEST), Verdict::Refused { .. })
}

/// Guards against a request that goes on while it isn't known whether the silent servers crashed.
#[rstest]
#[case(2, false)]
#[case(3, true)]
fn three_silent_servers_refuse_a_request(#[case] count: u32, #[case] refused: bool) {
    let (evidence, now) = silent_servers(count, Duration::ZERO);
    assert_eq!(is_refused(&evidence, now), refused);
    assert!(evidence.is_unproven(REQUEST));
    // The refusal isn't stored while it may end.
    let late = now + Duration::from_secs(5);
    assert!(evidence.unstored(late).is_empty());
}

/// Guards against the refusal of a request that was sent to servers which had ended together.
#[test]
fn servers_that_had_ended_before_refuse_no_request() {
    let (mut evidence, now) = silent_servers(4, Duration::from_secs(2));
    assert!(!is_refused(&evidence, now));
    for server in 0..4 {
        let at = START + INTERVAL * server;
        let crashed = Observation::Crashed {
            server,
            incarnation: 0,
            stage: Stage::Started,
            run_ms: 2000,
        };
        evidence.record(now, at, &subject(), crashed);
    }
    assert!(!is_refused(&evidence, now));
}

/// Guards against a refusal that outlives the silence of a server that was only slow or cut off.
#[test]
fn an_answer_ends_what_the_silence_told() {
    let (mut evidence, now) = silent_servers(3, Duration::ZERO);
    let answer = Observation::Answered { server: 2 };
    evidence.record(now, now, &Subject::new(0, 0, []), answer);
    assert!(!is_refused(&evidence, now));
    // A report from before the answer comes late.
    let late = silent(2, Duration::ZERO);
    assert!(!evidence.record(now, now, &subject(), late));
    assert!(!is_refused(&evidence, now));
}

/// Guards against a request that is refused no longer once its servers are known to have crashed.
#[test]
fn crashes_confirm_what_the_silence_told() {
    let (mut evidence, now) = silent_servers(3, Duration::ZERO);
    for server in 0..3 {
        let at = START + INTERVAL * server;
        let crashed = Observation::Crashed {
            server,
            incarnation: 0,
            stage: Stage::Started,
            run_ms: 0,
        };
        assert!(evidence.record(now, at, &subject(), crashed));
        assert!(is_refused(&evidence, now));
    }
    let late = now + Duration::from_secs(60);
    assert!(is_refused(&evidence, late));
}

/// Guards against a held request that runs again while it isn't known what became of the server of its last
/// run, and against sound ones that wait with it.
#[test]
fn a_run_alone_at_a_silent_server_holds_its_causes_only() {
    let (common, harmful) = (70, 71);
    let stream = |request, parts: &[Fingerprint]| Subject::new(5, request, parts.iter().copied());
    let mut evidence = Evidence::default();
    let mut now = START;
    // Two prompt parts are together at each crash, under new requests.
    for server in 0..3 {
        now = START + INTERVAL * server;
        for part in [harmful, 72] {
            let subject = stream(1000 + part + u128::from(server), &[common, part]);
            let crash = Observation::Crashed {
                server,
                incarnation: 0,
                stage: Stage::Started,
                run_ms: 40,
            };
            evidence.record(now, now, &subject, crash);
        }
    }
    let next = stream(2000, &[common, harmful]);
    assert!(evidence.held_causes(&next) > 0);
    assert!(!evidence.is_undecided(&next));
    now += INTERVAL;
    let alone = stream(2001, &[common, harmful]);
    evidence.record(now, now, &alone, silent(9, Duration::ZERO));
    assert!(evidence.is_undecided(&next));
    assert!(!evidence.is_undecided(&stream(2002, &[common, 73])));
    let answered = Observation::Answered { server: 9 };
    let later = now + INTERVAL;
    evidence.record(later, later, &Subject::new(0, 0, []), answered);
    assert!(!evidence.is_undecided(&next));
}

/// Guards against a request that waits for a server which fell silent under two held parts: the repeat of
/// one of them, at another server at the same moment, may seem to have come before.
#[rstest]
fn a_repeat_at_the_same_moment_holds_no_other_request(
    #[values(0, 200, 1_000, 2_000)] gap_us: u64,
    #[values(true, false)] seems_before: bool,
) {
    let (first, second) = (71, 72);
    let stream = |request, part| Subject::new(5, request, [part]);
    let mut evidence = Evidence::default();
    let mut now = START;
    for server in 0..3 {
        now = START + INTERVAL * server;
        for part in [first, second] {
            let subject = stream(1000 + part + u128::from(server), part);
            evidence.record(now, now, &subject, silent(server, Duration::ZERO));
        }
    }
    let repeat = stream(1000 + first + 2, first);
    let gap = Duration::from_micros(gap_us);
    let at = match seems_before {
        true => now - gap,
        false => now + gap,
    };
    evidence.record(now + gap, at, &repeat, silent(3, Duration::ZERO));
    let next = stream(2000, first);
    assert!(evidence.held_causes(&next) > 0);
    assert!(!evidence.is_undecided(&next));
}
