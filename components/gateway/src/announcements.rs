//! Facts that are sent to all peers at once, and again for a while as datagrams may be lost.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    rc::Rc,
    time::Duration, //
};

use names::Clock;
use tokio::sync::Notify;

/// Time for which a fact is sent again.
const REPEAT_TIME: Duration = Duration::from_secs(3);

/// Interval between two sends of the same fact.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of facts that are sent again.
const MAX_RECENT: usize = 128;

/// Recent facts of this gateway.
pub struct Announcements<T> {
    /// Facts with their times, oldest first.
    recent: RefCell<VecDeque<(Clock, T)>>,
    /// Number of the last facts that have not been sent yet.
    unsent: Cell<usize>,
    last_sent: Cell<Clock>,
    notify: Rc<Notify>,
}

impl<T> Default for Announcements<T> {
    fn default() -> Announcements<T> {
        Announcements {
            recent: RefCell::default(),
            unsent: Cell::default(),
            last_sent: Cell::default(),
            notify: Rc::default(),
        }
    }
}

impl<T: Clone> Announcements<T> {
    /// Adds a fact, which is sent at once.
    pub fn push(&self, now: Clock, fact: T) {
        let mut recent = self.recent.borrow_mut();
        recent.push_back((now, fact));
        if recent.len() > MAX_RECENT {
            recent.pop_front();
        }
        self.unsent.set((self.unsent.get() + 1).min(recent.len()));
        self.notify.notify_one();
    }

    /// Returns the handle that is notified when there is a new fact.
    pub fn notify(&self) -> Rc<Notify> {
        self.notify.clone()
    }

    /// Returns the facts that are due to be sent, with their times: all recent ones once per
    /// interval, and in between those that have not been sent if `is_new`.
    pub fn due(&self, now: Clock, is_new: bool) -> Vec<(Clock, T)> {
        let mut recent = self.recent.borrow_mut();
        recent.retain(|(at, _)| now.saturating_sub(*at) <= REPEAT_TIME);
        let unsent = self.unsent.get().min(recent.len());
        if now.saturating_sub(self.last_sent.get()) >= REPEAT_INTERVAL {
            self.last_sent.set(now);
            self.unsent.set(0);
            return recent.iter().cloned().collect();
        }
        if !is_new {
            return Vec::new();
        }
        self.unsent.set(0);
        recent.range(recent.len() - unsent..).cloned().collect()
    }
}
