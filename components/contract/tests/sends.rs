//! Sends of one request to backend servers that the entry reaches without a sidecar.

use contract::{
    attempt::Class,
    sends::{
        Ending,
        Sends,
        Step, //
    },
};
use rstest::rstest;

/// A payout reaches a server and no response arrives. If it were sent again, or reported as not run
/// and then repeated by its caller, it could be paid twice.
#[rstest]
#[case::no_answer(&[Ending::Lost], Step::Unknown)]
#[case::server_error(&[Ending::Failed], Step::Answer)]
#[case::declined(&[Ending::Declined], Step::NotRun)]
#[case::misdirected_then_no_answer(&[Ending::Misdirected, Ending::Lost], Step::Unknown)]
#[case::unreachable_then_declined(&[Ending::Unsent, Ending::Declined], Step::NotRun)]
fn unrepeatable_call_reaches_one_server(#[case] endings: &[Ending], #[case] last: Step) {
    let mut sends = Sends::new(Class::Once, 1);
    for (number, ending) in endings.iter().enumerate() {
        let step = sends.record(*ending);
        let expected = match number + 1 == endings.len() {
            true => last,
            false => Step::Send,
        };
        assert_eq!(step, expected, "{endings:?}");
    }
}

/// Two servers decline, so neither ran the call. It may go to a third one within the route's limit.
#[test]
fn declined_call_tries_other_servers_up_to_the_limit() {
    let mut sends = Sends::new(Class::Once, 3);
    assert_eq!(sends.record(Ending::Declined), Step::Send);
    assert_eq!(sends.record(Ending::Declined), Step::Send);
    assert_eq!(sends.record(Ending::Lost), Step::Unknown);
}

/// A call fails at one server and gets no response from the next. The caller receives the error
/// response of the first one; reporting "not run" would be false.
#[test]
fn repeatable_call_returns_its_last_response_at_the_limit() {
    let mut sends = Sends::new(Class::Repeatable, 2);
    assert_eq!(sends.record(Ending::Failed), Step::Send);
    assert_eq!(sends.record(Ending::Lost), Step::Answer);
}

/// For every sequence of results, "not run" is reported only if no send can have run, and a call
/// that may not be repeated is never sent again after one that may have run.
#[test]
fn every_sequence_preserves_at_most_once() {
    const ALL: [Ending; 5] = [
        Ending::Failed,
        Ending::Declined,
        Ending::Misdirected,
        Ending::Unsent,
        Ending::Lost,
    ];
    for class in [Class::Once, Class::Repeatable] {
        for number in 0..ALL.len().pow(6) {
            let mut sends = Sends::new(class, 3);
            let (mut rest, mut may_have_run, mut reached) = (number, false, 0);
            for _ in 0..6 {
                let ending = ALL[rest % ALL.len()];
                rest /= ALL.len();
                may_have_run |= matches!(ending, Ending::Failed | Ending::Lost);
                reached += u32::from(!matches!(ending, Ending::Misdirected | Ending::Unsent));
                match sends.record(ending) {
                    Step::Send => {
                        assert!(!may_have_run || class == Class::Repeatable);
                        assert!(reached < 3);
                    }
                    Step::NotRun => {
                        assert!(!may_have_run);
                        break;
                    }
                    Step::Answer | Step::Unknown => {
                        assert!(may_have_run);
                        break;
                    }
                }
            }
        }
    }
}
