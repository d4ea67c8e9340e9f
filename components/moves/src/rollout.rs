//! Moves that must be over within seconds, under a bound on what a bad version may get.
//!
//! The load that it answers: a service of a few requests a second whose traffic must move within
//! some ten seconds. There is no time for the steps of a [`crate::Mover`], and what a bad version
//! may get in all is a bound that every entry draws on. So each entry sends the new version a
//! sample of its requests, small enough that all samples together keep to the bound; what came of
//! them is pooled; and only near the end, when nothing speaks against the version, all traffic
//! moves at once, so late that what is left of the time fits the bound too.
//!
//! Time is counted from when the order was learned, on a clock that nobody sets: wall clocks of
//! hosts differ by seconds, which is a good part of such a move.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use names::{
    Clock,
    Revision,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::share::Side;

/// Parts of the time between which the traffic moves: as soon as all that is still to come fits the
/// bound. A fault may begin late, and then all that the new version got counts against it.
const MOVED: (f64, f64) = (0.75, 0.92);

/// Part of the time at which the move is reported as done. The rest is for a store that is slow.
const REPORTED: f64 = 0.94;

/// Multiple of the time after which a move that is done limits nothing any more. The old version's
/// servers stop when it is done.
const OVER: f64 = 2.0;

/// Parts of the bound that samples use: of its share, and of what is allowed besides. The rest is
/// for the traffic after the move, for entries that start anew and count from nothing, and for
/// requests that are under way when a fault is found.
const USED: (f64, f64) = (0.2, 0.4);

/// Part of the bound that samples and what comes after the move may use; traffic isn't even.
const FILLED: f64 = 0.8;

/// Part of the samples that doesn't depend on the traffic and may be used at once.
const AT_ONCE: f64 = 0.5;

/// Slots into which the time is cut, so that good answers before a fault began don't hide it.
const SLOTS: u32 = 8;

/// Log likelihood ratio at which the new version is taken back: 200 times as likely to be bad. Three
/// bad answers among few are enough where the old version gives hardly any.
const TRIP: f64 = 5.3;

/// The same above which traffic doesn't move yet, when it could first and when it is due. A good
/// version whose service fails now and then passes the first by chance, and must not be late; one
/// that passes the second is taken back, as a bad version costs more than another try.
const LEAN: (f64, f64) = (1.0, 3.0);

/// Lowest part of bad answers that a bad version is taken to give.
const BAD: f64 = 0.2;

/// Bounds of the old version's part of bad answers: none can be told from a handful of requests.
const USUAL: (f64, f64) = (0.02, 0.4);

/// Weight of the lower bound, in requests, against what was counted of the old version.
const PRIOR: f64 = 10.0;

/// Routes that are counted one by one.
const ROUTES: usize = 8;

/// Routes that there are taken to be at the least: the first request of a move must not use the
/// part of a rarer route that hasn't shown yet.
const LEAST_ROUTES: usize = 2;

/// Number of a route: a hash of its name.
pub type RouteId = u32;

/// Number of another entry's run.
pub type PeerId = u64;

/// A move that an operator ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Number of the order; it grows from one to the next.
    pub revision: Revision,
    /// The version that all traffic must go to.
    pub to: Version,
    /// Time within which it must.
    pub within: Duration,
}

/// What a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Part of the service's requests.
    pub share: f64,
    /// Requests besides.
    pub slack: f64,
}

/// Where a move stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// The new version gets samples.
    Running,
    /// All traffic goes to the new version, and stays there.
    Done,
    /// The new version gets nothing any more.
    Reverted,
}

/// Which versions a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Constraint {
    /// All: the move is long done, and servers of later versions may come without another one.
    Any,
    /// The new one only.
    OnlyNew,
    /// Any but the new one.
    ExcludeNew,
}

/// Requests of a route within a slot of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Sent to the new version.
    pub new: u32,
    /// Of these, ended.
    pub ended: u32,
    /// Of these, failed or several times slower than usual.
    pub bad: u32,
    /// Ended at the old version.
    pub old: u32,
    /// Of these, failed or slow.
    pub old_bad: u32,
}

impl Count {
    fn add(&mut self, other: &Count) {
        self.new += other.new;
        self.ended += other.ended;
        self.bad += other.bad;
        self.old += other.old;
        self.old_bad += other.old_bad;
    }
}

/// What one entry counted, by slot and route.
pub type Counts = BTreeMap<(u8, RouteId), Count>;

/// What an entry tells the others of a move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Number of the order.
    pub revision: Revision,
    /// Time since the order, as far as it is known there.
    pub elapsed: Duration,
    /// It found the new version bad.
    pub vetoed: bool,
    /// Requests of the service that came there since the order.
    pub requests: u32,
    /// What it counted.
    pub counts: Counts,
}

