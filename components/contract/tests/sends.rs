//! Sends of one request to backend servers that the entry reaches itself.

use contract::{
    attempt::Class,
    sends::{
        Ending,
        Sends,
        Verdict, //
    },
};
use rstest::rstest;

/// A payout reaches a server, and no answer comes. Sent again it could be paid twice; refused as
/// not run, the caller would do the same.
#[rstest]
#[case::no_answer(&[Ending::Lost], Verdict::Unknown)]
#[case::a_failure_of_the_server(&[Ending::Failed], Verdict::Answer)]
#[case::full(&[Ending::Declined], Verdict::NotRun)]
#[case::over_then_no_answer(&[Ending::Misdirected, Ending::Lost], Verdict::Unknown)]
#[case::unreachable_then_full(&[Ending::Unsent, Ending::Declined], Verdict::NotRun)]
fn a_call_that_may_not_be_repeated_reaches_one_server(
    #[case] endings: &[Ending],
    #[case] told: Verdict,
) {
    let mut sends = Sends::new(Class::Once, 1);
    for (number, ending) in endings.iter().enumerate() {
        let verdict = sends.record(*ending);
        let expected = match number + 1 == endings.len() {
            true => told,
            false => Verdict::Send,
        };
        assert_eq!(verdict, expected, "{endings:?}");
    }
}

/// Two servers decline, so neither has run it; a third may be asked, as far as the route allows.
#[test]
fn a_call_that_was_declined_may_go_on_within_its_bound() {
    let mut sends = Sends::new(Class::Once, 3);
    assert_eq!(sends.record(Ending::Declined), Verdict::Send);
    assert_eq!(sends.record(Ending::Declined), Verdict::Send);
    assert_eq!(sends.record(Ending::Lost), Verdict::Unknown);
}

/// A look-up fails at one server and gets no answer from the next. The caller gets the failure that
/// a server did answer with; "not run" would be untrue.
#[test]
fn a_lookup_is_repeated_within_its_bound_and_its_last_answer_counts() {
    let mut sends = Sends::new(Class::Repeatable, 2);
    assert_eq!(sends.record(Ending::Failed), Verdict::Send);
    assert_eq!(sends.record(Ending::Lost), Verdict::Answer);
}

/// Whatever comes, in whatever order: "not run" is said only when no send can have run, and a call
/// that may not be repeated is never sent after one that can have.
#[test]
fn every_sequence_keeps_the_promises() {
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
            let (mut rest, mut ran, mut reached) = (number, false, 0);
            for _ in 0..6 {
                let ending = ALL[rest % ALL.len()];
                rest /= ALL.len();
                ran |= matches!(ending, Ending::Failed | Ending::Lost);
                reached += u32::from(!matches!(ending, Ending::Misdirected | Ending::Unsent));
                match sends.record(ending) {
                    Verdict::Send => {
                        assert!(!ran || class == Class::Repeatable);
                        assert!(reached < 3);
                    }
                    Verdict::NotRun => {
                        assert!(!ran);
                        break;
                    }
                    Verdict::Answer | Verdict::Unknown => {
                        assert!(ran);
                        break;
                    }
                }
            }
        }
    }
}
