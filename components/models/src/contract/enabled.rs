//! The steps that are possible in a state.

use super::{
    Fate,
    Step,
    World,
    actors::{
        Op,
        Service, //
    },
    state::NODES, //
};

impl World {
    /// The steps that are possible, and where they lead.
    pub fn next(&self) -> Vec<(Step, Self)> {
        let mut steps = Vec::new();
        for entry in 0..NODES {
            self.entry_steps(entry, &mut steps);
        }
        for hand in 0..self.hands.len() {
            self.hand_steps(hand, &mut steps);
        }
        for sidecar in 0..NODES {
            let busy = self.hands.iter().any(|hand| hand.sidecar() == sidecar);
            if busy && self.faults > 0 {
                steps.push(Step::SidecarDies(sidecar));
            }
        }
        for late in 0..self.late.len() {
            steps.push(Step::LateWrite(late));
        }
        let lead = |step| (step, self.after(step));
        steps.into_iter().map(lead).collect()
    }

    fn entry_steps(&self, entry: usize, steps: &mut Vec<Step>) {
        let request = &self.requests[entry];
        // A frame that has left arrives even if its entry is dead by then.
        if !request.frames.is_empty() {
            steps.push(Step::Frame(entry));
            if self.faults > 0 {
                steps.push(Step::FrameTwice(entry));
            }
        }
        if !request.alive {
            return;
        }
        if !request.begun {
            steps.push(Step::Request(entry));
            return;
        }
        if request.waits {
            steps.push(Step::Silent(entry));
            if !request.replies.is_empty() {
                steps.push(Step::Reply(entry));
            }
            let last = request.frames.last();
            let here = last.is_some_and(|last| last.send == request.sends && !last.arrived);
            if here && self.faults > 0 {
                steps.push(Step::Unsent(entry));
            }
        }
        if let Some(op) = &request.op {
            let fates = self.fates(op);
            steps.extend(fates.into_iter().map(|fate| Step::EntryStore(entry, fate)));
        }
        if self.faults > 0 && request.told.is_none() {
            steps.push(Step::EntryDies(entry));
        }
    }

    fn hand_steps(&self, index: usize, steps: &mut Vec<Step>) {
        let hand = &self.hands[index];
        if let Some(op) = &hand.op {
            let fates = self.fates(op);
            steps.extend(
                fates
                    .into_iter()
                    .map(|fate| Step::SidecarStore(index, fate)),
            );
            if self.faults > 0 && !matches!(op, Op::Write { .. }) {
                steps.push(Step::SidecarStore(index, Fate::AnsweredLate));
            }
        }
        match hand.service {
            Service::Untouched => {}
            Service::Asked => {
                steps.push(Step::ServiceTakes(index));
                if self.faults > 0 {
                    steps.push(Step::ServiceRefuses(index));
                }
            }
            Service::Running => {
                steps.push(Step::ServiceAnswers(index));
                if self.faults > 0 {
                    steps.push(Step::ServiceBreaks(index));
                }
            }
        }
        if hand.waits {
            steps.push(Step::Waited(index));
        }
        let request = &self.requests[hand.entry];
        let early = matches!(hand.op, Some(Op::Create { .. } | Op::Read));
        if early && !hand.gone && (!request.alive || request.told.is_some()) {
            steps.push(Step::Gone(index));
        }
    }

    fn fates(&self, op: &Op) -> Vec<Fate> {
        let mut fates = vec![Fate::Answered];
        if self.faults == 0 {
            return fates;
        }
        fates.push(Fate::Refused);
        if *op != Op::Read {
            fates.extend([Fate::AnswerLost, Fate::Delayed]);
        }
        fates
    }
}
