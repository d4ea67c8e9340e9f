//! Concurrent edits by several operators: each reported outcome agrees with what the store applied.
//!
//! The store and its faults are specified here; the edits run the production code of
//! [`spread::Edit`]. A write whose response is lost may have been applied, may be applied later, or
//! never.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use names::Revision;
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

/// Names of the two environments.
const TRIAL: &str = "trial";
const PRODUCTION: &str = "production";

/// Id of the edit that promotes the trial to production.
const PROMOTION_ID: &str = "promote";

/// Defects built into the system, each of which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The system without a defect.
    None,
    /// An edit treats a write without a response as refused.
    UnansweredIsRefused,
    /// The store writes without comparing the revision.
    NoCompare,
    /// Stored documents do not list the ids of earlier edits.
    NoHistory,
    /// A promotion takes the current trial, whether or not it is the tested one.
    NoPin,
}

/// A step of the system. The field is the index of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The store executes the pending call of an operator's edit and responds.
    Serve(usize),
    /// The store responds that it is unavailable.
    Refuse(usize),
    /// The store executes the call, and its response is lost.
    LoseAnswer(usize),
    /// The write is delayed, and the operator receives no response.
    Delay(usize),
    /// The oldest delayed write arrives.
    Arrive,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    edit: Edit,
    step: Step,
    id: String,
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    documents: BTreeMap<String, Stored>,
    /// The trial document as it was tested.
    tried: Stored,
    revision: Revision,
    operators: Vec<Operator>,
    delayed: Vec<Step>,
    /// One entry for each applied write: its id, the revision that it expected to replace, and the
    /// revision that it replaced.
    applied: Vec<(String, Revision, Revision)>,
    /// The promotion read a trial that differs from the tested one.
    changed: bool,
    faults: u8,
}

/// Returns the initial state, in which a trial is at revision 1.
///
/// Four operators edit: one promotes the trial, one writes to production at the same time, one
/// follows the first of these two, and one changes the trial. At most `faults` calls fail.
pub fn initial(faults: u8) -> State {
    let (mut edit, _) = Edit::new(draft(TRIAL, "tried", 0));
    let step = edit.answer(Answer::Read(None));
    let Step::Write { envelope, .. } = step else {
        unreachable!("a put of an absent document continues with a write");
    };
    let tried = Stored {
        revision: 1,
        envelope,
    };
    let digest = tried.envelope.edit.digest;
    let mut state = State {
        documents: BTreeMap::from([(TRIAL.to_string(), tried.clone())]),
        tried,
        revision: 1,
        operators: Vec::new(),
        delayed: Vec::new(),
        applied: Vec::new(),
        changed: false,
        faults,
    };
    let promotion = Draft {
        trial: Some(Pin {
            environment: TRIAL.into(),
            revision: 1,
            digest,
        }),
        text: "tried".into(),
        ..draft(PRODUCTION, PROMOTION_ID, 0)
    };
    let others = [
        draft(PRODUCTION, "put", 0),
        draft(PRODUCTION, "follow", 2),
        draft(TRIAL, "change", 1),
    ];
    for draft in [promotion].into_iter().chain(others) {
        let id = draft.id.clone();
        let (edit, step) = Edit::new(draft);
        state.operators.push(Operator { edit, step, id });
    }
    state
}

fn draft(environment: &str, id: &str, base: Revision) -> Draft {
    Draft {
        environment: environment.into(),
        id: id.into(),
        operator: id.into(),
        at: Duration::ZERO,
        base,
        text: id.into(),
        trial: None,
    }
}

/// Returns all enabled steps with the states that they lead to.
pub fn successors(state: &State, mutation: Mutation) -> Vec<(Action, State)> {
    let mut actions = Vec::new();
    for (index, operator) in state.operators.iter().enumerate() {
        if matches!(operator.step, Step::Done(_)) {
            continue;
        }
        actions.push(Action::Serve(index));
        if state.faults == 0 {
            continue;
        }
        actions.push(Action::Refuse(index));
        if matches!(operator.step, Step::Write { .. }) {
            actions.extend([Action::LoseAnswer(index), Action::Delay(index)]);
        }
    }
    if !state.delayed.is_empty() {
        actions.push(Action::Arrive);
    }
    let successors = actions.into_iter().map(|action| {
        let mut successor = state.clone();
        successor.apply(&action, mutation);
        (action, successor)
    });
    successors.collect()
}

