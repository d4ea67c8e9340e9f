//! Generation runs and their token streams.

use std::{
    collections::VecDeque,
    io,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures_util::StreamExt;
use rand::RngExt;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use tokio_util::sync::CancellationToken;

use super::{
    Core,
    order::Status,
    text, //
};
use crate::server::{
    Connection,
    Response,
    lock, //
};

/// Request body of `POST /generate`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Body {
    id: String,
    model: String,
    version: String,
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    seed: u64,
    #[serde(default)]
    temperature: f64,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    continue_from: Vec<String>,
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The run is in progress.
    Running,
    /// The run ended with an end line.
    Ended,
    /// Cancelled by a request or because its connection closed.
    Cancelled,
    /// Aborted by a fault.
    Broken,
}

/// A run as reported by `GET /runs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Request `id`.
    pub id: String,
    /// Index of the run's first token.
    pub from: u64,
    /// Number of tokens sent.
    pub sent: u64,
    /// State of the run.
    pub state: State,
}

/// Line of the stream that carries a token.
#[derive(Serialize)]
struct Token {
    index: u64,
    token: String,
}

/// Last line of the stream.
#[derive(Serialize)]
struct End {
    end: &'static str,
    prompt_tokens: u64,
    cached_tokens: u64,
    completion_tokens: u64,
}

/// Slot of a run in progress, freed on drop.
struct Slot {
    core: Arc<Core>,
    /// Index of the run in [`Inner::runs`](super::Inner::runs).
    index: usize,
    id: String,
    state: State,
}

impl Slot {
    /// Ends the run and frees its slot. Has no effect on a run that has ended.
    fn finish(&mut self, outcome: State) {
        if self.state != State::Running {
            return;
        }
        self.state = outcome;
        let mut state = lock(&self.core.state);
        if let Some(run) = state.runs.get_mut(self.index) {
            run.state = outcome;
        }
        state.running.remove(&self.index);
        state.cancels.remove(&self.id);
        state.record_load();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let dead = self.core.process.dead().is_cancelled();
        self.finish(if dead {
            State::Broken
        } else {
            State::Cancelled
        });
    }
}

/// Parameters of a run's token stream.
struct Plan {
    body: Body,
    connection: Connection,
    cancel: CancellationToken,
    /// Hash from which the tokens are derived.
    answer_hash: u64,
    /// Length of the whole answer in tokens.
    length: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    /// Index of the token before which the connection is broken.
    break_at: Option<u64>,
}

/// Starts a run and returns its token stream, or an error response if the run is refused.
pub(super) fn start(core: &Arc<Core>, body: Body, connection: Connection) -> Response {
    if let Err(response) = check(core, &body) {
        return response;
    }
    let (slot, plan) = match admit(core, body, connection) {
        Ok(admitted) => admitted,
        Err(response) => return response,
    };
    Response::Lines(lines(slot, plan).boxed())
}

fn check(core: &Core, body: &Body) -> Result<(), Response> {
    if body.max_tokens == 0 {
        return Err(Response::bad_request("max_tokens must be at least 1"));
    }
    if !body.temperature.is_finite() || body.temperature < 0.0 {
        return Err(Response::bad_request("temperature must be 0 or more"));
    }
    let state = lock(&core.state);
    if body.model != core.settings.model {
        return Err(Response::error(409, "model not loaded"));
    }
    match state.orders.status(&body.version, Instant::now()) {
        Status::Loaded => {}
        Status::Loading => return Err(Response::error(503, "version is loading")),
        Status::Absent => return Err(Response::error(409, "version not loaded")),
    }
    if state.faults.active.no_continue && !body.continue_from.is_empty() {
        return Err(Response::bad_request("continue_from isn't known here"));
    }
    Ok(())
}

fn admit(
    core: &Arc<Core>,
    mut body: Body,
    connection: Connection,
) -> Result<(Slot, Plan), Response> {
    let mut state = lock(&core.state);
    if state.running.len() >= core.max_runs() {
        return Err(Response::too_many_requests(1));
    }
    let index = state.runs.len();
    let from = body.continue_from.len() as u64;
    let (fail_share, break_share) = (
        state.faults.active.fail_share,
        state.faults.active.break_share,
    );
    let failed = fail_share.is_some_and(|share| state.rng.random_bool(share.clamp(0.0, 1.0)));
    state.runs.push(Run {
        id: body.id.clone(),
        from,
        sent: 0,
        state: if failed {
            State::Broken
        } else {
            State::Running
        },
    });
    if failed {
        return Err(Response::error(500, "the run failed"));
    }
    let length = text::answer_length(&body.prompt, body.seed, body.max_tokens);
    let breaks = break_share.is_some_and(|share| state.rng.random_bool(share.clamp(0.0, 1.0)));
    let break_at = breaks.then(|| from + length.saturating_sub(from) / 2);
    let cancel = CancellationToken::new();
    state.running.insert(index, body.priority);
    let cancels = state.cancels.entry(body.id.clone()).or_default();
    cancels.push(cancel.clone());
    state.record_load();
    let cached_tokens = state.cache.insert(&body.prompt);
    // Only the number of continued tokens is needed from here on; frees their text.
    for token in &mut body.continue_from {
        token.clear();
    }
    let plan = Plan {
        answer_hash: text::answer_hash(&body.prompt, body.seed, &body.version),
        length,
        prompt_tokens: text::prompt_tokens(&body.prompt),
        cached_tokens,
        break_at,
        connection,
        cancel,
        body,
    };
    let slot = Slot {
        core: Arc::clone(core),
        index,
        id: plan.body.id.clone(),
        state: State::Running,
    };
    Ok((slot, plan))
}

