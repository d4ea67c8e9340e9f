//! What one request shows of the version that a move picked for it.

use std::{
    sync::Arc,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use answer::finish::Breakage;
use moves::{
    evidence::{
        Cause,
        Death, //
    },
    step::{
        Ending,
        Event, //
    },
};
use names::Server;
use tokio::time::Instant;
use wire::frame::Reason;

use crate::{
    moves::{
        movers::Picked,
        on, //
    },
    state::State, //
};

/// Time within which broken generations of one server are taken for one death.
///
/// A death breaks all that ran on the server. Counted one by one, a single death would look like
/// many.
const ONE_DEATH: Duration = Duration::from_secs(10);

/// Tokens after which the mean time between them is told.
const TOKENS: usize = 50;

/// What one request shows of its version.
pub(crate) struct Witness {
    picked: Option<Picked>,
    first: Option<Instant>,
    told: bool,
}

impl Witness {
    pub(crate) fn new(picked: Option<Picked>) -> Self {
        Self {
            picked,
            first: None,
            told: false,
        }
    }

    /// Tokens came; `count` is their number so far.
    pub(crate) fn tokens(&mut self, state: &Arc<State>, begun: Instant, count: usize) {
        let Some(picked) = &self.picked else {
            return;
        };
        let now = Instant::now();
        let Some(first) = self.first else {
            self.first = Some(now);
            let pick = picked.pick.clone();
            let event = Event::First {
                pick,
                time: now - begun,
                late: late(state, begun),
            };
            on(state, &picked.name, event);
            return;
        };
        if !self.told && count >= TOKENS {
            self.told = true;
            between(state, picked, first, count);
        }
    }

    /// A generation of the request broke at its server.
    pub(crate) fn broken(&mut self, state: &Arc<State>, server: &Server, why: Breakage) {
        let Some(picked) = &self.picked else {
            return;
        };
        match why {
            Breakage::EngineStalled | Breakage::Repeat | Breakage::Hole => {
                self.ended(state, Ending::Failed, 0);
            }
            Breakage::EngineDied => {
                let wall = SystemTime::now();
                let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
                let death = Death {
                    server: server.clone(),
                    incarnation: since.as_secs() / ONE_DEATH.as_secs(),
                    side: picked.pick.side,
                    slot: picked.pick.slot,
                    level: picked.pick.level,
                    cause: Cause::Unexplained,
                };
                on(state, &picked.name, Event::Died(death));
            }
            Breakage::LogFull | Breakage::Cancelled => {}
        }
    }

    /// A sidecar refused the request.
    pub(crate) fn refused(&mut self, state: &Arc<State>, why: Reason) {
        // A server that answers errors, lacks its version or can't do what the old one can is the
        // version's fault; a full or leaving one isn't.
        let faults = [
            Reason::Down,
            Reason::Version,
            Reason::Invalid,
            Reason::Continuation,
        ];
        if faults.contains(&why) {
            self.ended(state, Ending::Failed, 0);
        }
    }

    /// The request ended, or its generation broke by the version's fault. Later ends of the same
    /// request say nothing more.
    pub(crate) fn ended(&mut self, state: &Arc<State>, ending: Ending, count: usize) {
        let Some(picked) = self.picked.take() else {
            return;
        };
        if let Some(first) = self.first
            && !self.told
            && count > 1
        {
            between(state, &picked, first, count);
        }
        let pick = picked.pick;
        on(state, &picked.name, Event::Finished { pick, ending });
    }
}

fn between(state: &Arc<State>, picked: &Picked, first: Instant, count: usize) {
    let gaps = u32::try_from(count - 1).unwrap_or(u32::MAX);
    let event = Event::Between {
        pick: picked.pick.clone(),
        time: first.elapsed() / gaps.max(1),
        late: late(state, first),
    };
    on(state, &picked.name, event);
}

/// Part of the time since `begun` by which this entry itself ran late.
fn late(state: &State, begun: Instant) -> f64 {
    let now = state.now();
    state
        .lateness
        .fraction(now.saturating_sub(begun.elapsed()), now)
}
