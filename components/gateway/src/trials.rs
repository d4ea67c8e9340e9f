//! Permits for requests that may crash servers: one at a time runs at a service, over all gateways.
//!
//! The gateway with the lowest id grants the permits. While it doesn't answer the next one does, so
//! that two requests may run at a time for a moment.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc,
    time::Duration, //
};

use contract::poison::{
    evidence::ServiceId,
    trial::{
        Arbiter,
        LEASE,
        Permit, //
    }, //
};
use names::Clock;
use spread::beacon::{
    Incarnation,
    Trial,
    trial::Step, //
};
use tokio::sync::Notify;

use crate::clock;

/// Interval at which a permit that isn't granted yet is asked for again.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a granted permit is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(LEASE.as_millis() as u64 / 4);

/// Silence after which an arbiter is passed over, and for how long.
const ARBITER_SILENCE: Duration = Duration::from_millis(400);
const PASSED_OVER_TIME: Duration = Duration::from_secs(3);

/// Order of a waiting request: the number of its held causes, then its arrival. What has fewer is more
/// likely to live, which clears others.
type Order = (usize, u64);

/// Permits of this gateway's requests, and those that it grants.
#[derive(Default)]
pub struct Trials {
    process: Cell<Incarnation>,
    arbiter: RefCell<Arbiter>,
    /// Waiting requests of each service.
    waiting: RefCell<BTreeMap<ServiceId, BTreeSet<Order>>>,
    arrivals: Cell<u64>,
    /// The permit that is asked for or held at each service.
    permits: RefCell<BTreeMap<ServiceId, Asked>>,
    /// Permits that ended, and the arbiters to be told.
    ended: RefCell<Vec<(Incarnation, Trial)>>,
    /// Arbiters that don't answer, and until when they are passed over.
    passed_over: RefCell<BTreeMap<Incarnation, Clock>>,
    numbers: Cell<u32>,
    notify: Rc<Notify>,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    number: u32,
    granted: bool,
    /// Arbiter that was asked last, and since when it hasn't answered.
    arbiter: Option<Incarnation>,
    unanswered_since: Option<Clock>,
    asked_at: Option<Clock>,
}

impl Trials {
    /// Sets the id of this process's run.
    pub fn set_process(&self, process: Incarnation) {
        self.process.set(process);
    }

    /// Returns the handle that is notified when something is to be sent.
    pub fn notify(&self) -> Rc<Notify> {
        self.notify.clone()
    }

    /// Returns whether a permit is asked for or held.
    pub fn are_open(&self) -> bool {
        !self.permits.borrow().is_empty()
    }

    /// Returns whether there may be messages to be sent.
    pub fn has_news(&self) -> bool {
        self.are_open() || !self.ended.borrow().is_empty()
    }

    /// Lets a request wait for its turn at a service.
    pub fn wait(self: &Rc<Self>, service: ServiceId, held_causes: usize) -> Ticket {
        self.arrivals.set(self.arrivals.get() + 1);
        let order = (held_causes, self.arrivals.get());
        let mut waiting = self.waiting.borrow_mut();
        waiting.entry(service).or_default().insert(order);
        Ticket {
            trials: self.clone(),
            service,
            order,
            number: None,
        }
    }

