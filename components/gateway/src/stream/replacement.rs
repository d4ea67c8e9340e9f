//! Replaces a quiet run, whose server sends nothing and may still go on.
//!
//! The run is given up only once another one has begun, or can be expected to: until then a server that
//! merely pauses can still complete the answer.

use std::time::Duration;

use admission::Purpose;
use answer::loss::Loss;
use environment::document::Repeats;
use events::{
    forwarding,
    note, //
};
use routing::placement::Request;
use tokio::time::sleep;

use super::{
    Denial, MAX_DECLINED_SENDS, Session,
    resumption::Resumption,
    run::{
        Run,
        Start, //
    },
};
use crate::{
    fleet::Target,
    protocol::{
        KvCopy,
        Protocol, //
    },
    retry_budget::Permit,
    trials::Ticket, //
};

/// Longest time for which a quiet run goes on beside the one that replaces it.
const MAX_OVERLAP: Duration = Duration::from_millis(200);

impl<P: Protocol + 'static> Session<P> {
    /// Returns whether another run can replace a quiet one now, and takes the permit for its send.
    pub(super) fn may_replace(&mut self, run: &mut Run, loss: Loss) -> bool {
        let Err(denial) = self.reserve_replacement(run, loss) else {
            return true;
        };
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
        match self.call.pass.repeats {
            Repeats::Never => return Err(Denial::NotResumable),
            Repeats::Always if self.has_head => return Err(Denial::NotResumable),
            Repeats::Always | Repeats::Resumes => {}
        }
        if self.context.is_poisonous(&self.call) {
            return Err(Denial::Poisonous);
        }
        if self.declined_beside > MAX_DECLINED_SENDS {
            return Err(Denial::Declined);
        }
        let occupied = self.context.occupied_servers(&self.call);
        if self.context.is_held(&self.call) {
            // A server that accepts no connection may have crashed; another one waits for that.
            return match loss {
                Loss::Unreachable => Ok(()),
                _ => Err(Denial::Occupied),
            };
        }
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
        if occupied.contains(&target.server) {
            return Err(Denial::Occupied);
        }
        let servers = &self.ran_at;
        let runs_here = !servers.contains(&run.target.server);
        let is_known = servers.contains(&target.server);
        let used = servers.len() + usize::from(runs_here);
        if !is_known && used >= self.call.pass.attempts as usize {
            return Err(Denial::AttemptsSpent);
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

    /// Prepares the resumption of a stream whose run is lost. Returns the run if it may go on until
    /// another one begins.
    pub(super) async fn set_aside(
        &mut self,
        resumption: &mut Option<Resumption>,
        mut run: Box<Run>,
        loss: Loss,
    ) -> Option<Box<Run>> {
        self.check_crash(&mut run, loss).await;
        let lost = run.lose(loss);
        self.record_loss(resumption, lost);
        // A request that runs beside no other one must have ended first.
        let is_held = self.context.is_held(&self.call);
        (loss.may_go_on() && !is_held && !run.sends_filler()).then_some(run)
    }

    /// Starts a run. A quiet one goes on beside it until it begins, but not longer than
    /// [`MAX_OVERLAP`].
    ///
    /// # Errors
    ///
    /// Returns the quiet run if it goes on, or the other one doesn't begin, and its caller has the
    /// head of the answer.
    pub(super) async fn start_beside(
        &mut self,
        mut quiet: Option<Box<Run>>,
        target: &Target,
        copy: Option<&KvCopy>,
        ticket: Option<Ticket>,
        permit: Permit,
    ) -> Result<Start, Box<Run>> {
        let (started, quiet) = {
            let mut start = std::pin::pin!(self.start(target, copy, ticket, &permit));
            let overlap = match &mut quiet {
                None => Overlap::Over,
                Some(run) => tokio::select! {
                    biased;
                    goes_on = run.goes_on() => match goes_on {
                        true => Overlap::WentOn,
                        false => Overlap::Over,
                    },
                    started = start.as_mut() => Overlap::Started(started),
                    () = sleep(MAX_OVERLAP) => Overlap::Over,
                },
            };
            match overlap {
                Overlap::WentOn => (None, quiet),
                Overlap::Started(started) => (Some(started), quiet),
                Overlap::Over => {
                    drop(quiet);
                    (Some(start.await), None)
                }
            }
        };
        let started = match (started, quiet) {
            (Some(started), Some(run)) => match started {
                Start::Running { .. } | Start::TimedOut => started,
                failed => {
                    if let Start::Declined = failed {
                        self.declined_beside += 1;
                    }
                    if let Start::Lost(_) | Start::Quiet(..) = failed {
                        self.record_ran(target);
                    }
                    self.keep_unused(failed, permit);
                    return self.go_on(run).await;
                }
            },
            (Some(started), None) => started,
            (None, Some(run)) => return self.go_on(run).await,
            (None, None) => unreachable!("a start has a result unless the quiet run goes on"),
        };
        Ok(self.keep_unused(started, permit))
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
    pub(super) async fn go_on(&mut self, mut run: Box<Run>) -> Result<Start, Box<Run>> {
        run.keep();
        self.call.progress.sent(&run.target.server);
        match run.has_head() {
            true => Err(run),
            false => Ok(self.await_head(run).await),
        }
    }
}

/// How the time in which two runs overlap ends.
enum Overlap {
    /// The quiet run goes on.
    WentOn,
    /// The other run began, or won't.
    Started(Start),
    /// It is over, or the connection of the quiet run ended.
    Over,
}
