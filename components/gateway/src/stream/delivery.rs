//! Passes the events of a stream on to its caller.

use admission::Answer;
use async_stream::stream;
use bytes::Bytes;
use contract::poison::evidence::Observation;
use events::{
    forwarding,
    note, //
};
use futures_util::Stream;
use tokio::time::Instant;

use super::{
    Session,
    run::{
        Run,
        Step, //
    }, //
};
use crate::{
    body::Abort,
    meter,
    protocol::Protocol,
    requests::Closer, //
};

impl<P: Protocol + 'static> Session<P> {
    /// Yields events until the answer is complete, from as many runs as needed.
    pub(super) fn events(mut self, run: Box<Run>) -> impl Stream<Item = Result<Bytes, Abort>> {
        stream! {
            let mut run = run;
            let reason = loop {
                match self.step(&mut run).await {
                    Step::Events(bytes) => {
                        self.record_delivery(&mut run);
                        yield Ok(bytes);
                    }
                    Step::End => {
                        self.abandon_guard.done = true;
                        self.finish(*run);
                        return;
                    }
                    Step::TimedOut => break "late",
                    Step::Lost(loss) => match self.resume(run, loss).await {
                        Ok(next) => run = next,
                        Err(denial) => break denial.name(),
                    },
                }
            };
            self.abandon_guard.done = true;
            meter::outcome("cut", self.call.arrived.elapsed());
            let progress = &self.call.progress;
            meter::answer_cut(Closer::Response, progress.work());
            let stopping = self.context.shutdown.elapsed_until(Instant::now());
            note!(
                forwarding::INCOMPLETE,
                id = self.call.request.metadata.id.as_str(),
                reason = reason,
                attempts = self.ran_at.len(),
                last = self.sequence.last(),
                server = progress.server().as_deref(),
                work = progress.work().name(),
                silence_ms = progress.silence().map(|time| time.as_millis() as u64),
                stopping_ms = stopping.map(|time| time.as_millis() as u64),
                ms = self.call.arrived.elapsed().as_millis() as u64
            );
            yield Err(Abort);
        }
    }

    /// Updates the timing when events are sent to the caller.
    fn record_delivery(&mut self, run: &mut Run) {
        let now = Instant::now();
        match self.time_to_first {
            None => {
                let first = now - self.call.arrived;
                meter::first_event(first);
                if let Some(trial) = &mut run.trial {
                    trial.answered();
                }
                self.time_to_first = Some(first);
                if let Some(admission) = &self.admission {
                    admission.record_first_event();
                }
            }
            Some(_) => self.longest_gap = self.longest_gap.max(now - self.last_event),
        }
        self.last_event = now;
        self.declined_beside = 0;
        self.unused.clear();
        self.left = None;
        self.way_back = None;
    }

    /// Records the end of a complete answer.
    fn finish(&self, run: Run) {
        self.call.progress.complete();
        if run.is_certainly_complete() {
            let survived = Observation::Survived;
            self.context.record_life(&self.call, survived);
        }
        note!(
            forwarding::ANSWERED,
            id = self.call.request.metadata.id.as_str(),
            server = run.target.server.as_str(),
            attempts = self.ran_at.len() + 1,
            first_ms = self.time_to_first.map(|first| first.as_millis() as u64),
            gap_ms = self.longest_gap.as_millis() as u64,
            ms = self.call.arrived.elapsed().as_millis() as u64
        );
        let shutdown = &self.context.shutdown;
        shutdown.record_duration(&self.call.route, self.call.arrived.elapsed());
        if let (None, Some(first), Some(events)) = (
            self.call.request.metadata.after,
            self.time_to_first,
            self.sequence.last(),
        ) {
            let time = self.call.arrived.elapsed().saturating_sub(first);
            let answer = Answer { events, time };
            self.context
                .forecast
                .borrow_mut()
                .record(&self.call.route, answer);
        }
        meter::outcome("answered", self.call.arrived.elapsed());
        meter::event_gap(self.longest_gap);
        if let Some(connection) = run.finish() {
            self.context.sender.release(connection);
        }
    }
}
