//! Slots of the weight store, held by lease: a distributed semaphore.
//!
//! The weight store is rate-limited, so at most N servers load weights at the same time. Each
//! holds one of N keys, which is created only when absent and bound to a lease. A holder that was
//! paused beyond its lease would load in parallel with the next holder, and the weight store would
//! refuse both. Each chunk is therefore fetched only while the lease is certainly valid by the
//! holder's own clock, counted from the moment before the last successful renewal was sent.

use std::time::Duration;

use names::Clock;

/// Limits and timing of slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Number of slots of the weight store.
    pub slots: u32,
    /// Time to live of the lease.
    pub ttl: Duration,
    /// Delay before all slots are tried again.
    pub retry_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 4,
            ttl: Duration::from_secs(10),
            retry_interval: Duration::from_secs(2),
        }
    }
}

/// Input to the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A load was requested. Acquisition starts at slot `first`, so that servers don't all contend
    /// for the same slot.
    Requested {
        /// Number of the first slot to try.
        first: u32,
    },
    /// Result of [`Action::Acquire`]: this server holds the slot.
    Acquired,
    /// Result of [`Action::Acquire`]: another server holds the slot.
    Occupied,
    /// The store refused the last call or didn't answer it.
    Failed,
    /// Result of [`Action::Renew`]: the lease was renewed.
    Renewed,
    /// Result of [`Action::Renew`]: the lease has expired.
    Expired,
    /// Time passed. The driver sends this at least once per third of the lease's time to live.
    Tick,
    /// The load finished.
    Finished,
}

/// Output of the state machine, to be carried out by the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Acquire a new lease and create the slot's key with it, only when absent. After a failure the
    /// lease is revoked, so that a late write can't occupy the slot.
    Acquire {
        /// Number of the slot to acquire.
        slot: u32,
    },
    /// Renew the lease.
    Renew,
    /// Start to load the slot's data.
    Load,
    /// Stop loading at once and discard the loaded data; then start over with
    /// [`Event::Requested`].
    Abort,
    /// Revoke the lease.
    Release,
    /// Deliver [`Event::Tick`] after this time.
    Wait(Duration),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Acquiring {
        first: u32,
        tried: u32,
        sent_at: Clock,
    },
    Waiting {
        first: u32,
        until: Clock,
    },
    Held {
        until: Clock,
        /// Time at which a renewal was sent that has no result yet.
        renewal: Option<Clock>,
    },
}

/// State machine of one load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    settings: Settings,
    stage: Stage,
}

impl Slot {
    /// Creates an idle state machine.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            stage: Stage::Idle,
        }
    }

    /// Returns whether the next chunk may be fetched. Callers check this right before each fetch.
    pub fn holds(&self, now: Clock) -> bool {
        matches!(self.stage, Stage::Held { until, .. } if now < until)
    }

    /// Handles an event. Events that don't apply to the current stage are ignored.
    pub fn handle(&mut self, event: Event, now: Clock) -> Vec<Action> {
        // Any event may be the first one after a pause, so the lease is checked before all of them.
        if let Stage::Held { until, .. } = self.stage
            && now >= until
        {
            return self.abort();
        }
        match (self.stage, event) {
            (Stage::Idle, Event::Requested { first }) => self.acquire(first, 0, now),
            (Stage::Acquiring { sent_at, .. }, Event::Acquired) => self.acquired(sent_at, now),
            (Stage::Acquiring { first, tried, .. }, Event::Occupied) => {
                if tried + 1 < self.settings.slots {
                    return self.acquire(first, tried + 1, now);
                }
                self.wait(first, now)
            }
            (Stage::Acquiring { first, .. }, Event::Failed) => self.wait(first, now),
            (Stage::Waiting { first, until }, Event::Tick) if now >= until => {
                self.acquire(first, 0, now)
            }
            (Stage::Held { until, renewal }, Event::Tick) => self.renew(until, renewal, now),
            (
                Stage::Held {
                    renewal: Some(sent_at),
                    ..
                },
                Event::Renewed,
            ) => {
                self.stage = Stage::Held {
                    until: sent_at + self.settings.ttl,
                    renewal: None,
                };
                Vec::new()
            }
            (Stage::Held { until, .. }, Event::Failed) => {
                self.stage = Stage::Held {
                    until,
                    renewal: None,
                };
                Vec::new()
            }
            (Stage::Held { .. }, Event::Expired) => self.abort(),
            (Stage::Held { .. }, Event::Finished) => {
                self.stage = Stage::Idle;
                vec![Action::Release]
            }
            _ => Vec::new(),
        }
    }

    fn acquire(&mut self, first: u32, tried: u32, now: Clock) -> Vec<Action> {
        self.stage = Stage::Acquiring {
            first,
            tried,
            sent_at: now,
        };
        let slot = (first + tried) % self.settings.slots.max(1);
        vec![Action::Acquire { slot }]
    }

    /// Starts the load. The lease may have started as early as when the request was sent, so its
    /// end is counted from then.
    fn acquired(&mut self, sent_at: Clock, now: Clock) -> Vec<Action> {
        let until = sent_at + self.settings.ttl;
        if now >= until {
            self.stage = Stage::Idle;
            return vec![Action::Release, Action::Abort];
        }
        self.stage = Stage::Held {
            until,
            renewal: None,
        };
        vec![Action::Load, Action::Wait(self.settings.ttl / 3)]
    }

    fn wait(&mut self, first: u32, now: Clock) -> Vec<Action> {
        self.stage = Stage::Waiting {
            first,
            until: now + self.settings.retry_interval,
        };
        vec![Action::Release, Action::Wait(self.settings.retry_interval)]
    }

    fn renew(&mut self, until: Clock, renewal: Option<Clock>, now: Clock) -> Vec<Action> {
        let next_tick = Action::Wait(self.settings.ttl / 3);
        if renewal.is_some() {
            return vec![next_tick];
        }
        self.stage = Stage::Held {
            until,
            renewal: Some(now),
        };
        vec![Action::Renew, next_tick]
    }

    fn abort(&mut self) -> Vec<Action> {
        self.stage = Stage::Idle;
        vec![Action::Abort, Action::Release]
    }
}