/// Returns the invariant that the state violates.
pub fn violated_invariant(state: &State) -> Option<&'static str> {
    for operator in &state.operators {
        let count = state
            .applied
            .iter()
            .filter(|applied| applied.0 == operator.id)
            .count();
        if count > 1 {
            return Some("an edit takes effect at most once");
        }
        let Step::Done(outcome) = &operator.step else {
            continue;
        };
        let consistent = match outcome {
            Outcome::Accepted { .. } => count == 1,
            Outcome::Unknown => true,
            Outcome::Raced { .. }
            | Outcome::Changed { .. }
            | Outcome::Large
            | Outcome::Unavailable => count == 0,
        };
        if !consistent {
            return Some("the reported outcome agrees with the store");
        }
    }
    if state.applied.iter().any(|applied| applied.1 != applied.2) {
        return Some("an edit replaces only the revision that its operator expects");
    }
    if state.changed
        && state
            .applied
            .iter()
            .any(|applied| applied.0 == PROMOTION_ID)
    {
        return Some("a changed trial is not promoted");
    }
    None
}

impl State {
    fn apply(&mut self, action: &Action, mutation: Mutation) {
        match action {
            Action::Serve(index) => {
                let step = self.operators[*index].step.clone();
                let answer = self.execute(&step, mutation);
                self.respond(*index, answer, mutation);
            }
            Action::Refuse(index) => {
                self.faults -= 1;
                self.respond(*index, Answer::Refused, mutation);
            }
            Action::LoseAnswer(index) => {
                self.faults -= 1;
                let step = self.operators[*index].step.clone();
                self.execute(&step, mutation);
                self.respond(*index, Answer::Unanswered, mutation);
            }
            Action::Delay(index) => {
                self.faults -= 1;
                self.delayed.push(self.operators[*index].step.clone());
                self.respond(*index, Answer::Unanswered, mutation);
            }
            Action::Arrive => {
                let step = self.delayed.remove(0);
                self.execute(&step, mutation);
            }
        }
    }

    fn respond(&mut self, index: usize, answer: Answer, mutation: Mutation) {
        let operator = &mut self.operators[index];
        let promotes = operator.id == PROMOTION_ID && operator.step == Step::Read(TRIAL.into());
        if let Answer::Read(stored) = &answer
            && promotes
        {
            self.changed = stored.as_ref() != Some(&self.tried);
        }
        let answer = match (mutation, answer) {
            (Mutation::UnansweredIsRefused, Answer::Unanswered) => Answer::Refused,
            (Mutation::NoHistory, Answer::Conflict(stored)) => {
                Answer::Conflict(stored.map(without_history))
            }
            (Mutation::NoHistory, Answer::Read(stored)) => {
                Answer::Read(stored.map(without_history))
            }
            // The current trial is taken for the tested one.
            (Mutation::NoPin, Answer::Read(Some(_))) if promotes => {
                Answer::Read(Some(self.tried.clone()))
            }
            (_, answer) => answer,
        };
        operator.step = operator.edit.answer(answer);
    }

    fn execute(&mut self, step: &Step, mutation: Mutation) -> Answer {
        let (environment, expect, envelope) = match step {
            Step::Read(environment) => {
                return Answer::Read(self.documents.get(environment).cloned());
            }
            Step::Write {
                environment,
                expect,
                envelope,
            } => (environment, *expect, envelope),
            Step::Done(_) => return Answer::Refused,
        };
        let current = self.documents.get(environment);
        let revision = current.map_or(0, |stored| stored.revision);
        if revision != expect && mutation != Mutation::NoCompare {
            return Answer::Conflict(current.cloned());
        }
        self.revision += 1;
        let id = envelope.edit.id.clone();
        self.applied.push((id, expect, revision));
        let stored = Stored {
            revision: self.revision,
            envelope: envelope.clone(),
        };
        self.documents.insert(environment.clone(), stored);
        Answer::Written(self.revision)
    }
}

fn without_history(mut stored: Stored) -> Stored {
    stored.envelope.history.clear();
    stored
}