    /// Returns the process that grants permits, of this one and its live peers.
    fn choose_arbiter(&self, peers: impl Iterator<Item = Incarnation>) -> Incarnation {
        let now = clock::now();
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_, until| *until > now);
        let peers = peers.filter(|peer| !passed_over.contains_key(peer));
        peers.chain([self.process.get()]).min().unwrap_or_default()
    }

    /// Returns the messages that are due, each with the peer that it goes to. `peers` are the live ones.
    pub fn due(&self, peers: &[Incarnation]) -> Vec<(Incarnation, Trial)> {
        let now = clock::now();
        let own = self.process.get();
        let mut due = std::mem::take(&mut *self.ended.borrow_mut());
        let mut permits = self.permits.borrow_mut();
        for (service, asked) in permits.iter_mut() {
            let silent_since = asked.unanswered_since.unwrap_or(now);
            if let Some(arbiter) = asked.arbiter
                && arbiter != own
                && now.saturating_sub(silent_since) > ARBITER_SILENCE
            {
                let until = now + PASSED_OVER_TIME;
                self.passed_over.borrow_mut().insert(arbiter, until);
            }
            let arbiter = self.choose_arbiter(peers.iter().copied());
            let is_same = asked.arbiter == Some(arbiter);
            let interval = match asked.granted {
                true => RENEW_INTERVAL,
                false => ASK_INTERVAL,
            };
            let is_due = |at| now.saturating_sub(at) >= interval;
            if is_same && !asked.asked_at.is_none_or(is_due) {
                continue;
            }
            if !is_same {
                asked.unanswered_since = None;
            }
            asked.arbiter = Some(arbiter);
            asked.asked_at = Some(now);
            if arbiter == own {
                asked.unanswered_since = None;
                let permit = Permit {
                    process: own,
                    number: asked.number,
                };
                asked.granted |= self.arbiter.borrow_mut().grant(now, *service, permit);
                continue;
            }
            asked.unanswered_since.get_or_insert(now);
            let ask = Trial {
                process: own,
                service: *service,
                number: asked.number,
                step: Step::Ask,
            };
            due.push((arbiter, ask));
        }
        // The own arbiter needs no message.
        due.retain(|(arbiter, trial)| {
            if *arbiter == own {
                self.release(trial);
            }
            *arbiter != own
        });
        due
    }

    fn release(&self, trial: &Trial) {
        let permit = Permit {
            process: trial.process,
            number: trial.number,
        };
        self.arbiter.borrow_mut().release(trial.service, permit);
    }

    /// Handles a message of a peer; returns the answer.
    pub fn receive(&self, trial: &Trial) -> Option<Trial> {
        let now = clock::now();
        match trial.step {
            Step::Ask => {
                let permit = Permit {
                    process: trial.process,
                    number: trial.number,
                };
                let granted = self.arbiter.borrow_mut().grant(now, trial.service, permit);
                let step = match granted {
                    true => Step::Granted,
                    false => Step::Busy,
                };
                Some(Trial { step, ..*trial })
            }
            Step::Granted | Step::Busy => {
                let mut permits = self.permits.borrow_mut();
                if let Some(asked) = permits.get_mut(&trial.service)
                    && asked.number == trial.number
                {
                    asked.unanswered_since = None;
                    asked.granted |= trial.step == Step::Granted;
                }
                None
            }
            Step::Ended => {
                self.release(trial);
                None
            }
        }
    }
}

/// A request's turn at a service, from its wait to the end of its run.
pub struct Ticket {
    trials: Rc<Trials>,
    service: ServiceId,
    order: Order,
    /// Number of its permit, once it is first among the waiting ones.
    number: Option<u32>,
}

impl Ticket {
    /// Returns whether the request may run, and asks for its permit if it is first.
    pub fn has_come(&mut self) -> bool {
        let trials = &self.trials;
        if let Some(number) = self.number {
            let permits = trials.permits.borrow();
            let asked = permits.get(&self.service);
            return asked.is_some_and(|asked| asked.number == number && asked.granted);
        }
        let is_first = trials
            .waiting
            .borrow()
            .get(&self.service)
            .is_some_and(|waiting| waiting.first() == Some(&self.order));
        let mut permits = trials.permits.borrow_mut();
        if !is_first || permits.contains_key(&self.service) {
            return false;
        }
        let number = trials.numbers.get().wrapping_add(1);
        trials.numbers.set(number);
        self.number = Some(number);
        let asked = Asked {
            number,
            granted: false,
            arbiter: None,
            unanswered_since: None,
            asked_at: None,
        };
        permits.insert(self.service, asked);
        drop(permits);
        self.stop_waiting();
        self.trials.notify.notify_one();
        false
    }

    fn stop_waiting(&self) {
        let mut all = self.trials.waiting.borrow_mut();
        if let Some(waiting) = all.get_mut(&self.service) {
            waiting.remove(&self.order);
            if waiting.is_empty() {
                all.remove(&self.service);
            }
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.stop_waiting();
        let Some(number) = self.number else {
            return;
        };
        let asked = self.trials.permits.borrow_mut().remove(&self.service);
        if let Some(arbiter) = asked.and_then(|asked| asked.arbiter) {
            let ended = Trial {
                process: self.trials.process.get(),
                service: self.service,
                number,
                step: Step::Ended,
            };
            self.trials.ended.borrow_mut().push((arbiter, ended));
            self.trials.notify.notify_one();
        }
    }
}
