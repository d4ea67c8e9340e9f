//! Traffic moves that must finish within seconds, with a bound on the requests that a bad version
//! may receive.
//!
//! The intended load is a service of a few requests per second whose traffic must move within about
//! ten seconds. That leaves no time for the steps of a [`crate::Mover`], and the bound on a bad
//! version's requests is shared by all processes. So each process sends the new version a sample of
//! its requests, small enough that all samples together stay within the bound. The processes pool
//! the results. Only near the deadline, if no evidence speaks against the version, all traffic
//! switches at once, so late that the requests in the remaining time fit the bound too.
//!
//! Time is measured from receipt of the order on a monotonic clock: wall clocks of hosts differ by
//! seconds, which is a large part of such a move.

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

/// Earliest and latest switch, as fractions of the move's time. The switch takes place as soon as
/// all requests still expected fit the bound. A fault may begin late, and then all requests that
/// the new version received count against the bound.
const SWITCH_WINDOW: (f64, f64) = (0.75, 0.92);

/// Fraction of the time at which the move is reported as done. The rest is reserved for a slow
/// store.
const REPORT_FRACTION: f64 = 0.94;

/// Multiple of the time after which a completed move stops restricting versions. The old version's
/// servers stop when it is done.
const RESTRICTION_FACTOR: f64 = 2.0;

/// Fractions of the bound that samples use: of its share of requests, and of its fixed allowance.
/// The rest covers the traffic after the switch, processes that restart with empty counts, and
/// requests in flight when a fault is found.
const SAMPLE_FRACTIONS: (f64, f64) = (0.2, 0.4);

/// Fraction of the bound that samples and the requests after the switch may use; the reserve
/// absorbs uneven traffic.
const BOUND_FRACTION: f64 = 0.8;

/// Fraction of the traffic-independent samples that may be used immediately.
const IMMEDIATE_SAMPLE_FRACTION: f64 = 0.5;

/// Number of time slots, which keep good answers before a fault's onset from masking it.
const SLOTS_PER_MOVE: u32 = 8;

/// Log likelihood ratio at which the new version is reverted: it is 200 times as likely to be bad.
/// Three bad answers among few are enough where the old version gives hardly any.
const VETO_LLR: f64 = 5.3;

/// Log likelihood ratio above which traffic doesn't switch yet, at the earliest switch time and at
/// the deadline. A good version of a service with occasional failures exceeds the first by chance
/// and must not be late; a version that exceeds the second is reverted, as a bad version costs more
/// than another attempt.
const HOLD_LLR: (f64, f64) = (1.0, 3.0);

/// Requests that must have ended at the new version before traffic switches: this number, or this share of
/// the service's requests where there are few. That nothing speaks against a version that nobody has
/// tried says nothing.
const MIN_TRIED: f64 = 5.0;
const MIN_TRIED_SHARE: f64 = 0.2;

/// Part of the time since the order that a process must have been there for to tell that a service has few
/// requests.
const MIN_OBSERVED: f64 = 0.9;

/// Lowest assumed failure rate of a bad version.
const MIN_BAD_RATE: f64 = 0.2;

/// Bounds of the assumed failure rate of the old version; a handful of requests can't show a lower
/// or higher one.
const USUAL_RATE_BOUNDS: (f64, f64) = (0.02, 0.4);

/// Weight of the lower bound as a prior, in requests, against the counts of the old version.
const PRIOR_REQUESTS: f64 = 10.0;

/// Time in which late answers of a side count as one event. A process, a host or a link that stops
/// for a moment delays all answers that are awaited then.
const EVENT_SPAN: Duration = Duration::from_millis(100);

/// Maximum number of late answers that a process tells by their times. More are counted singly:
/// they are evidence enough.
const MAX_LATE: usize = 32;

/// Maximum number of routes that are counted separately.
const MAX_ROUTES: usize = 8;

/// Minimum number of routes assumed: the first request of a move must not use the budget of a rarer
/// route that hasn't appeared yet.
const MIN_ROUTES: usize = 2;

/// Time after which servers that are no longer registered count as ended. Servers that crashed, or
/// that the store lost, register again within it.
pub const RETURN_TIME: Duration = Duration::from_secs(10);

/// Identifier of a route: a hash of its name.
pub type RouteId = u32;

