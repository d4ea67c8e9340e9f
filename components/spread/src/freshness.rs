//! Tracks whether replicated state is current, with few calls to the store.
//!
//! Documents list the valid API keys, and a revoked key must stop working within a bounded time,
//! also at a process that is cut off from the store. A process therefore uses its state only for a
//! limited time after it was last confirmed to be complete. In a large fleet it is too expensive
//! for each process to ask the store for that confirmation. Instead one process asks, in turns that
//! need no agreement, and its [`Claim`] travels to the others along with its age. Changes travel
//! the same way: one process of each data centre watches the store, and the others read the store
//! only when they find that they missed changes.

use std::time::Duration;

use names::{
    Clock,
    Revision, //
};

/// Age of the newest claim at which the process of rank 0 asks the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Additional age per process of lower rank. If that process asks in time, its claim arrives before
/// this one's turn.
const TURN_DELAY: Duration = Duration::from_millis(200);

/// Number of processes with turns of their own; those of higher rank share the last turn.
const MAX_TURNS: u32 = 6;

/// Backoff after a first failed call. It doubles with each failure up to [`MAX_BACKOFF`], as
/// refused calls are billed too.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Limit on the backoff of one process. Processes retry in turns, so the fleet notices the store's
/// return sooner than this.
const MAX_BACKOFF: Duration = Duration::from_millis(1200);

/// Backoff per process of the fleet while the store answers none of them. It bounds the rate of
/// retries of the whole fleet whatever its size. The claim of the first process that succeeds ends
/// the backoff of the others.
const FLEET_BACKOFF: Duration = Duration::from_millis(100);

/// Time over which the processes that share the last turn are spread.
const LAST_TURN_SPREAD: Duration = Duration::from_millis(700);

/// Time for which missing changes may still be in transit from a peer: at a process that watches
/// the store, they come from the process that discovered them; at any other, from the one that
/// watches.
const FETCH_DELAYS: (Duration, Duration) = (Duration::from_millis(75), Duration::from_millis(150));

/// Age of the newest claim at which a process that depends on others watches the store itself.
const TAKEOVER_AGE: Duration = Duration::from_millis(2200);

/// Statement that the store's newest revision was `revision` at time `at` or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Store revision.
    pub revision: Revision,
    /// Time by this process's clock.
    pub at: Clock,
}

/// Revision that this process has reached, and when that was last confirmed to be the newest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Freshness {
    /// Revision up to which all changes are applied; `None` before the first read.
    revision: Option<Revision>,
    /// Latest time at which the applied changes are known to have been complete.
    confirmed_at: Option<Clock>,
    /// Claim with the highest revision that is not applied yet.
    pending_claim: Option<Claim>,
    /// Time at which missing changes were discovered; `None` if none are missing.
    behind_since: Option<Clock>,
    /// Whether this process discovered the missing changes itself, by a call to the store.
    discovered: bool,
    /// Time of the newest claim, from which the turns are counted.
    newest_claim: Option<Clock>,
    /// Earliest time of the next call to the store.
    retry_at: Clock,
    /// Number of consecutive failed calls.
    failures: u32,
    /// Whether the last call failed although the store answered other processes.
    refused: bool,
    /// Rank among all processes.
    rank: u32,
    /// Rank among the processes of the data centre.
    local_rank: u32,
    /// Number of processes.
    process_count: u32,
}

impl Freshness {
    /// Returns the revision up to which all changes are applied; `None` before the first read.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the latest time at which the applied changes are known to have been complete.
    pub fn confirmed_at(&self) -> Option<Clock> {
        self.confirmed_at
    }

    /// Returns the claim that this process can pass on.
    pub fn claim(&self) -> Option<Claim> {
        Some(Claim {
            revision: self.revision?,
            at: self.confirmed_at?,
        })
    }

    /// Sets this process's rank among all processes, their number, and its rank in its data centre.
    pub fn set_rank(&mut self, (rank, process_count): (usize, usize), local_rank: usize) {
        self.rank = u32::try_from(rank).unwrap_or(u32::MAX);
        self.process_count = u32::try_from(process_count).unwrap_or(u32::MAX);
        self.local_rank = u32::try_from(local_rank).unwrap_or(u32::MAX);
    }

