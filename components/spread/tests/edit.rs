//! Edits of documents: races, lost responses, changed trials, outages.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use assert_matches::assert_matches;
use rstest::rstest;
use spread::{
    Edit,
    edit::{
        Answer,
        Draft,
        Outcome,
        Pin,
        Step,
        Stored, //
    }, //
};

/// Behaviour of the store for one call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The store reports a failure.
    Refuse,
    /// The store applies a write, and the response is lost.
    LoseAnswer,
    /// The write is lost before it reaches the store.
    LoseWrite,
}

#[derive(Default)]
struct Store {
    documents: BTreeMap<String, Stored>,
    revision: u64,
}

impl Store {
    fn step(&mut self, step: &Step, fault: Fault) -> Answer {
        if fault == Fault::Refuse {
            return Answer::Refused;
        }
        match step {
            Step::Read(environment) => Answer::Read(self.documents.get(environment).cloned()),
            Step::Write {
                environment,
                expect,
                envelope,
            } => {
                if fault == Fault::LoseWrite {
                    return Answer::Unanswered;
                }
                let current = self.documents.get(environment);
                if current.map_or(0, |stored| stored.revision) != *expect {
                    return Answer::Conflict(current.cloned());
                }
                self.revision += 1;
                let stored = Stored {
                    revision: self.revision,
                    envelope: envelope.clone(),
                };
                self.documents.insert(environment.clone(), stored);
                match fault {
                    Fault::LoseAnswer => Answer::Unanswered,
                    _ => Answer::Written(self.revision),
                }
            }
            Step::Done(_) => unreachable!("a completed edit requests no call"),
        }
    }

    fn run(&mut self, draft: Draft, faults: &[Fault]) -> Outcome {
        let (mut edit, mut step) = Edit::new(draft);
        let mut faults = faults.iter().copied();
        loop {
            if let Step::Done(outcome) = step {
                return outcome;
            }
            let answer = self.step(&step, faults.next().unwrap_or(Fault::None));
            step = edit.answer(answer);
        }
    }
}

fn draft(environment: &str, id: &str, base: u64) -> Draft {
    Draft {
        environment: environment.into(),
        id: id.into(),
        operator: format!("operator of {id}"),
        at: Duration::ZERO,
        base,
        text: format!("text: {id}"),
        trial: None,
    }
}

fn accepted(revision: u64) -> Outcome {
    Outcome::Accepted {
        revision,
        replaced_by: None,
    }
}

// The store fails in some of the calls of a plain write. A document that is reported as accepted
// must be in the store, and one that is reported as not written must not be.
#[rstest]
#[case("plain", &[], accepted(1), true)]
#[case("response lost", &[Fault::None, Fault::LoseAnswer], accepted(1), true)]
#[case("write lost", &[Fault::None, Fault::LoseWrite], accepted(1), true)]
#[case("refused once", &[Fault::Refuse, Fault::None, Fault::Refuse], accepted(1), true)]
#[case("unavailable from the start", &[Fault::Refuse; 9], Outcome::Unavailable, false)]
#[case("unavailable before the write", &[&[Fault::None], [Fault::Refuse; 9].as_slice()].concat(), Outcome::Unavailable, false)]
#[case("unavailable after a lost response", &[&[Fault::None, Fault::LoseAnswer], [Fault::Refuse; 9].as_slice()].concat(), Outcome::Unknown, true)]
#[case("unavailable after a lost write", &[&[Fault::None, Fault::LoseWrite], [Fault::Refuse; 9].as_slice()].concat(), Outcome::Unknown, false)]
fn a_write_reports_its_actual_outcome(
    #[case] name: &str,
    #[case] faults: &[Fault],
    #[case] outcome: Outcome,
    #[case] written: bool,
) {
    let mut store = Store::default();
    assert_eq!(store.run(draft("e", "a", 0), faults), outcome, "{name}");
    assert_eq!(store.documents.contains_key("e"), written, "{name}");
    // The operator repeats the same edit after the outage: it is applied once.
    assert_eq!(store.run(draft("e", "a", 0), &[]), accepted(1), "{name}");
    assert_eq!(store.revision, 1, "{name}");
}

// Two operators edit the same revision. Guards against the second undoing the first unnoticed.
#[test]
fn a_concurrent_edit_is_reported_as_raced() {
    let mut store = Store::default();
    assert_eq!(store.run(draft("e", "a", 0), &[]), accepted(1));
    let outcome = store.run(draft("e", "b", 0), &[]);
    assert_matches!(outcome, Outcome::Raced { revision: 1, other: Some(other) } => {
        assert_eq!(other.operator, "operator of a");
    });
}

// A write is applied, its response is lost, and another operator replaces the document before the
// retry. Reporting a failure would be wrong, and writing again would undo the other edit.
#[test]
fn an_edit_that_was_replaced_since_is_reported_as_accepted() {
    let mut store = Store::default();
    let (mut edit, step) = Edit::new(draft("e", "a", 0));
    let answer = store.step(&step, Fault::None);
    let step = edit.answer(answer);
    let answer = store.step(&step, Fault::LoseAnswer);
    let step = edit.answer(answer);
    assert_eq!(store.run(draft("e", "b", 1), &[]), accepted(2));
    let answer = store.step(&step, Fault::None);
    let step = edit.answer(answer);
    assert_matches!(step, Step::Done(Outcome::Accepted { revision: 0, replaced_by: Some(by) }) => {
        assert_eq!(by.id, "b");
    });
}

fn promote(store: &Store, id: &str, base: u64) -> Draft {
    let trial = &store.documents["trial"];
    Draft {
        trial: Some(Pin {
            environment: "trial".into(),
            revision: trial.revision,
            digest: trial.envelope.edit.digest,
        }),
        ..draft("production", id, base)
    }
}

// The trial is edited between its test and its promotion. Guards against promoting a document that
// nobody has tested.
#[test]
fn a_changed_trial_is_not_promoted() {
    let mut store = Store::default();
    store.run(draft("trial", "a", 0), &[]);
    let promotion = promote(&store, "p", 0);
    store.run(draft("trial", "b", 1), &[]);
    let outcome = store.run(promotion, &[]);
    assert_matches!(outcome, Outcome::Changed { revision: 2, other: Some(other) } => {
        assert_eq!(other.id, "b");
    });
    assert!(!store.documents.contains_key("production"));
}

// A promotion was accepted, its response was lost, and the trial has changed since. The repeat must
// report that it was accepted, not that the trial changed and nothing was written.
#[test]
fn a_repeated_promotion_is_found_after_the_trial_changed() {
    let mut store = Store::default();
    store.run(draft("trial", "a", 0), &[]);
    let promotion = promote(&store, "p", 0);
    assert_eq!(store.run(promotion.clone(), &[]), accepted(2));
    store.run(draft("trial", "b", 1), &[]);
    assert_eq!(store.run(promotion, &[]), accepted(2));
}