/// Identifier of another process's run.
pub type PeerId = u64;

/// An operator's order to move a service's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Revision of the order, which increases with each order.
    pub revision: Revision,
    /// Version that must receive all traffic.
    pub to: Version,
    /// Time within which all traffic must have moved.
    pub within: Duration,
}

/// Bound on the requests that a bad version may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Fraction of the service's requests.
    pub share: f64,
    /// Number of requests allowed in addition.
    pub slack: f64,
}

/// Registered servers of a service that accept work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Servers {
    /// Servers of the new version.
    pub new: usize,
    /// Servers of other versions.
    pub others: usize,
    /// Time at which the last server of another version left, or from which none was known.
    pub alone_since: Clock,
}

impl Servers {
    /// Returns whether the new version is the only one that has servers.
    fn is_alone(&self) -> bool {
        self.new > 0 && self.others == 0
    }
}

/// State of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// The new version receives samples.
    Running,
    /// All traffic goes to the new version for good.
    Done,
    /// The new version receives no more requests.
    Reverted,
}

/// Versions that a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Constraint {
    /// All versions: the move was done long ago, and later versions may be released without a move.
    Any,
    /// Only the new version.
    OnlyNew,
    /// Any version except the new one.
    ExcludeNew,
}

/// How a request ended at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was answered in the usual time.
    Good,
    /// It failed.
    Failed,
    /// It was answered several times slower than usual, or its answer is overdue.
    Late,
}

/// A late answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Late {
    /// Milliseconds from the order to the end of the request.
    pub at_ms: u32,
    /// Route of the request.
    pub route: RouteId,
    /// Version that the request was sent to.
    pub side: Side,
}

/// Request counts of a route within a time slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Requests sent to the new version.
    pub new: u32,
    /// Of these, the ended ones, without the late ones that are told by their times.
    pub ended: u32,
    /// Of these, the ones that failed or were late.
    pub bad: u32,
    /// Requests ended at the old version, without the late ones that are told by their times.
    pub old: u32,
    /// Of these, the ones that failed or were late.
    pub old_bad: u32,
}

impl Count {
    /// Counts a request that ended.
    fn count(&mut self, side: Side, bad: bool) {
        match side {
            Side::New => {
                self.ended += 1;
                self.bad += u32::from(bad);
            }
            Side::Old => {
                self.old += 1;
                self.old_bad += u32::from(bad);
            }
        }
    }

    fn add(&mut self, other: &Count) {
        self.new += other.new;
        self.ended += other.ended;
        self.bad += other.bad;
        self.old += other.old;
        self.old_bad += other.old_bad;
    }
}

/// Counts of one process, by slot and route.
pub type Counts = BTreeMap<(u8, RouteId), Count>;

/// State of a move at one process, as sent to the other processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Revision of the order.
    pub revision: Revision,
    /// Time since the order, as known to that process.
    pub elapsed: Duration,
    /// Whether the process found the new version bad.
    pub vetoed: bool,
    /// Requests for the service received by that process since the order.
    pub requests: u32,
    /// Counts of that process.
    pub counts: Counts,
    /// Late answers of that process.
    pub late: Vec<Late>,
}

/// State machine of one move at one process.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: Order,
    exposure: Exposure,
    /// Earliest known time of the order.
    began: Clock,
    /// Time at which this process received the order.
    received: Clock,
    own: Counts,
    own_late: Vec<Late>,
    /// Requests for the service received by this process since the order.
    requests: u32,
    peers: HashMap<PeerId, Progress>,
    /// Largest observed number of processes that share the bound.
    processes: usize,
    vetoed: bool,
    /// The state recorded in the store.
    stored_state: Option<State>,
    /// Whether the new version served alone before the order, so that there is nothing to move.
    carried_out: bool,
    /// Servers of the service; `None` until the registry is known.
    servers: Option<Servers>,
}

impl Rollout {
    /// Starts a move at this process; the order was received at `now`.
    pub fn new(order: Order, exposure: Exposure, now: Clock) -> Rollout {
        Rollout {
            order,
            exposure,
            began: now,
            received: now,
            own: Counts::new(),
            own_late: Vec::new(),
            requests: 0,
            peers: HashMap::new(),
            processes: 1,
            vetoed: false,
            stored_state: None,
            carried_out: false,
            servers: None,
        }
    }

