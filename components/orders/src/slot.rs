//! Slots of the weight store, held by lease.
//!
//! The weight store is limited in its rate, so at most N servers load at a time: each holds one of
//! N keys, created only when absent and bound to a lease. A holder that was paused past its lease
//! would load beside the next one; one would notice a weight store that refuses everybody. So each
//! chunk is fetched only while the lease is surely held by the holder's own clock, counted from
//! before the last successful renewal was sent.

use std::time::Duration;

use names::Clock;

/// Bounds of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Number of slots.
    pub slots: u32,
    /// Time to live of the lease.
    pub ttl: Duration,
    /// Wait before all slots are tried again.
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

/// What happens to a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A load is wanted; trying begins at slot `first`, so that not all begin at the same one.
    Requested {
        /// Number of the slot.
        first: u32,
    },
    /// Answer to [`Action::Acquire`]: the slot is ours.
    Acquired,
    /// Answer to [`Action::Acquire`]: somebody else holds it.
    Occupied,
    /// The store refused or didn't answer.
    Failed,
    /// Answer to [`Action::Renew`]: done.
    Renewed,
    /// Answer to [`Action::Renew`]: the lease has lapsed.
    Lapsed,
    /// Time went by; the driver sends this at least each third of the lease's time.
    Tick,
    /// The load is over.
    Finished,
}

/// What the holder has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Get a fresh lease and create the slot's key with it, only when absent. After a failure the
    /// lease is dropped, so that a late write can't hold the slot.
    Acquire {
        /// Number of the slot.
        slot: u32,
    },
    /// Renew the lease.
    Renew,
    /// Begin to load.
    Load,
    /// Stop loading at once and throw away what came; then start over with [`Event::Requested`].
    Abort,
    /// Drop the lease.
    Release,
    /// Come back with [`Event::Tick`] after this time.
    Wait(Duration),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Acquiring {
        first: u32,
        tried: u32,
        sent: Clock,
    },
    Waiting {
        first: u32,
        until: Clock,
    },
    Held {
        until: Clock,
        renewal: Option<Clock>,
    },
}

/// State of one load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    settings: Settings,
    stage: Stage,
}

impl Slot {
    /// Makes a holder that wants nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            stage: Stage::Idle,
        }
    }

    /// Tells whether the next chunk may be fetched. To be asked right before each fetch.
    pub fn holds(&self, now: Clock) -> bool {
        matches!(self.stage, Stage::Held { until, .. } if now < until)
    }

    /// Takes an event; events that don't fit the stage are ignored.
    pub fn handle(&mut self, event: Event, now: Clock) -> Vec<Action> {
        // After a pause any event may be the first one; the lease goes before all of them.
        if let Stage::Held { until, .. } = self.stage
            && now >= until
        {
            return self.abort();
        }
        match (self.stage, event) {
            (Stage::Idle, Event::Requested { first }) => self.take(first, 0, now),
            (Stage::Acquiring { sent, .. }, Event::Acquired) => self.taken(sent, now),
            (Stage::Acquiring { first, tried, .. }, Event::Occupied) => {
                if tried + 1 < self.settings.slots {
                    return self.take(first, tried + 1, now);
                }
                self.wait(first, now)
            }
            (Stage::Acquiring { first, .. }, Event::Failed) => self.wait(first, now),
            (Stage::Waiting { first, until }, Event::Tick) if now >= until => {
                self.take(first, 0, now)
            }
            (Stage::Held { until, renewal }, Event::Tick) => self.renew(until, renewal, now),
            (
                Stage::Held {
                    renewal: Some(sent),
                    ..
                },
                Event::Renewed,
            ) => {
                self.stage = Stage::Held {
                    until: sent + self.settings.ttl,
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
            (Stage::Held { .. }, Event::Lapsed) => self.abort(),
            (Stage::Held { .. }, Event::Finished) => {
                self.stage = Stage::Idle;
                vec![Action::Release]
            }
            _ => Vec::new(),
        }
    }

    fn take(&mut self, first: u32, tried: u32, now: Clock) -> Vec<Action> {
        self.stage = Stage::Acquiring {
            first,
            tried,
            sent: now,
        };
        let slot = (first + tried) % self.settings.slots.max(1);
        vec![Action::Acquire { slot }]
    }

    /// The lease began at the latest when the store answered, at the earliest when we asked.
    fn taken(&mut self, sent: Clock, now: Clock) -> Vec<Action> {
        let until = sent + self.settings.ttl;
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
        let again = Action::Wait(self.settings.ttl / 3);
        if renewal.is_some() {
            return vec![again];
        }
        self.stage = Stage::Held {
            until,
            renewal: Some(now),
        };
        vec![Action::Renew, again]
    }

    fn abort(&mut self) -> Vec<Action> {
        self.stage = Stage::Idle;
        vec![Action::Abort, Action::Release]
    }
}
