//! Chooses the server of a stream, and the one that holds the copy of its KV cache.

use std::time::Duration;

use answer::loss::Candidate;
use environment::document::Repeats;
use names::Server;
use routing::placement::{
    Request,
    Versions,
    Work, //
};
use tokio::time::Instant;

use crate::{
    cache_lookup,
    fleet::{
        InFlight,
        Target, //
    },
    probation::Unplaced,
    protocol::{
        KvCopy,
        Protocol, //
    },
    stream::{
        Session,
        resumption::Resumption, //
    },
};

/// Lower bound of the time to process a prompt, as a share of the estimate of that time.
const MIN_PROMPT_TIME_SHARE: f64 = 0.75;

/// Share of the engines' memory in use above which memory counts as scarce while streams wait. At a
/// load of several times the capacity, callers occupy all memory above this share.
const SCARCE_MEMORY_SHARE: f64 = 0.5;

impl<P: Protocol + 'static> Session<P> {
    /// Returns the hashes and tokens of the prompt's parts.
    pub(super) fn parts(&self) -> &[(u64, u32)] {
        self.call.parts()
    }

    /// Returns the work of the rest of the stream.
    pub(super) fn remaining_work(&self) -> Work {
        let Some(generation) = self.call.generation() else {
            return Work {
                requests: 1,
                ..Work::default()
            };
        };
        let answer = generation
            .expected_tokens
            .unwrap_or(generation.max_tokens)
            .min(generation.max_tokens);
        Work {
            requests: 1,
            tokens: u64::from(generation.prompt_tokens) + u64::from(answer),
            prefill_tokens: u64::from(generation.prompt_tokens),
        }
    }

    /// Chooses a server and the copy from which the run resumes: a remaining candidate after a
    /// loss, or else the best server. `occupied` servers take no further run now.
    pub(super) fn choose(
        &mut self,
        resumption: &mut Option<Resumption>,
        occupied: &[Server],
    ) -> Result<(Target, Option<KvCopy>), Unplaced> {
        let fleet = self.context.fleet.clone();
        if let Some(resumption) = resumption {
            while let Some(candidate) = resumption.take() {
                let (target, copy) = match candidate {
                    Candidate::Same => (
                        resumption.lost.target.clone(),
                        resumption.lost.resumed_from.clone(),
                    ),
                    Candidate::Copy => match &resumption.lost.backup {
                        Some((holder, copy)) => (holder.clone(), Some(copy.clone())),
                        None => continue,
                    },
                    Candidate::Any => break,
                };
                // The server is tried even though it lost the run: the loss may affect only that
                // run.
                let usable = match copy {
                    Some(_) => fleet.borrow().is_usable(&target.server),
                    None => fleet.borrow().accepts_work(&target.server),
                };
                let available = usable && !occupied.contains(&target.server);
                let allowed = fleet.borrow().allows_request(&target.server)
                    && !self
                        .context
                        .is_taken_back(&self.call.service, &target.version);
                if available && allowed && self.may_send_to(&target.server) {
                    self.record_tried(&target);
                    return Ok((target, copy));
                }
            }
        }
        let data_centre = self.context.settings.borrow().data_centre.clone();
        let avoid: Vec<Server> = self.tried.iter().chain(occupied).cloned().collect();
        let request = Request {
            avoid: &avoid,
            ..self.request(&data_centre, self.remaining_work())
        };
        let target = fleet.borrow_mut().choose(&request);
        let target = target.ok_or(Unplaced::NoServer)?;
        if !self.may_send_to(&target.server) {
            return Err(Unplaced::NoServer);
        }
        if occupied.contains(&target.server) {
            return Err(Unplaced::Occupied);
        }
        self.record_tried(&target);
        Ok((target, None))
    }

    fn record_tried(&mut self, target: &Target) {
        if !self.tried.contains(&target.server) {
            self.tried.push(target.server.clone());
        }
    }

    pub(super) fn request<'a>(&'a self, data_centre: &'a str, work: Work) -> Request<'a> {
        Request {
            service: &self.call.service,
            data_centre,
            work,
            parts: self.parts(),
            versions: self.selection.versions(),
            avoid: &self.tried,
            avoid_data_centre: None,
            within: self.time_to_first_event(),
        }
    }

    /// Returns the time left for the first event to be in time; `None` if the caller has events, or
    /// it can't be.
    fn time_to_first_event(&self) -> Option<Duration> {
        let objective = self.call.pass.objective;
        let left = objective.checked_sub(self.call.arrived.elapsed())?;
        self.sequence.last().is_none().then_some(left)
    }

    /// Chooses a server of another data centre for the copy of a run's KV cache.
    pub(super) fn choose_backup(&self, target: &Target) -> Option<(Target, InFlight)> {
        if self.call.pass.repeats != Repeats::Resumes || !self.call.backups {
            return None;
        }
        // A copy is useful only if the run is lost; the same memory always serves a waiting caller.
        // While memory suffices for both, a copy delays no caller, as callers then wait for a free
        // slot or for other prompts to be processed.
        let service = &self.call.service;
        let scarce = || self.context.fleet.borrow().memory_use(service) > SCARCE_MEMORY_SHARE;
        if self.context.queue.is_under_pressure(service) && scarce() {
            return None;
        }
        let data_centre = self.context.settings.borrow().data_centre.clone();
        let work = Work {
            requests: 0,
            prefill_tokens: 0,
            ..self.remaining_work()
        };
        let request = Request {
            versions: Versions::Only(&target.version),
            avoid_data_centre: Some(&target.data_centre),
            within: None,
            ..self.request(&data_centre, work)
        };
        let backup = self.context.fleet.borrow_mut().choose_backup(&request)?;
        let in_flight = InFlight::new(&self.context.fleet, &backup.server, work);
        Some((backup, in_flight))
    }

    /// Looks up which engine processed the prompt of a reconnecting caller, unless this gateway
    /// knows it already.
    pub(super) async fn look_up_prompt(&self) {
        let remaining = self.call.until.saturating_duration_since(Instant::now());
        // The caller's previous gateway may have failed before the first event. A gateway that
        // started long ago knows where the prompt was processed.
        let timeout = self.call.pass.timeout.unwrap_or_default();
        let has_waited = remaining < timeout / 2 && self.context.started.elapsed() < timeout;
        let reconnected = self.call.request.metadata.after.is_some() || has_waited;
        let Some(part) = self.parts().last().filter(|_| reconnected) else {
            return;
        };
        if self.context.fleet.borrow().is_cached(*part) {
            return;
        }
        cache_lookup::find_prompt(&self.context, &self.call.service, *part, remaining).await;
        cache_lookup::wait_for_registration(&self.context, &self.call, *part, remaining).await;
    }

    /// Returns whether an attempt at a server is worthwhile: it has spare capacity, so that nothing
    /// is taken from others, or the answer is expected to be complete in time.
    pub(super) fn worth_trying(&self, target: &Target) -> bool {
        if !target.score.is_full() {
            return true;
        }
        let remaining = self.call.until.saturating_duration_since(Instant::now());
        let after = self.sequence.last().unwrap_or(0);
        let answer_time = self
            .context
            .forecast
            .borrow()
            .remaining_time(&self.call.route, after);
        let Some(answer_time) = answer_time else {
            return true;
        };
        let fleet = self.context.fleet.borrow();
        let prefill_tokens = self
            .remaining_work()
            .prefill_tokens
            .saturating_sub(fleet.cached_tokens(self.parts(), &target.server));
        let prompt_time = fleet
            .unloaded_first_event(target, prefill_tokens)
            .mul_f64(MIN_PROMPT_TIME_SHARE);
        prompt_time + answer_time <= remaining
    }
}
