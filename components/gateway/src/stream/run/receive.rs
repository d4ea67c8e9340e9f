//! Waits for the next piece of a run's answer, and decides when the run is lost.

use std::time::Duration;

use answer::{
    loss::Loss,
    silence::Advice, //
};
use bytes::Bytes;
use events::{
    forwarding,
    note, //
};
use routing::placement::Request;
use tokio::time::{
    Instant,
    timeout_at, //
};
use upstream::{
    Bound,
    Data,
    Error,
    Head, //
};

use super::Run;
use crate::{
    fleet::Registered,
    protocol::{
        Protocol,
        Reply, //
    },
    sender::{
        MAX_BODY_BYTES,
        MAX_EARLIER_RESPONSES, //
    },
    stream::Session, //
};

/// Longest wait for a server's next bytes before its state is checked again.
const MAX_FILL_WAIT: Duration = Duration::from_millis(400);

/// Lateness of a timer from which on this process counts as paused. Shorter stalls are common on
/// busy hosts.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Responses to earlier requests that arrive before that to a run.
#[derive(Debug, Default)]
pub(super) struct Earlier {
    count: u32,
    in_body: bool,
    /// Bytes of the current body.
    bytes: usize,
}

impl Earlier {
    /// Begins the body of a response whose head was read.
    fn begin(&mut self) -> Result<(), Error> {
        self.count += 1;
        self.in_body = true;
        self.bytes = 0;
        match self.count > MAX_EARLIER_RESPONSES {
            true => Err(Error::Excess(Bound::EarlierResponses)),
            false => Ok(()),
        }
    }

    /// Counts bytes of the body.
    fn skip(&mut self, bytes: usize) -> Result<(), Error> {
        self.bytes += bytes;
        match self.bytes > MAX_BODY_BYTES {
            true => Err(Error::Excess(Bound::Body)),
            false => Ok(()),
        }
    }
}

/// Next piece of a run's answer.
pub(super) enum Received {
    Head(Head, Reply),
    Data(Bytes),
    End,
    Lost(Loss),
    TimedOut,
    /// The request was found to crash servers, and this one may not have begun it.
    Poisonous,
}

impl Run {
    /// Takes the next piece from the bytes that were received.
    fn take<P: Protocol>(
        &mut self,
        session: &Session<P>,
        head: bool,
    ) -> Result<Option<Received>, Error> {
        if !head {
            return Ok(match self.connection.try_data()? {
                Data::Bytes(bytes) => Some(Received::Data(bytes)),
                Data::End => Some(Received::End),
                Data::Pending => None,
            });
        }
        while self.skip_earlier()? {
            let Some(head) = self.connection.try_head()? else {
                break;
            };
            let request = &session.call.request;
            if let Some(reply) = session.context.sender.match_reply(request, &head) {
                return Ok(Some(Received::Head(head, reply)));
            }
            self.earlier.begin()?;
        }
        Ok(None)
    }

    /// Skips the body of a response to an earlier request on the connection. Returns whether a head
    /// comes next.
    fn skip_earlier(&mut self) -> Result<bool, Error> {
        while self.earlier.in_body {
            match self.connection.try_data()? {
                Data::Bytes(bytes) => self.earlier.skip(bytes.len())?,
                Data::End => self.earlier.in_body = false,
                Data::Pending => return Ok(false),
            }
        }
        Ok(true)
    }
}

