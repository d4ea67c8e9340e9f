//! How a process knows that what it knows is current, at a small number of calls to the store.
//!
//! A document says which keys hold, and a key that was taken away must stop working within a bound,
//! also at a process that is cut off from the store. So knowledge is used only for a time after it
//! was last known to be complete. Asking the store for that at each process is dear in a large
//! fleet. Here one process asks, by turns that need no agreement, and its [`Claim`] travels to the
//! others with its age. Changes travel the same way: one process of each data centre listens to the
//! store, and the others read it themselves only when they find that they missed something.

use std::time::Duration;

use names::{
    Clock,
    Revision, //
};

/// Age of the newest claim at which the first process asks the store.
const QUESTION_INTERVAL: Duration = Duration::from_millis(1000);

/// Further age for each process that is before this one in the order: if it asks in time, its claim
/// is here before.
const TURN_DELAY: Duration = Duration::from_millis(200);

/// Processes that wait for their turn one behind the other; those behind them share the last turn.
const MAX_TURNS: u32 = 6;

/// Time before the next try after one that failed; it doubles with each up to [`MAX_BACKOFF`], as a
/// call that is refused is paid for too.
const BACKOFF: Duration = Duration::from_millis(200);

/// Longest time between two tries. Processes try by turns, so that the store's return is noticed
/// sooner than this.
const MAX_BACKOFF: Duration = Duration::from_millis(1200);

/// Time before the next try for each process of the fleet, when the store answers none of them: all
/// together try so often, whatever their number, and the first that gets an answer tells the others.
const FLEET_BACKOFF: Duration = Duration::from_millis(100);

/// Time over which the processes of the last turn are spread.
const LAST_TURN: Duration = Duration::from_millis(700);

/// Time for which changes that are missing may still be on their way from a peer: from the one that
/// found them out, at a process that listens to the store, and at one that listens to that.
const FETCH_DELAYS: (Duration, Duration) = (Duration::from_millis(75), Duration::from_millis(150));

/// Age of the newest claim at which a process that listens to others listens to the store itself.
const TAKEOVER_AGE: Duration = Duration::from_millis(2200);

/// The store's revision was `revision` at `at` or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The revision.
    pub revision: Revision,
    /// The time, by this process's clock.
    pub at: Clock,
}

/// What is known, and how current it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Freshness {
    /// All changes up to this revision are known.
    revision: Option<Revision>,
    /// What is known was complete at this time.
    confirmed: Option<Clock>,
    /// The newest claim about changes that aren't known yet.
    ahead: Option<Claim>,
    /// When it was found that changes are missing.
    behind: Option<Clock>,
    /// It was this process that found it out.
    found: bool,
    /// Newest claim of all, for turns.
    newest: Option<Clock>,
    /// When this process may ask again after it got no answer, and how often that was in a row.
    again: Clock,
    failures: u32,
    /// The last call got no answer while the store answered others.
    turned_away: bool,
    /// Place among all processes, and among those of the data centre.
    place: u32,
    place_near: u32,
    /// Number of processes.
    count: u32,
}

impl Freshness {
    /// All changes up to a revision are known; `None` before the first reading.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// When what is known was last known to be complete.
    pub fn confirmed_at(&self) -> Option<Clock> {
        self.confirmed
    }

    /// The claim that this process can make.
    pub fn claim(&self) -> Option<Claim> {
        Some(Claim {
            revision: self.revision?,
            at: self.confirmed?,
        })
    }

    /// Notes this process's place among all, their number, and its place in its data centre.
    pub fn set_rank(&mut self, (place, count): (usize, usize), near: usize) {
        self.place = u32::try_from(place).unwrap_or(u32::MAX);
        self.count = u32::try_from(count).unwrap_or(u32::MAX);
        self.place_near = u32::try_from(near).unwrap_or(u32::MAX);
    }

    /// Further time that this process leaves to those before it in the last turn.
    fn spread(&self) -> Duration {
        let behind = self.place.saturating_sub(MAX_TURNS);
        LAST_TURN * behind / self.count.max(1)
    }

    /// Takes note that all changes up to a revision are known now.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(Some(revision));
        let Some(ahead) = self
            .ahead
            .filter(|ahead| self.revision >= Some(ahead.revision))
        else {
            return;
        };
        self.ahead = None;
        self.behind = None;
        self.found = false;
        self.confirmed = self.confirmed.max(Some(ahead.at));
    }

    /// Takes a claim, this process's own or a peer's. One of a time that is still to come can't be
    /// true: taken, it would keep all from asking, and call what is known current until then.
    pub fn receive(&mut self, now: Clock, claim: Claim) {
        if claim.at > now {
            return;
        }
        if self.newest < Some(claim.at) {
            self.newest = Some(claim.at);
            // The store is back, so that this process may reach it too.
            if !self.turned_away {
                self.failures = 0;
                self.again = Clock::ZERO;
            }
        }
        if self.revision >= Some(claim.revision) {
            self.confirmed = self.confirmed.max(Some(claim.at));
            return;
        }
        if self.behind.is_none() {
            self.behind = Some(now);
        }
        if self
            .ahead
            .is_none_or(|ahead| ahead.revision < claim.revision)
        {
            self.ahead = Some(claim);
        }
    }

    /// Takes the store's answer to this process's question.
    pub fn confirm(&mut self, now: Clock, claim: Claim) {
        self.receive(now, claim);
        self.found = self.behind.is_some();
    }

    /// Notes that the store answered a call of this process.
    pub fn store_answered(&mut self) {
        self.turned_away = false;
        self.failures = 0;
        self.again = Clock::ZERO;
    }

    /// Notes that the store didn't answer a call of this process. Where it answers others, their claims
    /// are no reason to call sooner.
    pub fn store_failed(&mut self, now: Clock) {
        let age = self.newest.map(|newest| now.saturating_sub(newest));
        self.turned_away = age.is_some_and(|age| age <= TAKEOVER_AGE);
        let mut wait = (BACKOFF * (1 << self.failures.min(5))).min(MAX_BACKOFF);
        if !self.turned_away {
            // All fail for the first time within a moment, and go on one behind the other.
            let behind = match self.failures {
                0 => self.place + 1,
                _ => self.count,
            };
            wait = wait.max(FLEET_BACKOFF * behind);
        }
        self.again = now + wait;
        self.failures += 1;
    }

    /// When this process may call the store again after it got no answer.
    pub fn retry_at(&self) -> Clock {
        self.again
    }

    /// When this process asks the store whether what is known is current.
    pub fn next_check(&self) -> Clock {
        let turn = QUESTION_INTERVAL + TURN_DELAY * self.place.min(MAX_TURNS) + self.spread();
        let due = self.newest.map_or(Clock::ZERO, |newest| newest + turn);
        due.max(self.again)
    }

    /// Since when changes are missing that peers or the store have.
    pub fn behind_since(&self) -> Option<Clock> {
        self.behind
    }

    /// When this process reads missing changes itself, instead of waiting for a peer's message. The
    /// one that found them out does so at once, and tells the others.
    pub fn fetch_at(&self) -> Option<Clock> {
        let (listening, other) = FETCH_DELAYS;
        let patience = match (self.found, self.place_near) {
            (true, _) => Duration::ZERO,
            (false, 0) => listening,
            (false, _) => other,
        };
        Some(self.behind? + patience)
    }

    /// Whether this process listens to the store for changes, or to its peers.
    pub fn watches_store(&self, now: Clock) -> bool {
        let age = self.newest.map(|newest| now.saturating_sub(newest));
        self.place_near == 0 || age.is_none_or(|age| age > TAKEOVER_AGE + self.spread())
    }
}
