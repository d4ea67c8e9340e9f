//! Enabled steps of a state.

use super::{
    Completion,
    State,
    Step,
    actors::{
        Op,
        Service, //
    },
    state::NODE_COUNT, //
};

impl State {
    /// Returns all enabled steps with the states that they lead to.
    pub fn successors(&self) -> Vec<(Step, Self)> {
        let mut steps = Vec::new();
        for entry in 0..NODE_COUNT {
            self.entry_steps(entry, &mut steps);
        }
        for forwarding in 0..self.forwardings.len() {
            self.forwarding_steps(forwarding, &mut steps);
        }
        for sidecar in 0..NODE_COUNT {
            let busy = self
                .forwardings
                .iter()
                .any(|forwarding| forwarding.sidecar() == sidecar);
            if busy && self.faults > 0 {
                steps.push(Step::SidecarDies(sidecar));
            }
        }
        for write in 0..self.delayed_writes.len() {
            steps.push(Step::LateWrite(write));
        }
        let with_successor = |step| (step, self.successor(step));
        steps.into_iter().map(with_successor).collect()
    }

    fn entry_steps(&self, entry: usize, steps: &mut Vec<Step>) {
        let request = &self.requests[entry];
        // A frame that was sent arrives even if its entry has died since.
        if !request.frames.is_empty() {
            steps.push(Step::Frame(entry));
            if self.faults > 0 {
                steps.push(Step::FrameTwice(entry));
            }
        }
        if !request.alive {
            return;
        }
        if !request.started {
            steps.push(Step::Request(entry));
            return;
        }
        if request.waiting {
            steps.push(Step::Silent(entry));
            if !request.replies.is_empty() {
                steps.push(Step::Reply(entry));
            }
            let last = request.frames.last();
            let in_transit = last.is_some_and(|last| last.send == request.sends && !last.arrived);
            if in_transit && self.faults > 0 {
                steps.push(Step::Unsent(entry));
            }
        }
        if let Some(op) = &request.op {
            let completions = self.completions(op);
            steps.extend(
                completions
                    .into_iter()
                    .map(|completion| Step::EntryStore(entry, completion)),
            );
        }
        if self.faults > 0 && request.reported.is_none() {
            steps.push(Step::EntryDies(entry));
        }
    }

    fn forwarding_steps(&self, index: usize, steps: &mut Vec<Step>) {
        let forwarding = &self.forwardings[index];
        if let Some(op) = &forwarding.op {
            let completions = self.completions(op);
            steps.extend(
                completions
                    .into_iter()
                    .map(|completion| Step::SidecarStore(index, completion)),
            );
            if self.faults > 0 && !matches!(op, Op::Write { .. }) {
                steps.push(Step::SidecarStore(index, Completion::AnsweredLate));
            }
        }
        match forwarding.service {
            Service::Idle => {}
            Service::Requested => {
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
        if forwarding.waiting {
            steps.push(Step::Waited(index));
        }
        let request = &self.requests[forwarding.entry];
        let before_forwarding = matches!(forwarding.op, Some(Op::Create { .. } | Op::Read));
        if before_forwarding
            && !forwarding.entry_gone
            && (!request.alive || request.reported.is_some())
        {
            steps.push(Step::Gone(index));
        }
    }

    fn completions(&self, op: &Op) -> Vec<Completion> {
        let mut completions = vec![Completion::Answered];
        if self.faults == 0 {
            return completions;
        }
        completions.push(Completion::Refused);
        if *op != Op::Read {
            completions.extend([Completion::AnswerLost, Completion::Delayed]);
        }
        completions
    }
}