impl<P: Protocol + 'static> Session<P> {
    /// Waits for the next piece of a run's answer, or for a reason to give it up.
    pub(super) async fn receive(&mut self, run: &mut Run, head: bool) -> Received {
        loop {
            match run.take(self, head) {
                Ok(Some(received)) => return received,
                Ok(None) => {}
                Err(error) => return Received::Lost(self.loss_by(run, &error)),
            }
            if self.timed_out() {
                return Received::TimedOut;
            }
            if head && self.context.is_poisonous(&self.call) {
                return Received::Poisonous;
            }
            if self.context.fleet.borrow().is_replaced(&run.target) {
                return Received::Lost(Loss::Gone);
            }
            self.check_suspicion(run);
            if let Some(trial) = &mut run.trial {
                trial.check();
            }
            let silence = run.silent_since.elapsed();
            match run.silence.advise(silence) {
                Advice::Lost if self.may_replace(run, Loss::Silent) => {
                    return Received::Lost(Loss::Silent);
                }
                Advice::Lost => {
                    run.keep();
                    if run.may_be_reported()
                        && let Some(received) = self.query_server(run).await
                    {
                        return received;
                    }
                }
                Advice::Relocate
                    if self.is_in_time_elsewhere(run) && self.may_replace(run, Loss::Slow) =>
                {
                    return Received::Lost(Loss::Slow);
                }
                Advice::Relocate => {
                    run.silence.stay();
                    note!(
                        forwarding::STAYED,
                        id = self.call.request.metadata.id.as_str(),
                        server = run.target.server.as_str(),
                        silence_ms = silence.as_millis() as u64
                    );
                }
                Advice::Wait(limit) => {
                    let until = (run.silent_since + limit).min(self.call.until);
                    let until = until.min(Instant::now() + MAX_FILL_WAIT);
                    let filled = tokio::select! {
                        biased;
                        filled = timeout_at(until, run.connection.fill()) => filled,
                        () = self.context.await_silent_check(&run.unanswered) => continue,
                    };
                    match filled {
                        Ok(Ok(())) => {}
                        Ok(Err(error)) => return Received::Lost(self.loss_by(run, &error)),
                        // The timeout is handled in the next iteration. When the process resumes
                        // after a pause, timers fire before sockets are read.
                        Err(_) => {
                            let late = until.elapsed();
                            if late >= MIN_PAUSE {
                                run.discount_pause(late);
                            }
                        }
                    }
                }
                Advice::Connect => {
                    let probe = self.context.sender.probe(&run.target);
                    tokio::select! {
                        biased;
                        filled = run.connection.fill() => {
                            if let Err(error) = filled {
                                return Received::Lost(self.loss_by(run, &error));
                            }
                            run.record_alive();
                        }
                        alive = probe => {
                            if alive {
                                run.record_alive();
                            } else if let Some(loss) = self.unreachable(run) {
                                return Received::Lost(loss);
                            }
                        }
                    }
                }
                Advice::QueryServer => {
                    if let Some(received) = self.query_server(run).await {
                        return received;
                    }
                }
            }
        }
    }

    /// Asks the server of a run for its current runs. Returns a loss if there is one.
    async fn query_server(&mut self, run: &mut Run) -> Option<Received> {
        let received = run.events.max(self.sequence.last().unwrap_or(0));
        let query = self.context.read_activity(&run.target);
        tokio::select! {
            biased;
            filled = run.connection.fill() => {
                if let Err(error) = filled {
                    return Some(Received::Lost(self.loss_by(run, &error)));
                }
                run.record_alive();
            }
            activity = query => match activity {
                None => return self.unreachable(run).map(Received::Lost),
                Some(activity)
                    if activity.has_lost(&self.call.request.metadata.id, received) =>
                {
                    return Some(Received::Lost(Loss::Orphaned));
                }
                Some(_) => {
                    self.context.record_heard(&run.target.server);
                    run.record_alive();
                }
            }
        }
        None
    }

    /// Returns the loss of a run whose server accepts no connection; keeps the run if it may go on and
    /// nothing can replace it.
    fn unreachable(&mut self, run: &mut Run) -> Option<Loss> {
        let registered = self.context.fleet.borrow().registered(&run.target);
        if matches!(registered, Registered::Removed | Registered::Restarted) {
            return Some(Loss::Gone);
        }
        if self.may_replace(run, Loss::Unreachable) {
            return Some(Loss::Unreachable);
        }
        run.keep();
        None
    }

    /// Returns the loss that an error of the connection is.
    pub(super) fn loss_by(&self, run: &Run, error: &Error) -> Loss {
        let id = self.call.request.metadata.id.as_str();
        let sender = &self.context.sender;
        match error {
            Error::Closed => Loss::Closed,
            Error::Malformed(_) => Loss::Malformed,
            Error::Excess(_) => {
                sender.report_excess(Some(id), &run.target.server, error);
                Loss::Excess
            }
            Error::Connect(_) | Error::Broken(_) | Error::Timeout => Loss::Reset,
        }
    }

    /// Returns whether another server is expected to send the first event of a run within the
    /// objective, although it would process the prompt from the start.
    fn is_in_time_elsewhere(&self, run: &Run) -> bool {
        let mut fleet = self.context.fleet.borrow_mut();
        let data_centre = self.context.settings.borrow().data_centre.clone();
        let request = Request {
            avoid: std::slice::from_ref(&run.target.server),
            ..self.request(&data_centre, self.remaining_work())
        };
        let Some(target) = fleet.choose(&request) else {
            return false;
        };
        let prefill_tokens = request.work.prefill_tokens;
        let expected = fleet.expected_first_event(&target)
            + fleet.unloaded_first_event(&target, prefill_tokens);
        run.silence
            .is_in_time(self.call.arrived.elapsed(), expected)
    }

    /// Makes the detector suspect a run whose server was found unreachable since the server was
    /// last known to be alive.
    fn check_suspicion(&self, run: &mut Run) {
        let Some(age) = self
            .context
            .fleet
            .borrow()
            .suspected_for(&run.target.server)
        else {
            return;
        };
        if age < run.last_alive.elapsed() {
            run.silence.suspect();
        }
    }
}
