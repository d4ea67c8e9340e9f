//! One run of a stream at one backend server.

use std::time::Duration;

use answer::{
    events::Splitter,
    loss::Loss,
    progress::Progress,
    silence::{
        Detector,
        MIN_REPORTED_RUN_AGE, //
    }, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use contract::poison::evidence::{
    LIFE_SIGN,
    Observation,
    PROBATION,
    Stage, //
};
use events::{
    forwarding,
    note, //
};
use routing::Outcome;
use tokio::time::Instant;
use upstream::{
    Bound,
    Connection,
    Error, //
};

use crate::{
    crashes::{
        OpenRun,
        Unanswered, //
    },
    fleet::{
        InFlight,
        Suspicion,
        Target, //
    },
    meter,
    probation::{
        self, //
    },
    protocol::{
        KvCopy,
        Protocol, //
    },
    rollout::Trial,
    stream::{
        Denial,
        LostRun,
        Session,
        backup::Backup, //
    },
};

mod receive;
mod start;

use receive::{
    Earlier,
    Received, //
};
pub(super) use start::Start;

/// Interval at which the holder of the backup is checked.
const BACKUP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time after a pause of this process in which what arrived meanwhile is read.
const CATCH_UP_TIME: Duration = Duration::from_millis(250);

/// A run that produces events.
pub(super) struct Run {
    pub(super) target: Target,
    connection: Connection,
    earlier: Earlier,
    in_flight: InFlight,
    backup: Option<Backup>,
    splitter: Splitter,
    progress: Progress,
    silence: Detector,
    pub(super) began: Instant,
    last_received: Instant,
    /// Start of the silence: the last event, or later if the run couldn't be read since or its server
    /// had to read the request first.
    silent_since: Instant,
    /// Time at which the head of the answer arrived.
    answered: Option<Instant>,
    /// Time at which the server was last known to be alive.
    last_alive: Instant,
    /// Time at which the holder of the backup was last checked.
    backup_checked: Instant,
    events: u64,
    /// Whether an event is missing after those that were taken.
    has_gap: bool,
    /// Whether a sign of life of the run was recorded, and its survival.
    recorded: (bool, bool),
    /// Held until the run lives.
    probation: Option<probation::Guard>,
    /// The run until it lives, survives or is lost, and the ticket of a request that runs beside no other.
    unanswered: Unanswered,
    /// Whether the end of the answer can be told from a connection that is closed early.
    is_delimited: bool,
    complete: bool,
    /// Why the run was last kept although it sends nothing.
    pub(super) kept: Option<Denial>,
    /// Result for the rollout; `None` if the run resumes a stream, as its first event is no sample of
    /// the time to process a prompt.
    pub(super) trial: Option<Trial>,
    /// Copy from which the run resumes; its server declines the request if the copy is missing.
    copy: Option<KvCopy>,
}

/// Result of waiting for a run.
pub(super) enum Step {
    /// Complete events, in order.
    Events(Bytes),
    /// The answer is complete.
    End,
    /// The run is lost.
    Lost(Loss),
    /// The deadline of the answer passed.
    TimedOut,
}

impl Run {
    /// Returns what is needed to resume the stream of the run elsewhere.
    pub(super) fn lost(&self, loss: Loss) -> LostRun {
        LostRun {
            loss,
            events: self.events,
            age: self.began.elapsed(),
            target: self.target.clone(),
            resumed_from: self.copy.clone().filter(|_| self.events == 0),
            backup: self.backup.as_ref().and_then(Backup::copy),
        }
    }

    /// Gives up the run. The copy of its KV cache is left to the one that resumes its stream.
    pub(super) fn give_up(mut self, loss: Loss) {
        self.in_flight.set_outcome(Outcome::Failed);
        // A run is given up as too slow by other limits than those of a trial, which may be later.
        if matches!(loss, Loss::Silent | Loss::Slow)
            && let Some(trial) = &mut self.trial
        {
            trial.given_up();
        }
        if let Some(backup) = self.backup.take() {
            backup.leave();
        }
    }

    /// Closes the record of the run, and returns it if its server may have crashed under it.
    pub(super) fn unsurvived(&mut self, loss: Loss) -> Option<OpenRun> {
        self.unanswered.close();
        if self.has_survived() || !loss.is_silent() && !loss.is_broken_off() {
            return None;
        }
        let stage = match self.answered {
            Some(_) if self.lived_for() >= LIFE_SIGN => Stage::Lived,
            Some(_) => Stage::Started,
            None => Stage::Pending,
        };
        Some(OpenRun {
            stage,
            ..self.unanswered.run.clone()
        })
    }

    /// Waits until the server sends more; returns `false` if the connection ends instead.
    pub(super) async fn goes_on(&mut self) -> bool {
        self.connection.fill().await.is_ok() && self.connection.has_received()
    }

    /// Returns whether the run must appear in its server's report of running requests.
    fn may_be_reported(&self) -> bool {
        self.began.elapsed() >= MIN_REPORTED_RUN_AGE
    }

    /// Returns whether the server has sent anything since the last event that continued the answer.
    pub(super) fn sends_filler(&self) -> bool {
        self.progress.filler_bytes() > 0
    }

    /// Returns whether the run resumes from a copy.
    pub(super) fn is_from_copy(&self) -> bool {
        self.copy.is_some()
    }

    /// Returns whether the head of the answer was received.
    pub(super) fn has_head(&self) -> bool {
        self.answered.is_some()
    }

    /// Returns the time for which the run has sent nothing.
    pub(super) fn silence(&self) -> Duration {
        self.silent_since.elapsed()
    }

    /// Keeps the run for a while, as no other one can replace it now.
    pub(super) fn keep(&mut self) {
        self.silence.keep(self.silence());
    }

    /// Returns whether the answer is certainly complete.
    pub(super) fn is_certainly_complete(&self) -> bool {
        self.complete && (self.is_delimited || self.has_survived())
    }

    /// Ends the run after its complete answer; returns the connection if it can be reused.
    pub(super) fn finish(mut self) -> Option<Connection> {
        self.in_flight.set_outcome(Outcome::Served {
            time: self.began.elapsed(),
        });
        self.in_flight.events_complete(self.events);
        self.unanswered.close();
        self.complete.then_some(self.connection)
    }

    /// Returns the time from the head of the answer to the last event.
    fn lived_for(&self) -> Duration {
        let since = |answered| self.last_received.saturating_duration_since(answered);
        self.answered.map(since).unwrap_or_default()
    }

    /// Returns whether the run lived so long that it won't crash its server.
    fn has_survived(&self) -> bool {
        self.lived_for() >= PROBATION
    }

    /// Records that the server is alive although the run sends no event: it answered a check, or
    /// sent bytes meanwhile.
    fn record_alive(&mut self) {
        self.last_alive = Instant::now();
        self.silence.record_alive(self.silent_since.elapsed());
    }

    /// Excludes a pause of this process from the silence. What arrived during the pause is read in
    /// the time after it, so [`CATCH_UP_TIME`] is excluded as well.
    fn discount_pause(&mut self, pause: Duration) {
        let excluded = pause + CATCH_UP_TIME;
        // It lies in the future while the server may still read the request.
        let latest = Instant::now().max(self.silent_since);
        self.silent_since = latest.min(self.silent_since + excluded);
    }
}

impl<P: Protocol + 'static> Session<P> {
    /// Returns the next complete events of a run.
    pub(super) async fn step(&mut self, run: &mut Run) -> Step {
        if run.events > 0 && !run.silence.is_kept() {
            // Nothing is read while the caller takes the last events.
            run.silent_since = Instant::now();
        }
        loop {
            self.maintain_backup(run);
            self.record_life(run);
            let taken = self.take_events(run);
            let held = run.splitter.len() + run.progress.kept_bytes();
            run.connection.set_taken(held);
            match taken {
                Ok(out) if !out.is_empty() => return Step::Events(out),
                Ok(_) => {}
                Err(loss) => return self.report_loss(run, loss),
            }
            match self.receive(run, false).await {
                Received::Data(data) => run.splitter.push(&data),
                Received::End if run.splitter.has_partial_event() => {
                    return self.report_loss(run, Loss::Truncated);
                }
                Received::End => {
                    let filler = run.progress.take_filler();
                    if !filler.is_empty() {
                        return Step::Events(filler);
                    }
                    run.complete = true;
                    return Step::End;
                }
                Received::Head(..) | Received::Poisonous => {
                    return self.report_loss(run, Loss::Malformed);
                }
                Received::TimedOut => return Step::TimedOut,
                Received::Lost(loss) => return self.report_loss(run, loss),
            }
        }
    }

    /// Records that a run lived, and that it survived, once each.
    fn record_life(&self, run: &mut Run) {
        let lived_for = run.lived_for();
        let (lived, survived) = run.recorded;
        if !survived && lived_for >= PROBATION {
            run.recorded = (true, true);
            run.probation = None;
            run.unanswered.run.ticket = None;
            run.unanswered.close();
            self.context.record_life(&self.call, Observation::Survived);
        } else if !lived && lived_for >= LIFE_SIGN {
            run.recorded.0 = true;
            run.probation = None;
            self.context.record_life(&self.call, Observation::Lived);
        }
        if run.recorded.0 && !self.context.is_held(&self.call) {
            run.unanswered.run.ticket = None;
        }
    }

    /// Checks whether the server of a lost run crashed before the run survived its start.
    pub(super) async fn check_crash(&self, run: &mut Run, loss: Loss) {
        let Some(lost) = run.unsurvived(loss) else {
            return;
        };
        match loss.is_silent() {
            true => self.context.check_silence(lost),
            false => self.context.check_crash(lost).await,
        }
    }

    /// Ensures that another server holds a copy of the run's KV cache.
    fn maintain_backup(&self, run: &mut Run) {
        if run.events == 0 || Instant::now() < run.backup_checked + BACKUP_CHECK_INTERVAL {
            return;
        }
        run.backup_checked = Instant::now();
        let is_usable =
            |backup: &Backup| self.context.fleet.borrow().is_usable(&backup.holder.server);
        if run.backup.as_ref().is_some_and(is_usable) {
            return;
        }
        // A holder that isn't used now may be again, so its copy is kept until there is another one.
        if let Some((holder, in_flight)) = self.choose_backup(&run.target) {
            run.backup = Some(Backup::on_request(
                &self.context,
                &run.target,
                holder,
                in_flight,
                &self.call.request.metadata.id,
                self.call.copy_kept,
            ));
        }
    }

    /// Takes the complete events that were received, without those that the caller already has.
    fn take_events(&mut self, run: &mut Run) -> Result<Bytes, Loss> {
        let mut out = BytesMut::new();
        if run.has_gap {
            return Err(Loss::Gap);
        }
        let before = run.events;
        let excess = Error::Excess(Bound::Event);
        loop {
            let event = match run.splitter.take() {
                Ok(Some(event)) if !run.progress.has_excess() => event,
                Ok(None) if !run.progress.has_excess() => break,
                // The events before are valid.
                _ if !out.is_empty() => break,
                _ => return Err(self.loss_by(run, &excess)),
            };
            let progresses = run.progress.record(&event);
            if progresses {
                self.record_event(run);
            }
            if event.id.is_none() && !progresses {
                run.progress.keep_filler(&event.bytes);
                continue;
            }
            let is_new = match event.id {
                Some(id) => self.sequence.accept(id),
                None => Ok(true),
            };
            match is_new {
                Ok(true) => {
                    out.extend_from_slice(&run.progress.take_filler());
                    out.extend_from_slice(&event.bytes);
                }
                Ok(false) => {}
                // The events before the gap are valid; another run provides the missing ones.
                Err(_) => {
                    run.has_gap = true;
                    if out.is_empty() {
                        return Err(Loss::Gap);
                    }
                    break;
                }
            }
        }
        if run.events > before {
            run.in_flight.events_received((run.events - before) as u32);
        }
        Ok(out.freeze())
    }

    /// Records an event that continues the answer of a run.
    fn record_event(&self, run: &mut Run) {
        let now = Instant::now();
        run.silence.record_event(now - run.last_received);
        run.last_received = now;
        run.silent_since = now;
        run.last_alive = now;
        self.call.progress.heard();
        self.context.record_heard(&run.target.server);
        if run.events == 0 {
            run.in_flight.prompt_processed(run.began.elapsed());
            let mut fleet = self.context.fleet.borrow_mut();
            fleet.mark_alive(&run.target.server);
            fleet.record_prompt(self.parts(), &run.target.server);
        }
        run.events += 1;
    }

    /// Logs a loss, and returns it as the result of a step.
    fn report_loss(&self, run: &Run, loss: Loss) -> Step {
        self.log_loss(run, loss);
        Step::Lost(loss)
    }

    /// Logs a loss, and records it against the server.
    fn log_loss(&self, run: &Run, loss: Loss) {
        meter::loss(loss.name());
        meter::send("lost");
        self.call.progress.left();
        let server = &run.target.server;
        let mut fleet = self.context.fleet.borrow_mut();
        if loss.is_unreachable() {
            fleet.suspect(server, Suspicion::Unresponsive);
        } else if loss.is_immediate(run.events, run.began.elapsed()) {
            fleet.suspect(server, Suspicion::Disconnected);
        }
        drop(fleet);
        let filler_bytes = run.progress.filler_bytes();
        if loss == Loss::Silent && filler_bytes > 0 {
            note!(
                forwarding::NO_EVENTS,
                id = self.call.request.metadata.id.as_str(),
                server = server.as_str(),
                bytes = filler_bytes
            );
        }
        // If the server crashed, its idle connections are dead too, and a request sent on one of
        // them would look like a lost run.
        self.context.sender.disconnect(run.target.address);
        note!(
            forwarding::LOST,
            id = self.call.request.metadata.id.as_str(),
            server = server.as_str(),
            data_centre = run.target.data_centre.as_str(),
            reason = loss.name(),
            fingerprint = format!("{:032x}", self.call.fingerprint()).as_str(),
            parts = self.call.part_ids().as_deref(),
            events = run.events,
            answered_ms = run.answered.map(|at| at.elapsed().as_millis() as u64),
            copy = run
                .backup
                .as_ref()
                .map(|backup| backup.holder.server.as_str()),
            silence_ms = run.last_received.elapsed().as_millis() as u64,
            alive_ms = run.last_alive.elapsed().as_millis() as u64
        );
    }
}