    /// Starts the move of an order that replaces this one's at `now`.
    ///
    /// An order that only repeats that of a move in progress doesn't begin it anew: the processes keep
    /// what they found out, and the time doesn't start again.
    pub fn replaced_by(&self, order: Order, exposure: Exposure, now: Clock) -> Rollout {
        let has_ended = matches!(self.stored_state, Some(State::Done | State::Reverted));
        if self.order.to == order.to && self.order.within == order.within && !has_ended {
            return Rollout {
                order,
                exposure,
                ..self.clone()
            };
        }
        let carried_out = self.order.to == order.to
            && (self.stored_state == Some(State::Done) || self.carried_out);
        Rollout {
            carried_out,
            ..Rollout::new(order, exposure, now)
        }
    }

    /// Records that the version of the order was moved to before the order was given.
    pub fn set_carried_out(&mut self) {
        self.carried_out = true;
    }

    /// Records the servers of the service. What serves decides whether the move can be made at all:
    /// it is done only while the new version has a server, and reverted only while another one has.
    pub fn observe_servers(&mut self, now: Clock, servers: Servers) {
        // The first observation tells what there was when the order came.
        if self.servers.is_none() && servers.is_alone() && has_returned(now, servers) {
            self.carried_out = true;
        }
        self.servers = Some(servers);
    }

