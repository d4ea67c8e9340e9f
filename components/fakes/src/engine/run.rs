//! Runs: one request's way through the engine.

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
    order::Loaded,
    text, //
};
use crate::server::{
    Connection,
    Response,
    lock, //
};

/// Body of `POST /generate`.
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

/// How a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In progress.
    Running,
    /// Ended with an end line.
    Ended,
    /// Cancelled, by a call or because its connection closed.
    Cancelled,
    /// Broken off by a fault.
    Broken,
}

/// A run as `GET /runs` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request's `id`.
    pub id: String,
    /// Index that the run began at.
    pub from: u64,
    /// Tokens that it sent.
    pub sent: u64,
    /// How it stands.
    pub state: State,
}

#[derive(Serialize)]
struct Token {
    index: u64,
    token: String,
}

#[derive(Serialize)]
struct End {
    end: &'static str,
    prompt_tokens: u64,
    cached_tokens: u64,
    completion_tokens: u64,
}

/// A run in progress. Dropping it frees its slot.
struct Slot {
    core: Arc<Core>,
    number: usize,
    id: String,
    state: State,
}

impl Slot {
    /// Ends the run and frees its place; only the first end counts.
    fn finish(&mut self, end: State) {
        if self.state != State::Running {
            return;
        }
        self.state = end;
        let mut state = lock(&self.core.state);
        if let Some(run) = state.runs.get_mut(self.number) {
            run.state = end;
        }
        state.running.remove(&self.number);
        state.cancels.remove(&self.id);
        state.note_load();
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

/// What a run's stream needs.
struct Plan {
    body: Body,
    connection: Connection,
    cancel: CancellationToken,
    /// Number of the answer's text.
    answer: u64,
    length: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    /// Index before which the connection breaks.
    break_at: Option<u64>,
}

/// Starts a run, or refuses it.
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
    match state.orders.loaded(&body.version, Instant::now()) {
        Loaded::Yes => {}
        Loaded::Loading => return Err(Response::error(503, "version is loading")),
        Loaded::No => return Err(Response::error(409, "version not loaded")),
    }
    if state.faults.now.no_continue && !body.continue_from.is_empty() {
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
    let number = state.runs.len();
    let from = body.continue_from.len() as u64;
    let (fail, broken) = (state.faults.now.fail_share, state.faults.now.break_share);
    let failed = fail.is_some_and(|share| state.rng.random_bool(share.clamp(0.0, 1.0)));
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
    let breaks = broken.is_some_and(|share| state.rng.random_bool(share.clamp(0.0, 1.0)));
    let break_at = breaks.then(|| from + length.saturating_sub(from) / 2);
    let cancel = CancellationToken::new();
    state.running.insert(number, body.priority);
    let cancels = state.cancels.entry(body.id.clone()).or_default();
    cancels.push(cancel.clone());
    state.note_load();
    let cached_tokens = state.cache.read(&body.prompt);
    // The tokens' text is not needed any more, only their number.
    for token in &mut body.continue_from {
        token.clear();
    }
    let plan = Plan {
        answer: text::answer(&body.prompt, body.seed, &body.version),
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
        number,
        id: plan.body.id.clone(),
        state: State::Running,
    };
    Ok((slot, plan))
}

/// The lines of a run, as they are due.
fn lines(mut slot: Slot, plan: Plan) -> impl futures_util::Stream<Item = io::Result<Bytes>> {
    async_stream::stream! {
        let from = plan.body.continue_from.len() as u64;
        let mut sent = 0;
        let mut index = from;
        while index < plan.length {
            let time = slot.time(&plan, index == from);
            if slot.wait(&plan, time).await.is_none() {
                slot.finish(State::Cancelled);
                return;
            }
            if plan.break_at == Some(index) {
                slot.finish(State::Broken);
                yield Err(io::Error::other("broken off by a fault"));
                return;
            }
            slot.apply_faults(&plan, sent);
            // A fault that is due now may have paused or ended the process.
            if slot.wait(&plan, Duration::ZERO).await.is_none() {
                slot.finish(State::Cancelled);
                return;
            }
            for line in slot.due(&plan, index) {
                slot.count();
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
    /// Time until the next token, by the cost model.
    fn time(&self, plan: &Plan, first: bool) -> Duration {
        let settings = &self.core.settings;
        let state = lock(&self.core.state);
        let mut ahead = 0;
        for priority in state.running.values() {
            if *priority >= plan.body.priority {
                ahead += 1;
            }
        }
        let load = (f64::from(ahead) / f64::from(settings.capacity.max(1))).max(1.0);
        let slow = state.faults.now.slow.unwrap_or_default();
        if !first {
            return settings.token_interval.mul_f64(load) + Duration::from_millis(slow.between_ms);
        }
        let continued = plan.body.continue_from.len() as u64;
        let unread = plan.prompt_tokens.saturating_sub(plan.cached_tokens) + continued;
        let size = (unread as f64 / 1000.0).max(1.0);
        settings.first_token.mul_f64(size * load) + Duration::from_millis(slow.first_ms)
    }

    /// Waits for the time and while the process is paused; `None` when the run was cancelled.
    async fn wait(&self, plan: &Plan, time: Duration) -> Option<()> {
        let process = &self.core.process;
        let wait = async {
            if !time.is_zero() {
                sleep(time).await;
            }
            process.wait_responsive(plan.connection).await;
        };
        // The sender of a silent connection doesn't learn that it was closed at the other end,
        // nor can it be told; a cancel still ends the run.
        plan.cancel.run_until_cancelled(wait).await
    }

    /// Applies the faults that are due before this token.
    fn apply_faults(&self, plan: &Plan, sent: u64) {
        let due = lock(&self.core.state).faults.count();
        for fault in due {
            self.core.fault(&fault);
        }
        let crash = lock(&self.core.state).faults.now.crash_on.clone();
        let Some(crash) = crash else {
            return;
        };
        let last = plan.length - plan.body.continue_from.len() as u64 - 1;
        if sent == last.min(2) && plan.body.prompt.contains(&crash) {
            self.core.process.die();
        }
    }

    /// The lines for one index: one, or by fault none or two.
    fn due(&self, plan: &Plan, index: u64) -> VecDeque<Bytes> {
        let faults = lock(&self.core.state).faults.now.clone();
        let mut token = text::token_of(plan.answer, index);
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

    fn count(&self) {
        if let Some(run) = lock(&self.core.state).runs.get_mut(self.number) {
            run.sent += 1;
        }
    }
}

fn end(plan: &Plan, sent: u64) -> Bytes {
    let whole = plan.length == plan.body.max_tokens;
    line(&End {
        end: if whole { "length" } else { "stop" },
        prompt_tokens: plan.prompt_tokens,
        cached_tokens: plan.cached_tokens,
        completion_tokens: sent,
    })
}

fn line(value: &impl Serialize) -> Bytes {
    let mut line = serde_json::to_vec(value).expect("plain data turns into JSON");
    line.push(b'\n');
    Bytes::from(line)
}
