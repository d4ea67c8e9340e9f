//! Replaces a quiet run, whose server sends nothing and may still go on.
//!
//! The run is given up only once another one has begun, or can be expected to: until then a server that
//! merely pauses can still complete the answer.

use std::{
    future::pending,
    rc::Rc,
    time::Duration, //
};

use admission::Purpose;
use answer::loss::Loss;
use environment::document::Repeats;
use events::{
    forwarding,
    note, //
};
use routing::placement::Request;
use tokio::time::{
    Instant,
    sleep, //
};

use super::{
    Denial, MAX_DECLINED_SENDS, Session,
    resumption::Resumption,
    run::{
        Run,
        Start, //
    },
};
use crate::{
    context::Context,
    fleet::{
        Suspicion,
        Target, //
    },
    protocol::{
        KvCopy,
        Protocol, //
    },
    retry_budget::Permit,
    trials::Ticket, //
};

/// Longest time for which a quiet run goes on beside the one that replaces it, once that is sent.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

impl<P: Protocol + 'static> Session<P> {
    /// Returns whether another run can replace a quiet one now, and takes the permit for its send.
    pub(super) fn may_replace(&mut self, run: &mut Run, loss: Loss) -> bool {
        let Err(denial) = self.reserve_replacement(run, loss) else {
            return true;
        };
        if loss.is_unreachable() {
            self.context
                .fleet
                .borrow_mut()
                .suspect(&run.target.server, Suspicion::Unresponsive);
            self.context.sender.disconnect(run.target.address);
        }
        if run.kept.replace(denial) != Some(denial) {
            note!(
                forwarding::KEPT,
                id = self.call.request.metadata.id.as_str(),
                server = run.target.server.as_str(),
                reason = denial.name(),
                loss = loss.name(),
                silence_ms = run.silence().as_millis() as u64
            );
        }
        false
    }

    fn reserve_replacement(&mut self, run: &Run, loss: Loss) -> Result<(), Denial> {
        self.selection = self.context.select_resumed(&self.call.service);
        match self.call.pass.repeats {
            Repeats::Never => return Err(Denial::NotResumable),
            Repeats::Always if self.has_head => return Err(Denial::NotResumable),
            Repeats::Always | Repeats::Resumes => {}
        }
        if self.context.is_poisonous(&self.call) {
            return Err(Denial::Poisonous);
        }
        if self.declined_beside > MAX_DECLINED_SENDS && !loss.is_unreachable() {
            return Err(Denial::Declined);
        }
        // A server that accepts no connection may have crashed; a held request waits for that.
        match (self.context.is_held(&self.call), loss) {
            (false, _) => self.check_replacement(run, loss)?,
            (true, Loss::Unreachable) => {}
            (true, _) => return Err(Denial::Occupied),
        }
        // Before the head of its answer a caller still gets a whole response, if only a failure.
        if self.has_head && loss.leaves_living_server() && self.way_back.is_none() {
            let permits = self.context.may_replace(&self.call.service);
            let (permit, way_back) = permits.ok_or(Denial::RetriesSpent)?;
            self.unused.push(permit);
            self.way_back = Some(way_back);
            return Ok(());
        }
        let purpose = match loss {
            Loss::Silent | Loss::Slow => Purpose::QuietRun,
            _ if self.has_head => Purpose::Resume,
            _ => Purpose::Unanswered,
        };
        let permit = self.may_send(false, purpose).ok_or(Denial::RetriesSpent)?;
        self.unused.push(permit);
        Ok(())
    }

    /// Checks whether another server may take the stream.
    fn check_replacement(&self, run: &Run, loss: Loss) -> Result<(), Denial> {
        let occupied = self.context.occupied_servers(&self.call);
        let data_centre = self.context.settings.borrow().data_centre.clone();
        let avoid = self.tried.iter().chain(&occupied).cloned();
        let avoid: Vec<_> = avoid.collect();
        let request = Request {
            avoid: &avoid,
            ..self.request(&data_centre, self.remaining_work())
        };
        let target = self.context.fleet.borrow_mut().choose(&request);
        let target = target.ok_or(Denial::NoServer)?;
        // A server that lost the run says so.
        if target.server == run.target.server {
            return Err(Denial::NoServer);
        }
        if occupied.contains(&target.server) || self.context.tells_nothing(&self.call, &target) {
            return Err(Denial::Occupied);
        }
        if loss.leaves_living_server() && !self.begins_before_exit(&target) {
            return Err(Denial::Stopping);
        }
        let servers = &self.ran_at;
        let runs_here = !servers.contains(&run.target.server);
        let is_known = servers.contains(&target.server);
        let used = servers.len() + usize::from(runs_here);
        if !is_known && used >= self.call.pass.attempts as usize {
            return Err(Denial::AttemptsSpent);
        }
        Ok(())
    }

    /// Returns whether a run at a server is expected to begin before this process exits.
    fn begins_before_exit(&self, target: &Target) -> bool {
        let grace = self.context.settings.borrow().bounds.grace;
        let Some(cutoff_at) = self.context.shutdown.cutoff_at(grace) else {
            return true;
        };
        let fleet = self.context.fleet.borrow();
        let cached = fleet.cached_tokens(self.parts(), &target.server);
        let prefill_tokens = self.remaining_work().prefill_tokens.saturating_sub(cached);
        let expected = match fleet.unloaded_first_event(target, prefill_tokens) {
            Duration::ZERO => self.call.pass.objective,
            known => known,
        };
        Instant::now() + expected < cutoff_at
    }

    /// Returns the server that was left, and the permit to send the request there again, once no other
    /// one takes it.
    pub(super) fn go_back(&mut self) -> Option<(Target, Option<KvCopy>, Permit)> {
        let (target, permit) = (self.left.take()?, self.way_back.take()?);
        if self.timed_out() || self.context.is_held(&self.call) {
            return None;
        }
        let fleet = self.context.fleet.borrow();
        let takes_it = fleet.accepts_work(&target.server) && fleet.allows_request(&target.server);
        drop(fleet);
        let service = &self.call.service;
        let is_taken_back = self.context.is_taken_back(service, &target.version);
        let occupied = self.context.occupied_servers(&self.call);
        if !takes_it || is_taken_back || occupied.contains(&target.server) {
            return None;
        }
        note!(
            forwarding::WENT_BACK,
            id = self.call.request.metadata.id.as_str(),
            server = target.server.as_str()
        );
        Some((target, None, permit))
    }

    /// Prepares the resumption of a stream whose run is lost. Returns the run if it may go on until
    /// another one begins.
    pub(super) async fn set_aside(
        &mut self,
        resumption: &mut Option<Resumption>,
        mut run: Box<Run>,
        loss: Loss,
    ) -> Option<Quiet> {
        let lost = run.lost(loss);
        self.record_loss(resumption, lost);
        // A request that runs beside no other one must have ended first.
        if loss.may_go_on() && !self.context.is_held(&self.call) {
            return Some(Quiet {
                run,
                loss,
                has_ended: false,
            });
        }
        self.check_crash(&mut run, loss).await;
        run.give_up(loss);
        None
    }

    /// Starts a run. A quiet one goes on beside it until it begins, but no longer than [`MAX_OVERLAP`]
    /// after the request is sent.
    ///
    /// # Errors
    ///
    /// Returns the quiet run if it goes on, or the other one doesn't begin, and its caller has the
    /// head of the answer.
    pub(super) async fn start_beside(
        &mut self,
        quiet: Option<Quiet>,
        target: &Target,
        copy: Option<&KvCopy>,
        ticket: Option<Ticket>,
        permit: Permit,
    ) -> Result<Start, Box<Run>> {
        let Some(mut quiet) = quiet else {
            let started = self.start(target, copy, ticket, &permit).await;
            return Ok(self.keep_unused(started, permit));
        };
        let context = self.context.clone();
        let sent = tokio::select! {
            biased;
            () = quiet.wait_until_it_goes_on() => None,
            sent = self.send(target, copy, ticket, &permit) => Some(sent),
        };
        let started = match sent {
            None => None,
            Some(Err(failed)) => Some(failed),
            Some(Ok(run)) => {
                let left = self.way_back.is_some();
                self.left = left.then(|| quiet.run.target.clone());
                let mut head = std::pin::pin!(self.await_head(run));
                tokio::select! {
                    biased;
                    () = quiet.wait_until_it_goes_on() => None,
                    started = head.as_mut() => Some(started),
                    () = sleep(MAX_OVERLAP) => {
                        quiet.give_up(&context);
                        return Ok(head.await);
                    }
                }
            }
        };
        match &started {
            Some(Start::Running { .. } | Start::TimedOut) => {
                quiet.give_up(&context);
                return Ok(started.expect("a start"));
            }
            Some(Start::Declined) => self.declined_beside += 1,
            Some(Start::Unreachable) => self.unused.push(permit),
            Some(Start::Replaced | Start::Failed(_) | Start::Poisonous) => {}
            Some(Start::Lost(_) | Start::Quiet(..)) | None => self.record_ran(target),
        }
        match (quiet.has_ended, started) {
            (true, Some(started)) => {
                quiet.give_up(&context);
                Ok(started)
            }
            _ => self.go_on(quiet).await,
        }
    }

    /// Keeps the permit of a send that reached no server.
    fn keep_unused(&mut self, started: Start, permit: Permit) -> Start {
        if let Start::Unreachable = started {
            self.unused.push(permit);
        }
        started
    }

    /// Goes on with a quiet run.
    ///
    /// # Errors
    ///
    /// Returns the run if its caller has the head of the answer.
    pub(super) async fn go_on(&mut self, quiet: Quiet) -> Result<Start, Box<Run>> {
        let mut run = quiet.run;
        run.keep();
        self.left = None;
        self.last_lost = None;
        self.call.progress.sent(&run.target.server);
        match run.has_head() {
            true => Err(run),
            false => Ok(self.await_head(run).await),
        }
    }
}

/// A run whose server sends nothing, while another one is tried.
pub(super) struct Quiet {
    run: Box<Run>,
    loss: Loss,
    /// Whether its connection ended meanwhile.
    has_ended: bool,
}

impl Quiet {
    /// Waits until the run goes on. What a server sends beside its events doesn't count.
    async fn wait_until_it_goes_on(&mut self) {
        if !self.has_ended && !self.run.sends_filler() {
            if self.run.goes_on().await {
                return;
            }
            self.has_ended = true;
        }
        pending().await
    }

    /// Gives up the run, which another one has replaced.
    fn give_up<P: Protocol + 'static>(mut self, context: &Rc<Context<P>>) {
        if let Some(lost) = self.run.unsurvived(self.loss) {
            context.check_silence(lost);
        }
        self.run.give_up(self.loss);
    }
}