/// Streams the lines of a run as they become due.
fn lines(mut slot: Slot, plan: Plan) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    async_stream::stream! {
        let from = plan.body.continue_from.len() as u64;
        let mut sent = 0;
        let mut index = from;
        while index < plan.length {
            let delay = slot.token_delay(&plan, index == from);
            if slot.wait(&plan, delay).await.is_none() {
                slot.finish(State::Cancelled);
                return;
            }
            if plan.break_at == Some(index) {
                slot.finish(State::Broken);
                yield Err(io::Error::other("aborted by a fault"));
                return;
            }
            slot.apply_faults(&plan, sent);
            // A fault applied just now may have paused or ended the process.
            if slot.wait(&plan, Duration::ZERO).await.is_none() {
                slot.finish(State::Cancelled);
                return;
            }
            for line in slot.token_lines(&plan, index) {
                slot.count_sent();
                yield Ok(line);
            }
            sent += 1;
            index += 1;
        }
        if slot.wait(&plan, Duration::ZERO).await.is_none() {
            slot.finish(State::Cancelled);
            return;
        }
        slot.finish(State::Ended);
        yield Ok(end(&plan, sent));
    }
}

impl Slot {
    /// Returns the time until the next token by the cost model.
    fn token_delay(&self, plan: &Plan, first: bool) -> Duration {
        let settings = &self.core.settings;
        let state = lock(&self.core.state);
        let mut competing = 0;
        for priority in state.running.values() {
            if *priority >= plan.body.priority {
                competing += 1;
            }
        }
        let slowdown = (f64::from(competing) / f64::from(settings.capacity.max(1))).max(1.0);
        let slow = state.faults.active.slow.unwrap_or_default();
        if !first {
            return settings.token_interval.mul_f64(slowdown)
                + Duration::from_millis(slow.between_ms);
        }
        let continued = plan.body.continue_from.len() as u64;
        let prefill = plan.prompt_tokens.saturating_sub(plan.cached_tokens) + continued;
        let kilotokens = (prefill as f64 / 1000.0).max(1.0);
        settings.first_token.mul_f64(kilotokens * slowdown) + Duration::from_millis(slow.first_ms)
    }

    /// Waits for `delay` and then until the process can send. Returns `None` if the run is
    /// cancelled meanwhile.
    async fn wait(&self, plan: &Plan, delay: Duration) -> Option<()> {
        let process = &self.core.process;
        let wait = async {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            process.wait_responsive(plan.connection).await;
        };
        // The sender on a silent connection can't see that the peer closed it; only a cancel
        // request ends the run.
        plan.cancel.run_until_cancelled(wait).await
    }

    /// Applies the faults that are due before the next token.
    fn apply_faults(&self, plan: &Plan, sent: u64) {
        let due = lock(&self.core.state).faults.count_token();
        for fault in due {
            self.core.inject_fault(&fault);
        }
        let crash_text = lock(&self.core.state).faults.active.crash_on.clone();
        let Some(crash_text) = crash_text else {
            return;
        };
        let last = plan.length - plan.body.continue_from.len() as u64 - 1;
        if sent == last.min(2) && plan.body.prompt.contains(&crash_text) {
            self.core.process.die();
        }
    }

    /// Returns the lines for the token at `index`: one, or none or two by fault.
    fn token_lines(&self, plan: &Plan, index: u64) -> VecDeque<Bytes> {
        let faults = lock(&self.core.state).faults.active.clone();
        let mut token = text::token_at(plan.answer_hash, index);
        if faults.vary {
            token = format!("{token}-{}", plan.body.id);
        }
        let line = line(&Token { index, token });
        let mut lines = VecDeque::new();
        if faults.skip_at == Some(index) {
            return lines;
        }
        lines.push_back(line.clone());
        if faults.repeat_at == Some(index) {
            lines.push_back(line);
        }
        lines
    }

    fn count_sent(&self) {
        if let Some(run) = lock(&self.core.state).runs.get_mut(self.index) {
            run.sent += 1;
        }
    }
}

fn end(plan: &Plan, sent: u64) -> Bytes {
    let reached_limit = plan.length == plan.body.max_tokens;
    line(&End {
        end: if reached_limit { "length" } else { "stop" },
        prompt_tokens: plan.prompt_tokens,
        cached_tokens: plan.cached_tokens,
        completion_tokens: sent,
    })
}

fn line(value: &impl Serialize) -> Bytes {
    let mut line = serde_json::to_vec(value).expect("stream lines serialize to JSON");
    line.push(b'\n');
    Bytes::from(line)
}