/// One entry's part in one move.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: Order,
    exposure: Exposure,
    /// When the order was given, as far as is known.
    began: Clock,
    own: Counts,
    /// Requests of the service that came here since.
    requests: u32,
    peers: HashMap<PeerId, Progress>,
    /// Most entries that were seen to share the bound.
    entries: usize,
    vetoed: bool,
    /// The state that stands in the store.
    stored_state: Option<State>,
}

impl Rollout {
    /// Begins to take part in a move whose order was learned at `now`.
    pub fn new(order: Order, exposure: Exposure, now: Clock) -> Rollout {
        Rollout {
            order,
            exposure,
            began: now,
            own: Counts::new(),
            requests: 0,
            peers: HashMap::new(),
            entries: 1,
            vetoed: false,
            stored_state: None,
        }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Notes how many entries share the bound. An entry that loses sight of its peers must not take
    /// their part, so the most that were seen count.
    pub fn observe_entries(&mut self, entries: usize) {
        self.entries = self.entries.max(entries);
    }

    /// Takes the state that stands in the store for this order; tells whether it is news.
    pub fn set_stored_state(&mut self, state: State) -> bool {
        self.stored_state.replace(state) != Some(state)
    }

    /// Whether the new version is bad as far as is known.
    pub fn vetoed(&self) -> bool {
        self.stored_state == Some(State::Reverted)
            || self.vetoed && self.stored_state != Some(State::Done)
    }

    /// Where the move stands at this entry.
    pub fn state(&self, now: Clock) -> State {
        if self.vetoed() {
            return State::Reverted;
        }
        if self.stored_state == Some(State::Done) || self.switched(now) {
            return State::Done;
        }
        match self.elapsed(now) < REPORTED {
            true => State::Running,
            false => State::Reverted,
        }
    }

    fn elapsed(&self, now: Clock) -> f64 {
        let elapsed = now.saturating_sub(self.began).as_secs_f64();
        elapsed / self.order.within.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    fn switched(&self, now: Clock) -> bool {
        let elapsed = self.elapsed(now);
        let (first, last) = MOVED;
        if elapsed < first || elapsed < last && !self.rest_fits(elapsed) {
            return false;
        }
        let late = ((elapsed - first) / (REPORTED - first)).clamp(0.0, 1.0);
        let (least, most) = LEAN;
        self.log_likelihood_ratio() < least + (most - least) * late
    }

    /// Whether all requests that are still to come could go to a bad version within the bound.
    fn rest_fits(&self, elapsed: f64) -> bool {
        let peers = self.peers.values().map(|told| f64::from(told.requests));
        let requests = f64::from(self.requests) + peers.sum::<f64>();
        let all = requests / elapsed.max(f64::MIN_POSITIVE);
        let bound = self.exposure.share * all + self.exposure.slack;
        all - requests + f64::from(self.samples_sent()) <= FILLED * bound
    }

    /// The versions for a request that isn't counted, such as one that goes on after a loss.
    pub fn constraint(&self, now: Clock) -> Constraint {
        match self.state(now) {
            State::Done if self.expired(now) => Constraint::Any,
            State::Done => Constraint::OnlyNew,
            State::Running | State::Reverted => Constraint::ExcludeNew,
        }
    }

    fn expired(&self, now: Clock) -> bool {
        self.stored_state == Some(State::Done) && self.elapsed(now) >= OVER
    }

    /// Picks the versions for a new request of a route, and counts it. `draw` is a random number
    /// from 0 to 1.
    pub fn pick(&mut self, now: Clock, route: RouteId, draw: f64) -> Constraint {
        self.requests = self.requests.saturating_add(1);
        let constraint = match self.state(now) {
            State::Running if self.takes_sample(now, route, draw) => Constraint::OnlyNew,
            _ => self.constraint(now),
        };
        if constraint == Constraint::OnlyNew {
            self.cell(now, route).new += 1;
        }
        constraint
    }

    /// Whether this entry has a sample left for a route. Each route has its part, as a fault may
    /// show on a rare one only; the part of a place that is left over is used with its probability.
    fn takes_sample(&self, now: Clock, route: RouteId, draw: f64) -> bool {
        let time = (self.elapsed(now) / MOVED.0).clamp(0.0, 1.0);
        let (of_share, of_slack) = USED;
        let flat = of_slack * self.exposure.slack / self.entries as f64;
        let flat = flat * (AT_ONCE + (1.0 - AT_ONCE) * time);
        let shared = of_share * self.exposure.share * f64::from(self.requests);
        let most = (flat + shared) / self.routes(route) as f64;
        let sent = self.own.iter().filter(|((_, known), _)| *known == route);
        let sent: u32 = sent.map(|(_, count)| count.new).sum();
        f64::from(sent) + 1.0 <= most.floor() + f64::from(u8::from(draw < most.fract()))
    }

    /// What all entries counted.
    fn all_counts(&self) -> impl Iterator<Item = &Counts> {
        let peers = self.peers.values().map(|told| &told.counts);
        peers.chain([&self.own])
    }

    /// Number of routes that requests came on, with one that comes now.
    fn routes(&self, route: RouteId) -> usize {
        let known = self
            .all_counts()
            .flat_map(|counts| counts.keys().map(|(_, route)| *route));
        let mut routes: Vec<_> = known.chain([route]).collect();
        routes.sort_unstable();
        routes.dedup();
        routes.len().clamp(LEAST_ROUTES, ROUTES)
    }

    /// Notes the end of a request: whether it failed or was several times slower than usual.
    pub fn record_end(&mut self, now: Clock, route: RouteId, side: Side, bad: bool) {
        let cell = self.cell(now, route);
        match side {
            Side::New => {
                cell.ended += 1;
                cell.bad += u32::from(bad);
            }
            Side::Old => {
                cell.old += 1;
                cell.old_bad += u32::from(bad);
            }
        }
        self.update_veto();
    }

    fn cell(&mut self, now: Clock, route: RouteId) -> &mut Count {
        let slot = (self.elapsed(now) * f64::from(SLOTS)).min(f64::from(SLOTS - 1)) as u8;
        let known = self.own.keys().any(|(_, known)| *known == route);
        let mut routes: Vec<_> = self.own.keys().map(|(_, route)| *route).collect();
        routes.sort_unstable();
        routes.dedup();
        // Routes beyond the most are counted together.
        let route = match known || routes.len() < ROUTES {
            true => route,
            false => 0,
        };
        self.own.entry((slot, route)).or_default()
    }

    /// What is told to the other entries.
    pub fn progress(&self, now: Clock) -> Progress {
        Progress {
            revision: self.order.revision,
            elapsed: now.saturating_sub(self.began),
            vetoed: self.vetoed(),
            requests: self.requests,
            counts: self.own.clone(),
        }
    }

    /// Takes what another entry tells. What it counted stays when it is gone.
    pub fn merge(&mut self, now: Clock, peer: PeerId, progress: Progress) {
        if progress.revision != self.order.revision {
            return;
        }
        self.began = self.began.min(now.saturating_sub(progress.elapsed));
        self.vetoed |= progress.vetoed;
        self.peers.insert(peer, progress);
        self.update_veto();
    }

    fn update_veto(&mut self) {
        self.vetoed |= self.log_likelihood_ratio() >= TRIP;
    }

    /// How strongly what all entries counted speaks against the new version: the highest log
    /// likelihood ratio over the routes, and over the times at which a fault may have begun.
    pub fn log_likelihood_ratio(&self) -> f64 {
        let mut routes: BTreeMap<Option<RouteId>, [Count; SLOTS as usize]> = BTreeMap::new();
        for counts in self.all_counts() {
            for ((slot, route), count) in counts {
                let slot = usize::from(*slot).min(SLOTS as usize - 1);
                for key in [None, Some(*route)] {
                    routes.entry(key).or_default()[slot].add(count);
                }
            }
        }
        let tests = routes.values().map(log_likelihood_ratio);
        tests.fold(0.0, f64::max)
    }

    /// Samples that all entries sent to the new version.
    pub fn samples_sent(&self) -> u32 {
        self.all_counts()
            .flat_map(|counts| counts.values())
            .map(|count| count.new)
            .sum()
    }

    /// The state that this entry should write into the store, if any stands there that differs.
    pub fn state_to_store(&self, now: Clock) -> Option<State> {
        if matches!(self.stored_state, Some(State::Done | State::Reverted)) {
            return None;
        }
        let due = match self.state(now) {
            State::Done if self.elapsed(now) < REPORTED => State::Running,
            state => state,
        };
        (self.stored_state != Some(due)).then_some(due)
    }
}

fn log_likelihood_ratio(slots: &[Count; SLOTS as usize]) -> f64 {
    let mut all = Count::default();
    slots.iter().for_each(|count| all.add(count));
    let (least, most) = USUAL;
    let usual = (f64::from(all.old_bad) + least * PRIOR) / (f64::from(all.old) + PRIOR);
    let usual = usual.clamp(least, most);
    let worse = (4.0 * usual).clamp(BAD, 0.8);
    let mut sum = 0.0;
    let mut highest: f64 = 0.0;
    for count in slots.iter().rev() {
        let good = f64::from(count.ended.saturating_sub(count.bad));
        sum += f64::from(count.bad) * (worse / usual).ln();
        sum += good * ((1.0 - worse) / (1.0 - usual)).ln();
        highest = highest.max(sum);
    }
    highest
}