    /// Returns whether the new version serves alone, so that there is nothing to compare it with or to
    /// return to.
    fn is_alone(&self, now: Clock) -> bool {
        let servers = self.servers.filter(Servers::is_alone);
        servers.is_some_and(|servers| self.carried_out || has_returned(now, servers))
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Records how many processes share the bound. The maximum applies: a process that loses
    /// contact with its peers must not take over their part.
    pub fn observe_processes(&mut self, processes: usize) {
        self.processes = self.processes.max(processes);
    }

    /// Records the stored state of this order and returns whether it differs from the previous one.
    pub fn set_stored_state(&mut self, state: State) -> bool {
        self.stored_state.replace(state) != Some(state)
    }

    /// Returns whether the new version is known to be bad.
    pub fn vetoed(&self) -> bool {
        self.stored_state == Some(State::Reverted)
            || self.vetoed && self.stored_state != Some(State::Done)
    }

    /// Returns the state of the move at this process.
    pub fn state(&self, now: Clock) -> State {
        if self.carried_out && self.is_alone(now) && self.stored_state != Some(State::Reverted) {
            return State::Done;
        }
        if self.vetoed() {
            return State::Reverted;
        }
        if self.stored_state == Some(State::Done) || self.switched(now) || self.is_alone(now) {
            return State::Done;
        }
        match self.elapsed(now) < REPORT_FRACTION {
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
        let (first, last) = SWITCH_WINDOW;
        if self.servers.is_some_and(|servers| servers.new == 0) {
            return false;
        }
        if elapsed < first || elapsed < last && !self.remainder_fits(elapsed) || !self.is_tried(now)
        {
            return false;
        }
        let lateness = ((elapsed - first) / (REPORT_FRACTION - first)).clamp(0.0, 1.0);
        let (min, max) = HOLD_LLR;
        self.log_likelihood_ratio() < min + (max - min) * lateness
    }

    /// Returns whether enough requests have ended at the new version to tell something of it.
    fn is_tried(&self, now: Clock) -> bool {
        let counts = self.all_counts().flat_map(|counts| counts.values());
        let ended: u32 = counts.map(|count| count.ended).sum();
        let ended = f64::from(ended);
        let observed = now.saturating_sub(self.received).as_secs_f64();
        let since_order = now.saturating_sub(self.began).as_secs_f64();
        if ended >= MIN_TRIED || observed < MIN_OBSERVED * since_order {
            return ended >= MIN_TRIED;
        }
        let requests = self.all_requests();
        ended >= requests.min(1.0).max((requests * MIN_TRIED_SHARE).floor())
    }

    /// Returns the number of requests for the service that all processes received.
    fn all_requests(&self) -> f64 {
        let peers = self.peers.values();
        let peers = peers.map(|progress| f64::from(progress.requests));
        f64::from(self.requests) + peers.sum::<f64>()
    }

    /// Returns whether all requests still expected could go to a bad version within the bound.
    fn remainder_fits(&self, elapsed: f64) -> bool {
        let requests = self.all_requests();
        let all = requests / elapsed.max(f64::MIN_POSITIVE);
        let bound = self.exposure.share * all + self.exposure.slack;
        all - requests + f64::from(self.samples_sent()) <= BOUND_FRACTION * bound
    }

    /// Returns the allowed versions for a request that isn't counted, such as one resumed after a
    /// loss.
    pub fn constraint(&self, now: Clock) -> Constraint {
        match self.state(now) {
            State::Done if self.expired(now) => Constraint::Any,
            State::Done => Constraint::OnlyNew,
            State::Running | State::Reverted => Constraint::ExcludeNew,
        }
    }

    fn expired(&self, now: Clock) -> bool {
        self.stored_state == Some(State::Done) && self.elapsed(now) >= RESTRICTION_FACTOR
    }

    /// Picks the allowed versions for a new request of a route, and counts it. `draw` is a random
    /// number from 0 to 1.
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

    /// Returns whether this process has a sample left for a route. Each route has its own budget,
    /// as a fault may affect only a rare one. The fractional part of a budget is used with that
    /// probability.
    fn takes_sample(&self, now: Clock, route: RouteId, draw: f64) -> bool {
        let time = (self.elapsed(now) / SWITCH_WINDOW.0).clamp(0.0, 1.0);
        let (of_share, of_slack) = SAMPLE_FRACTIONS;
        let fixed = of_slack * self.exposure.slack / self.processes as f64;
        let fixed = fixed * (IMMEDIATE_SAMPLE_FRACTION + (1.0 - IMMEDIATE_SAMPLE_FRACTION) * time);
        let proportional = of_share * self.exposure.share * f64::from(self.requests);
        let budget = (fixed + proportional) / self.routes(route) as f64;
        let sent = self.own.iter().filter(|((_, known), _)| *known == route);
        let sent: u32 = sent.map(|(_, count)| count.new).sum();
        f64::from(sent) + 1.0 <= budget.floor() + f64::from(u8::from(draw < budget.fract()))
    }

    /// Iterates over the counts of all processes.
    fn all_counts(&self) -> impl Iterator<Item = &Counts> {
        let peers = self.peers.values().map(|progress| &progress.counts);
        peers.chain([&self.own])
    }

    /// Returns the number of routes seen, including `route`.
    fn routes(&self, route: RouteId) -> usize {
        let known = self
            .all_counts()
            .flat_map(|counts| counts.keys().map(|(_, route)| *route));
        let mut routes: Vec<_> = known.chain([route]).collect();
        routes.sort_unstable();
        routes.dedup();
        routes.len().clamp(MIN_ROUTES, MAX_ROUTES)
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, now: Clock, route: RouteId, side: Side, ending: Ending) {
        if ending == Ending::Late && self.own_late.len() < MAX_LATE {
            let since = now.saturating_sub(self.began);
            self.own_late.push(Late {
                at_ms: u32::try_from(since.as_millis()).unwrap_or(u32::MAX),
                route: self.counted_route(route),
                side,
            });
        } else {
            self.cell(now, route).count(side, ending != Ending::Good);
        }
        self.update_veto();
    }

    fn cell(&mut self, now: Clock, route: RouteId) -> &mut Count {
        let slot = slot(self.elapsed(now));
        let route = self.counted_route(route);
        self.own.entry((slot, route)).or_default()
    }

    /// Returns the id under which a route is counted: routes beyond the maximum are counted together.
    fn counted_route(&self, route: RouteId) -> RouteId {
        let known = self.own.keys().any(|(_, known)| *known == route);
        let mut routes: Vec<_> = self.own.keys().map(|(_, route)| *route).collect();
        routes.sort_unstable();
        routes.dedup();
        match known || routes.len() < MAX_ROUTES {
            true => route,
            false => 0,
        }
    }

    /// Returns this process's state of the move, for the other processes.
    pub fn progress(&self, now: Clock) -> Progress {
        Progress {
            revision: self.order.revision,
            elapsed: now.saturating_sub(self.began),
            vetoed: self.vetoed(),
            requests: self.requests,
            counts: self.own.clone(),
            late: self.own_late.clone(),
        }
    }

    /// Merges another process's state. Its counts remain after that process has gone.
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
        self.vetoed |= self.log_likelihood_ratio() >= VETO_LLR;
    }

    /// Returns how strongly the pooled counts speak against the new version: the maximum log
    /// likelihood ratio over all routes and possible onset times of a fault.
    pub fn log_likelihood_ratio(&self) -> f64 {
        let mut routes: BTreeMap<Option<RouteId>, [Count; SLOTS_PER_MOVE as usize]> =
            BTreeMap::new();
        for counts in self.all_counts() {
            for ((slot, route), count) in counts {
                let slot = usize::from(*slot).min(SLOTS_PER_MOVE as usize - 1);
                for key in [None, Some(*route)] {
                    routes.entry(key).or_default()[slot].add(count);
                }
            }
        }
        for (key, event) in self.late_events() {
            let within_ms = self.order.within.as_millis().max(1) as f64;
            let slot = slot(f64::from(event.at_ms) / within_ms);
            routes.entry(key).or_default()[usize::from(slot)].count(event.side, true);
        }
        let tests = routes.values().map(log_likelihood_ratio);
        tests.fold(0.0, f64::max)
    }

    /// Returns the late answers of all processes over all routes and by route, without those that
    /// followed another one of the same side within [`EVENT_SPAN`].
    fn late_events(&self) -> Vec<(Option<RouteId>, Late)> {
        let peers = self.peers.values().flat_map(|progress| &progress.late);
        let mut late: Vec<_> = peers.chain(&self.own_late).copied().collect();
        late.sort_unstable_by_key(|late| late.at_ms);
        let span_ms = EVENT_SPAN.as_millis() as u32;
        let mut latest = BTreeMap::<(Option<RouteId>, Side), u32>::new();
        let mut events = Vec::new();
        for late in late {
            for key in [None, Some(late.route)] {
                let begun = latest.get(&(key, late.side)).copied();
                if begun.is_some_and(|begun| late.at_ms - begun < span_ms) {
                    continue;
                }
                latest.insert((key, late.side), late.at_ms);
                events.push((key, late));
            }
        }
        events
    }

    /// Returns the number of samples that all processes sent to the new version.
    pub fn samples_sent(&self) -> u32 {
        self.all_counts()
            .flat_map(|counts| counts.values())
            .map(|count| count.new)
            .sum()
    }

    /// Returns the state that this process should write to the store, or `None` if the store is up
    /// to date or holds a final state.
    pub fn state_to_store(&self, now: Clock) -> Option<State> {
        if matches!(self.stored_state, Some(State::Done | State::Reverted)) {
            return None;
        }
        let has_others = self.servers.is_some_and(|servers| servers.others > 0);
        let is_early = self.elapsed(now) < REPORT_FRACTION;
        let target = match self.state(now) {
            State::Done if is_early && !(self.carried_out && self.is_alone(now)) => State::Running,
            // The new version's servers stop when it is reverted.
            State::Reverted if self.servers.is_some_and(|servers| servers.others == 0) => {
                State::Running
            }
            state => state,
        };
        // The store's record that the version was moved to is all that a process that starts knows.
        if target == State::Running && self.carried_out && !has_others {
            return None;
        }
        (self.stored_state != Some(target)).then_some(target)
    }
}

/// Returns the time slot of a fraction of the move's time.
fn slot(elapsed: f64) -> u8 {
    let last = f64::from(SLOTS_PER_MOVE - 1);
    (elapsed * f64::from(SLOTS_PER_MOVE)).min(last) as u8
}

/// Returns whether servers of other versions that are missing would be back.
fn has_returned(now: Clock, servers: Servers) -> bool {
    now.saturating_sub(servers.alone_since) >= RETURN_TIME
}

fn log_likelihood_ratio(slots: &[Count; SLOTS_PER_MOVE as usize]) -> f64 {
    let mut all = Count::default();
    slots.iter().for_each(|count| all.add(count));
    let (min, max) = USUAL_RATE_BOUNDS;
    let usual =
        (f64::from(all.old_bad) + min * PRIOR_REQUESTS) / (f64::from(all.old) + PRIOR_REQUESTS);
    let usual = usual.clamp(min, max);
    let worse = (4.0 * usual).clamp(MIN_BAD_RATE, 0.8);
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
