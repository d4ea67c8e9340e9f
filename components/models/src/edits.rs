//! Two operators edit at once: what each is told agrees with what the store took.
//!
//! The store and the faults of calls are specified here; how an edit goes is the production code
//! of [`spread::Edit`]. A write whose answer is lost may have taken effect, may take effect later,
//! or never.

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

/// Environments of the specification.
const TRIAL: &str = "trial";
const PRODUCTION: &str = "production";

/// Id of the promotion.
const PROMOTE: &str = "promote";

/// Broken variants of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Twin {
    /// Nothing is broken.
    None,
    /// A write without an answer counts as one that was refused.
    SilenceIsNo,
    /// The store writes whatever stands there.
    BlindWrite,
    /// What stands in the store doesn't say what it followed.
    NoHistory,
    /// A promotion takes what the trial is now.
    NoPin,
}

/// One step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The store does what an operator's edit asks, and answers.
    Serve(usize),
    /// It answers that it can't.
    Refuse(usize),
    /// It does it, and the answer is lost.
    LoseAnswer(usize),
    /// The write stays on its way, and the operator hears nothing.
    Delay(usize),
    /// The first write that was on its way arrives.
    Arrive,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Operator {
    edit: Edit,
    step: Step,
    id: String,
}

/// The whole state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    documents: BTreeMap<String, Stored>,
    /// The trial as it was tried.
    tried: Stored,
    revision: Revision,
    operators: Vec<Operator>,
    on_the_way: Vec<Step>,
    /// Each write that took effect: its id, the revision it meant to replace and the one it did.
    taken: Vec<(String, Revision, Revision)>,
    /// The promotion saw that the trial isn't what was tried any more.
    changed: bool,
    faults: u8,
}

/// A trial stands at revision 1. One operator promotes it, one puts into production at the same
/// time, one follows whichever of the two is first, and one changes the trial; `faults` calls go
/// wrong.
pub fn start(faults: u8) -> State {
    let (mut edit, _) = Edit::new(draft(TRIAL, "tried", 0));
    let step = edit.answer(Answer::Read(None));
    let Step::Write { envelope, .. } = step else {
        unreachable!("a put of an absent document goes on with a write");
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
        on_the_way: Vec::new(),
        taken: Vec::new(),
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
        ..draft(PRODUCTION, PROMOTE, 0)
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

/// The steps that are possible.
pub fn next(state: &State, twin: Twin) -> Vec<(Action, State)> {
    let mut actions = Vec::new();
    for (at, operator) in state.operators.iter().enumerate() {
        if matches!(operator.step, Step::Done(_)) {
            continue;
        }
        actions.push(Action::Serve(at));
        if state.faults == 0 {
            continue;
        }
        actions.push(Action::Refuse(at));
        if matches!(operator.step, Step::Write { .. }) {
            actions.extend([Action::LoseAnswer(at), Action::Delay(at)]);
        }
    }
    if !state.on_the_way.is_empty() {
        actions.push(Action::Arrive);
    }
    let following = actions.into_iter().map(|action| {
        let mut following = state.clone();
        following.apply(&action, twin);
        (action, following)
    });
    following.collect()
}

/// The invariant that a state breaks.
pub fn broken(state: &State) -> Option<&'static str> {
    for operator in &state.operators {
        let took = state
            .taken
            .iter()
            .filter(|taken| taken.0 == operator.id)
            .count();
        if took > 1 {
            return Some("an edit takes effect at most once");
        }
        let Step::Done(outcome) = &operator.step else {
            continue;
        };
        let told = match outcome {
            Outcome::Accepted { .. } => took == 1,
            Outcome::Unknown => true,
            Outcome::Raced { .. }
            | Outcome::Changed { .. }
            | Outcome::Large
            | Outcome::Unavailable => took == 0,
        };
        if !told {
            return Some("what an operator is told agrees with the store");
        }
    }
    if state.taken.iter().any(|taken| taken.1 != taken.2) {
        return Some("an edit replaces what its operator had seen");
    }
    if state.changed && state.taken.iter().any(|taken| taken.0 == PROMOTE) {
        return Some("a trial that changed isn't promoted");
    }
    None
}

impl State {
    fn apply(&mut self, action: &Action, twin: Twin) {
        match action {
            Action::Serve(at) => {
                let step = self.operators[*at].step.clone();
                let answer = self.serve(&step, twin);
                self.answer(*at, answer, twin);
            }
            Action::Refuse(at) => {
                self.faults -= 1;
                self.answer(*at, Answer::Refused, twin);
            }
            Action::LoseAnswer(at) => {
                self.faults -= 1;
                let step = self.operators[*at].step.clone();
                self.serve(&step, twin);
                self.answer(*at, Answer::Unanswered, twin);
            }
            Action::Delay(at) => {
                self.faults -= 1;
                self.on_the_way.push(self.operators[*at].step.clone());
                self.answer(*at, Answer::Unanswered, twin);
            }
            Action::Arrive => {
                let step = self.on_the_way.remove(0);
                self.serve(&step, twin);
            }
        }
    }

    fn answer(&mut self, at: usize, answer: Answer, twin: Twin) {
        let operator = &mut self.operators[at];
        let promotes = operator.id == PROMOTE && operator.step == Step::Read(TRIAL.into());
        if let Answer::Read(stored) = &answer
            && promotes
        {
            self.changed = stored.as_ref() != Some(&self.tried);
        }
        let answer = match (twin, answer) {
            (Twin::SilenceIsNo, Answer::Unanswered) => Answer::Refused,
            (Twin::NoHistory, Answer::Conflict(stored)) => Answer::Conflict(stored.map(forget)),
            (Twin::NoHistory, Answer::Read(stored)) => Answer::Read(stored.map(forget)),
            // Whatever stands there now passes for what was tried.
            (Twin::NoPin, Answer::Read(Some(_))) if promotes => {
                Answer::Read(Some(self.tried.clone()))
            }
            (_, answer) => answer,
        };
        operator.step = operator.edit.answer(answer);
    }

    fn serve(&mut self, step: &Step, twin: Twin) -> Answer {
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
        let stands = self.documents.get(environment);
        let revision = stands.map_or(0, |stored| stored.revision);
        if revision != expect && twin != Twin::BlindWrite {
            return Answer::Conflict(stands.cloned());
        }
        self.revision += 1;
        let id = envelope.edit.id.clone();
        self.taken.push((id, expect, revision));
        let stored = Stored {
            revision: self.revision,
            envelope: envelope.clone(),
        };
        self.documents.insert(environment.clone(), stored);
        Answer::Written(self.revision)
    }
}

fn forget(mut stored: Stored) -> Stored {
    stored.envelope.history.clear();
    stored
}