    /// Additional delay of this process within the last turn.
    fn last_turn_delay(&self) -> Duration {
        let rank_in_turn = self.rank.saturating_sub(MAX_TURNS);
        LAST_TURN_SPREAD * rank_in_turn / self.process_count.max(1)
    }

    /// Records that all changes up to a revision are applied.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(Some(revision));
        let Some(applied) = self
            .pending_claim
            .filter(|pending| self.revision >= Some(pending.revision))
        else {
            return;
        };
        self.pending_claim = None;
        self.behind_since = None;
        self.discovered = false;
        self.confirmed_at = self.confirmed_at.max(Some(applied.at));
    }

    /// Processes a claim, this process's own or a peer's. A claim for a future time is wrong and
    /// ignored; otherwise it would keep all processes from asking and mark the state as current
    /// until then.
    pub fn receive(&mut self, now: Clock, claim: Claim) {
        if claim.at > now {
            return;
        }
        if self.newest_claim < Some(claim.at) {
            self.newest_claim = Some(claim.at);
            // The store answers again, so this process may reach it too.
            if !self.refused {
                self.failures = 0;
                self.retry_at = Clock::ZERO;
            }
        }
        if self.revision >= Some(claim.revision) {
            self.confirmed_at = self.confirmed_at.max(Some(claim.at));
            return;
        }
        if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
        if self
            .pending_claim
            .is_none_or(|pending| pending.revision < claim.revision)
        {
            self.pending_claim = Some(claim);
        }
    }

    /// Processes the claim from this process's own call to the store.
    pub fn confirm(&mut self, now: Clock, claim: Claim) {
        self.receive(now, claim);
        self.discovered = self.behind_since.is_some();
    }

    /// Records that the store answered a call of this process.
    pub fn store_answered(&mut self) {
        self.refused = false;
        self.failures = 0;
        self.retry_at = Clock::ZERO;
    }

    /// Records that a call of this process failed. While the store answers other processes, their
    /// claims do not shorten the backoff.
    pub fn store_failed(&mut self, now: Clock) {
        let age = self.newest_claim.map(|at| now.saturating_sub(at));
        self.refused = age.is_some_and(|age| age <= TAKEOVER_AGE);
        let mut backoff = (MIN_BACKOFF * (1 << self.failures.min(5))).min(MAX_BACKOFF);
        if !self.refused {
            // All processes fail for the first time within a moment; this spreads their retries.
            let retries_before = match self.failures {
                0 => self.rank + 1,
                _ => self.process_count,
            };
            backoff = backoff.max(FLEET_BACKOFF * retries_before);
        }
        self.retry_at = now + backoff;
        self.failures += 1;
    }

    /// Returns the earliest time at which this process may call the store after a failure.
    pub fn retry_at(&self) -> Clock {
        self.retry_at
    }

    /// Returns when this process should ask the store whether its state is current.
    pub fn next_check(&self) -> Clock {
        let check_age =
            CHECK_INTERVAL + TURN_DELAY * self.rank.min(MAX_TURNS) + self.last_turn_delay();
        let due = self.newest_claim.map_or(Clock::ZERO, |at| at + check_age);
        due.max(self.retry_at)
    }

    /// Returns when missing changes were discovered, if there are any.
    pub fn behind_since(&self) -> Option<Clock> {
        self.behind_since
    }

    /// Returns when this process should read missing changes from the store instead of waiting for
    /// a peer's message. The process that discovered them reads them at once and sends them to the
    /// others.
    pub fn fetch_at(&self) -> Option<Clock> {
        let (watching, other) = FETCH_DELAYS;
        let delay = match (self.discovered, self.local_rank) {
            (true, _) => Duration::ZERO,
            (false, 0) => watching,
            (false, _) => other,
        };
        Some(self.behind_since? + delay)
    }

    /// Returns whether this process watches the store for changes, rather than depend on its peers.
    pub fn watches_store(&self, now: Clock) -> bool {
        let age = self.newest_claim.map(|at| now.saturating_sub(at));
        self.local_rank == 0 || age.is_none_or(|age| age > TAKEOVER_AGE + self.last_turn_delay())
    }
}
