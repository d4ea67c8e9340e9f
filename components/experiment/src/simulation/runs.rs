//! Runs of requests on engines, and their backup copies.

use names::{
    Clock,
    Server, //
};
use routing::{
    Outcome,
    placement::{
        Suspicion,
        Work,
        speed::Pace, //
    },
};

use super::{
    Simulation,
    server_index,
    server_name,
    team_name, //
};
use crate::engine::{
    Id,
    Run, //
};

/// Number of servers that a request is sent to before it fails.
const MAX_SENDS: usize = 4;

/// Urgency of requests for which engines are told none.
const UNTOLD_URGENCY: u8 = 5;

/// The engine that runs a request, and the work reported to the placement.
pub(super) struct Assignment {
    pub(super) server: usize,
    pub(super) work: Work,
    pub(super) sent_at: Clock,
    pub(super) tokens_ahead: u64,
    pub(super) pace: Pace,
    pub(super) backup: Option<(usize, u64)>,
}

impl Simulation<'_> {
    /// Sends a request to an engine, which prefills its prompt from the start.
    pub(super) fn dispatch(&mut self, id: Id, avoid: &[Server]) {
        let request = &self.requests[id];
        let parts = request.parts.clone();
        let tokens = request.prompt_tokens + request.events * self.setup.tokens_per_event as f64;
        let mut work = Work {
            requests: 1,
            tokens: tokens as u64,
            prefill_tokens: request.prompt_tokens as u64,
        };
        let waited = self.now - request.arrived;
        let is_first = request.first_event.is_none();
        let within = self.setup.first_event_target.checked_sub(waited);
        let within = within.filter(|_| is_first);
        let entry = request.entry;
        let mut avoid = avoid.to_vec();
        for _ in 0..MAX_SENDS {
            let chosen =
                self.entries[entry].choose(self.now, work, within, &parts, &avoid, &mut self.rng);
            let Some(server) = chosen else {
                break;
            };
            if self.engines[server_index(&server)].lost {
                let placement = &mut self.entries[entry].placement;
                placement.suspend(self.now, &server, Suspicion::Refused);
                avoid.push(server);
                continue;
            }
            let placement = &self.entries[entry].placement;
            work.prefill_tokens -= placement
                .cached_tokens(self.now, &parts, &server)
                .min(work.prefill_tokens);
            self.assign(id, &server, work);
            return;
        }
        self.fail(id);
    }

    /// Runs a request on a server, with a backup copy if the policy makes one.
    pub(super) fn assign(&mut self, id: Id, server: &Server, work: Work) {
        let now = self.now;
        let entry = &mut self.entries[self.requests[id].entry];
        let holder = entry.backup(now, work, server, &mut self.rng);
        entry.placement.sent(now, server, work);
        let tokens_ahead = entry.placement.queued_prefill_tokens(server);
        let backup_work = Work {
            requests: 0,
            prefill_tokens: 0,
            ..work
        };
        if let Some(holder) = &holder {
            entry.placement.sent(now, holder, backup_work);
        }
        let backup = holder.map(|holder| (server_index(&holder), work.tokens));
        if let Some((holder, tokens)) = backup {
            self.engines[holder].backup_tokens += tokens;
        }
        let request = &mut self.requests[id];
        self.engines[server_index(server)].add(Run {
            id,
            unprefilled: work.prefill_tokens as f64,
            events: (request.delivered, request.events),
            tokens: work.tokens,
            urgency: match request.kind {
                Some(kind) if self.policy.tells_urgency() => self.setup.kinds[kind].rank,
                _ => UNTOLD_URGENCY,
            },
        });
        request.assignment = Some(Assignment {
            server: server_index(server),
            work,
            sent_at: now,
            tokens_ahead,
            pace: Pace::default(),
            backup,
        });
    }

    pub(super) fn record_event(&mut self, id: Id, first: bool) {
        let now = self.now;
        let request = &mut self.requests[id];
        let entry = &mut self.entries[request.entry];
        if let Some(assignment) = &mut request.assignment {
            let server = server_name(assignment.server);
            let prefill_tokens = std::mem::take(&mut assignment.work.prefill_tokens);
            if prefill_tokens > 0 {
                let time = now - assignment.sent_at;
                entry.placement.record_prefill(
                    now,
                    &server,
                    prefill_tokens,
                    assignment.tokens_ahead,
                    time,
                );
                entry.placement.record_cached(now, &request.parts, &server);
                entry.placement.mark_alive(now, &server);
            }
            let alone = entry.placement.queued_prefill_tokens(&server) == 0;
            if let Some(time) = assignment.pace.record(now, 1, alone) {
                entry.placement.record_step(now, &server, time);
            }
        }
        if let Some(interrupted_at) = request.interrupted_at.take() {
            self.summary
                .pauses
                .push((now - interrupted_at).as_secs_f64());
        }
        let pause = now - request.last_event;
        if first && request.first_event.is_none() {
            request.first_event = Some(now);
        } else {
            request.longest_pause = request.longest_pause.max(pause);
        }
        request.last_event = now;
        request.delivered += 1.0;
    }

    pub(super) fn complete(&mut self, id: Id) {
        let request = &self.requests[id];
        let first = request.first_event.unwrap_or(self.now) - request.arrived;
        let kind = request.kind;
        let objective = match kind {
            Some(kind) => self.setup.kinds[kind].objective,
            None => self.setup.first_event_target,
        };
        let in_time = first <= objective && request.longest_pause <= self.setup.max_pause;
        let (team, large) = (
            request.team,
            request.prompt_tokens > self.setup.mean_lengths.0,
        );
        let was_interrupted = request.was_interrupted;
        self.release(
            id,
            Outcome::Served {
                time: self.setup.event_interval,
            },
        );
        if let Some(kind) = kind {
            let outcomes = &mut self.summary.kinds[kind];
            outcomes.in_time += u32::from(in_time);
            outcomes.late += u32::from(!in_time && !was_interrupted);
            outcomes.interrupted += u32::from(!in_time && was_interrupted);
        }
        if in_time {
            self.summary.in_time += 1;
            self.summary.interrupted.1 += u32::from(was_interrupted);
            self.summary.teams[team].1 += 1;
            self.summary.sizes[usize::from(large)].1 += 1;
        } else {
            self.summary.late += 1;
        }
    }

    /// Ends a request: removes it from its engine and its entry.
    pub(super) fn release(&mut self, id: Id, outcome: Outcome) {
        self.unassign(id, outcome);
        let now = self.now;
        let request = &mut self.requests[id];
        request.finished = true;
        if let Some(admitted) = request.admitted.take() {
            let done = request.done(now - admitted);
            self.entries[request.entry].finish(&team_name(request.team), &done);
        }
    }

    pub(super) fn unassign(&mut self, id: Id, outcome: Outcome) {
        let request = &mut self.requests[id];
        let Some(assignment) = request.assignment.take() else {
            return;
        };
        let entry = &mut self.entries[request.entry];
        self.engines[assignment.server].remove(id);
        entry.done(
            self.now,
            &server_name(assignment.server),
            assignment.work,
            outcome,
        );
        if let Some((holder, tokens)) = assignment.backup {
            let backup_work = Work {
                requests: 0,
                tokens,
                prefill_tokens: 0,
            };
            entry.done(
                self.now,
                &server_name(holder),
                backup_work,
                Outcome::Cancelled,
            );
            let engine = &mut self.engines[holder];
            engine.backup_tokens = engine.backup_tokens.saturating_sub(tokens);
        }
    }

    /// Continues a run of a lost engine on another one, from its backup copy if there is one.
    pub(super) fn resume(&mut self, engine: usize, run: Run) {
        let id = run.id;
        let server = server_name(engine);
        let request = &mut self.requests[id];
        if request.finished {
            return;
        }
        request.interrupted_at = Some(self.now);
        self.summary.interrupted.0 += u32::from(!request.was_interrupted);
        request.was_interrupted = true;
        let prefilled = run.unprefilled <= 0.0;
        let backup = request
            .assignment
            .as_ref()
            .and_then(|assignment| assignment.backup);
        let entry = request.entry;
        let backup = backup.filter(|(holder, _)| prefilled && !self.engines[*holder].lost);
        self.entries[entry]
            .placement
            .suspend(self.now, &server, Suspicion::Refused);
        let request = &self.requests[id];
        let work = Work {
            requests: 1,
            tokens: run.tokens,
            prefill_tokens: 0,
        };
        let prefilled_tokens = request.prompt_tokens - run.unprefilled.max(0.0);
        self.unassign(id, Outcome::Failed);
        match backup {
            Some((holder, _)) => self.assign(id, &server_name(holder), work),
            None => {
                self.summary.wasted += prefilled_tokens;
                self.dispatch(id, &[server]);
            }
        }
    }

    pub(super) fn fail(&mut self, id: Id) {
        self.release(id, Outcome::Failed);
        self.summary.failed += 1;
    }
}
