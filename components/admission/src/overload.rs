//! Bound on the requests that are in progress and queued at the servers of a plain service.
//!
//! Servers that get more requests than they can process queue them, until every answer is late. The
//! bound keeps the queues so short that what is sent is answered within its objective, and the rest
//! is refused at once. It takes effect only while an overload is observed. Each process takes a
//! part of the bound that corresponds to its part of the demand. `docs/design/plain-overload.md`
//! gives the reasons.

mod backend;
mod deadline;
mod growth;
mod line;
mod peers;
mod request;
mod times;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use names::{
    Clock,
    Server, //
};
use rand::{
    Rng,
    RngExt, //
};

use crate::{
    Demand,
    retries::Peer, //
};

use self::{
    backend::{
        Backend,
        Terms, //
    },
    deadline::Deadlines,
    line::{
        Line,
        Order, //
    },
    peers::Peers,
    times::Times, //
};

pub use self::{
    line::Ticket,
    request::{
        Arrival,
        Ending,
        Verdict, //
    },
    times::Rates,
};

/// Maximum wait of a request at the process. A server may still reject it, and its caller is to
/// hear that at once.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// Number of sends for which a request may wait: enough that none is missed while requests come
/// unevenly.
const MAX_SENDS_AWAITED: f64 = 4.0;

/// Time for which peers that report no demand count like this process, and the time after which
/// they count half as much.
const UNHEARD_TIMES: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(1));

/// Time without an observed overload after which the bound ends.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Share of late and rejected requests, of the service and of a server, from which it is over
/// capacity.
const OVER_CAPACITY_SHARE: f64 = 0.25;

/// Part of the servers that must be over capacity: a few slow servers are no overload.
const OVER_CAPACITY_SERVERS: f64 = 0.5;

/// Age of a result from which it says nothing about a server any more.
const RESULT_TTL: Duration = Duration::from_secs(1);

/// Time without a result after which a server is forgotten when others come.
const IDLE_TTL: Duration = Duration::from_secs(60);

/// Bounds of the time after which a refused caller may return.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));

/// Time for which a rejected request counts, as a multiple of its objective.
const REJECTED_TIME: f64 = 1.5;

/// Time constant of the share of late and rejected requests, in seconds, and bounds of the weight
/// of a new result in it.
const BAD_TIME_S: f64 = 0.25;
const BAD_EWMA_WEIGHTS: (f64, f64) = (0.02, 0.15);

/// Standard deviations by which the requests in progress may exceed their expected number.
const BOUND_DEVIATIONS: f64 = 0.5;

/// Bound of one plain service at one process.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    servers: BTreeMap<Server, Backend>,
    times: Times,
    /// Recent share of late and rejected requests.
    bad: f64,
    result_at: Clock,
    peers: Peers,
    /// Part of this process in the demand.
    share: f64,
    /// Tightest objective of the service's requests.
    objective: Option<Duration>,
    active: Option<Active>,
    line: Line,
    deadlines: Deadlines,
    /// Time at which the last refused caller may return.
    last_return: Clock,
}

#[derive(Clone, Copy, Debug)]
struct Active {
    since: Clock,
    /// Time at which the overload was last observed here.
    observed: Option<Clock>,
}

/// Returns the part of this process, one of `processes`, in the demand, `elapsed` after the bound
/// took effect. Peers without requests never report, and count less and less.
pub fn share(demand: &Demand, processes: usize, elapsed: Duration) -> f64 {
    let (full, half) = UNHEARD_TIMES;
    let halvings = elapsed.saturating_sub(full).as_secs_f64() / half.as_secs_f64();
    let (heard, all) = (1.0 / demand.share(0), 1.0 / demand.share(processes));
    1.0 / (heard + (all - heard) * 0.5_f64.powf(halvings))
}

/// Returns the number of requests in progress below which one more can be sent.
fn limit(expected: f64) -> f64 {
    expected + BOUND_DEVIATIONS * expected.sqrt() + 1.0
}

impl Overload {
    /// Returns since when the bound is in force, if it is.
    pub fn active_since(&self) -> Option<Clock> {
        self.active.map(|active| active.since)
    }

    /// Returns whether the service is over capacity here or at a peer, so that the demand is told.
    pub fn is_told(&self, now: Clock) -> bool {
        self.rates(now).is_some() || self.peers.is_told(now)
    }

    /// Returns what peers are told if this process itself observes the overload. An overload that
    /// each process knows only from the others has ended.
    pub fn rates(&self, now: Clock) -> Option<Rates> {
        let observed = self.active?.observed?;
        let is_recent = now.saturating_sub(observed) <= HOLD_TIME;
        is_recent.then(|| self.times.rates(self.objective.unwrap_or_default()))
    }

    /// Records that a peer finds the service over capacity; one of an earlier release tells no
    /// rates.
    pub fn told(&mut self, now: Clock, peer: Peer, rates: Option<Rates>) {
        self.peers.record(now, peer, rates);
    }

    /// Removes a peer that no longer finds the service over capacity, or that ended.
    pub fn forget(&mut self, peer: Peer) {
        self.peers.remove(peer);
    }

    /// Returns the peers that find the service over capacity.
    pub fn peers(&mut self, now: Clock) -> impl Iterator<Item = Peer> {
        self.peers.iter(now)
    }

    /// Updates the part of the demand that comes to peers over capacity. If it is most of it, the
    /// bound takes effect here too, from what the peers learnt.
    pub fn join(&mut self, now: Clock, part: f64, rng: &mut impl Rng) {
        self.peers.set_part(part);
        if !self.is_active(now) && self.peers.is_most(now) {
            self.activate(now, None, rng);
        }
    }

    /// Updates the part of this process in the demand and the usable servers with their slots.
    pub fn update(
        &mut self,
        now: Clock,
        share: f64,
        servers: impl IntoIterator<Item = (Server, u32)>,
        rng: &mut impl Rng,
    ) {
        self.refill(now);
        self.share = share.clamp(0.0, 1.0);
        let mut before = std::mem::take(&mut self.servers);
        for (server, slots) in servers {
            let mut backend = before.remove(&server).unwrap_or_default();
            backend.set_slots(slots, rng);
            self.servers.insert(server, backend);
        }
        // Requests at a server that is no longer usable still end.
        before.retain(|_, backend| backend.in_flight > 0);
        for (server, mut backend) in before {
            backend.remove_slots();
            self.servers.insert(server, backend);
        }
    }

    /// Decides on a request that arrived.
    pub fn arrive(&mut self, now: Clock, arrival: &Arrival<'_>, rng: &mut impl Rng) -> Verdict {
        let tightest = self.objective.unwrap_or(arrival.objective);
        self.objective = Some(tightest.min(arrival.objective));
        if !self.is_active(now) {
            if let Some(deadline) = arrival.deadline {
                let deadlines = &mut self.deadlines;
                deadlines.record(arrival.route, arrival.team, deadline);
            }
            return Verdict::Send;
        }
        self.refill(now);
        if self.line.is_empty() && self.has_room() {
            return Verdict::Send;
        }
        self.observe(now);
        let wait = Duration::try_from_secs_f64(MAX_SENDS_AWAITED / self.rate());
        let latest = arrival.at + wait.unwrap_or(MAX_WAIT).min(MAX_WAIT);
        let is_return = arrival.deadline.is_some_and(|deadline| {
            let deadlines = &self.deadlines;
            deadlines.is_return(arrival.route, arrival.team, deadline, arrival.objective)
        });
        let order = Order {
            rank: arrival.rank,
            is_late: is_return,
            latest,
        };
        let ahead = self.line.ahead(order);
        if now + self.expected_wait(ahead) > latest || !self.has_place() {
            return Verdict::Refuse(self.retry_after(now, rng));
        }
        Verdict::Wait(self.line.push(order))
    }

    /// Decides again on a request that waits. It is sent in the end: its turn was promised when it
    /// arrived.
    pub fn poll(&mut self, now: Clock, ticket: Ticket) -> Verdict {
        self.refill(now);
        let is_free = !self.is_active(now) || (self.line.is_first(ticket) && self.has_room());
        // A send ahead of its time is made up for by those that fall due after it.
        if is_free || now >= ticket.latest() {
            self.line.remove(ticket);
            return Verdict::Send;
        }
        self.observe(now);
        Verdict::Wait(ticket)
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, ticket: Ticket) {
        self.line.remove(ticket);
    }

    /// Returns whether a request can be sent once more: hedges and retries give way to requests
    /// that were not sent yet.
    pub fn may_repeat(&mut self, now: Clock) -> bool {
        if !self.is_active(now) {
            return true;
        }
        self.refill(now);
        self.line.is_empty() && self.has_room()
    }

    /// Returns the servers that have no room now.
    pub fn full_servers(&mut self, now: Clock) -> Vec<Server> {
        if !self.is_active(now) {
            return Vec::new();
        }
        self.refill(now);
        let terms = self.terms();
        let full = self.servers.iter();
        let full = full.filter(|(_, backend)| !backend.has_room(&terms));
        full.map(|(server, _)| server.clone()).collect()
    }

    /// Records that a request was sent to a server.
    pub fn sent(&mut self, server: &Server) {
        if !self.servers.contains_key(server) {
            // Servers come back under new names.
            let now = self.result_at;
            let is_used = |backend: &Backend| {
                backend.in_flight > 0 || backend.has_result_since(now, IDLE_TTL)
            };
            self.servers.retain(|_, backend| is_used(backend));
        }
        self.servers.entry(server.clone()).or_default().sent();
    }

    /// Records the end of a request that was sent to a server. Returns whether the bound has just
    /// taken effect.
    pub fn done(
        &mut self,
        now: Clock,
        server: &Server,
        objective: Duration,
        ending: Ending,
        rng: &mut impl Rng,
    ) -> bool {
        self.refill(now);
        let service_time = self.times.recent();
        let Some(backend) = self.servers.get_mut(server) else {
            return false;
        };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        let time = match ending {
            Ending::Answered(time) => time.as_secs_f64(),
            // Its answer would have been late.
            Ending::Rejected => objective.as_secs_f64() * REJECTED_TIME,
            Ending::Other => return false,
        };
        let is_bad = time > objective.as_secs_f64();
        let is_active = self.active.is_some();
        let is_bounded = is_active && self.times.is_bounded(now, time);
        backend.record(now, time, is_bad, is_bounded.then_some(service_time));
        if !is_active && matches!(ending, Ending::Answered(_)) {
            backend.measure(time);
        }
        let elapsed = now.saturating_sub(self.result_at).as_secs_f64();
        self.result_at = now;
        let (min, max) = BAD_EWMA_WEIGHTS;
        let weight = (elapsed / BAD_TIME_S).clamp(min, max);
        self.bad += weight * (f64::from(u8::from(is_bad)) - self.bad);
        let target = self.target();
        self.times
            .record(now, time, self.active.is_some().then_some(target), is_bad);
        let is_told = is_bad && self.peers.is_told(now);
        if !is_told && !self.is_over_capacity(now) {
            return false;
        }
        self.observe(now);
        if self.active.is_some() {
            return false;
        }
        self.activate(now, Some(now), rng);
        true
    }

    /// Returns the number of requests of all processes that may be at the servers.
    pub fn bound(&self) -> f64 {
        let terms = self.terms();
        let bounds = self.servers.values().map(|backend| backend.bound(&terms));
        bounds.sum()
    }

    /// Returns the requests per second that this process may send now.
    pub fn rate(&self) -> f64 {
        let terms = self.terms();
        let rates = self.servers.values().map(|backend| backend.rate(&terms));
        rates.sum()
    }

    fn activate(&mut self, now: Clock, observed: Option<Clock>, rng: &mut impl Rng) {
        self.active = Some(Active {
            since: now,
            observed,
        });
        self.deadlines.begin();
        self.times.adopt(self.peers.rates());
        let times = self.servers.values().filter_map(Backend::mean_time);
        let (sum, count) = times.fold((0.0, 0.0), |(sum, count), time| (sum + time, count + 1.0));
        let mean = sum / f64::max(count, 1.0);
        // The queues have to become shorter first.
        let pause = (self.times.recent() - self.target()).max(0.0);
        let pause = Duration::try_from_secs_f64(pause).unwrap_or_default();
        let target = self.target();
        self.times.begin(now + pause, target);
        for backend in self.servers.values_mut() {
            backend.begin(mean, now + pause, rng);
        }
    }

    /// Returns whether the bound is in force, and ends it if it isn't.
    pub fn is_active(&mut self, now: Clock) -> bool {
        let Some(active) = self.active else {
            return false;
        };
        let observed = active.observed.unwrap_or(active.since);
        if now.saturating_sub(observed) > HOLD_TIME && !self.peers.is_most(now) {
            self.active = None;
            self.last_return = Clock::ZERO;
        }
        self.active.is_some()
    }

    /// Records that the overload was observed now.
    fn observe(&mut self, now: Clock) {
        if let Some(active) = &mut self.active {
            active.observed = Some(now);
        }
    }

    fn is_over_capacity(&self, now: Clock) -> bool {
        if self.bad < OVER_CAPACITY_SHARE {
            return false;
        }
        let recent = self.servers.values();
        let recent = recent.filter(|backend| backend.has_result_since(now, RESULT_TTL));
        let (mut over, mut known) = (0.0, 0.0);
        for backend in recent {
            known += 1.0;
            if backend.bad > OVER_CAPACITY_SHARE {
                over += 1.0;
            }
        }
        over > 0.0 && over >= known * OVER_CAPACITY_SERVERS
    }

    /// Returns the time within which requests that are sent should be answered, in seconds.
    fn target(&self) -> f64 {
        self.times.target(self.objective.unwrap_or_default())
    }

    fn terms(&self) -> Terms {
        let target = self.target();
        Terms {
            base_s: self.times.base_or(self.objective.unwrap_or_default()),
            factor: self.times.factor(),
            pressure: self.times.pressure(target),
            target_s: target,
            share: self.share,
        }
    }

    fn refill(&mut self, now: Clock) {
        if self.active.is_some() {
            let target = self.target();
            self.times.advance(now, target);
        }
        let terms = self.terms();
        for backend in self.servers.values_mut() {
            backend.refill(now, &terms);
        }
    }

    /// Returns whether one more request can be promised a send, as promised ones count like those
    /// in progress.
    fn has_place(&self) -> bool {
        let in_flight: u32 = self.servers.values().map(|backend| backend.in_flight).sum();
        let taken = f64::from(in_flight) + self.line.len() as f64;
        taken < limit(self.share * self.bound())
    }

    fn has_room(&self) -> bool {
        let terms = self.terms();
        let in_flight: u32 = self.servers.values().map(|backend| backend.in_flight).sum();
        f64::from(in_flight) < limit(terms.share * self.bound())
            && self
                .servers
                .values()
                .any(|backend| backend.has_room(&terms))
    }

    /// Returns the expected time until a request with `ahead` others before it can be sent.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let terms = self.terms();
        let due = |backend: &Backend| backend.due_sends(&terms);
        let due: f64 = self.servers.values().map(due).sum();
        let first = self
            .servers
            .values()
            .filter_map(|backend| backend.next_send(&terms))
            .fold(f64::INFINITY, f64::min);
        let missing = (ahead as f64 - due.floor()).max(0.0);
        let wait = first + missing / self.rate().max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX / 2)
    }

    /// Returns when a refused caller may return. Callers return one by one, at the rate at which
    /// requests can be sent.
    pub fn retry_after(&mut self, now: Clock, rng: &mut impl Rng) -> Duration {
        let (min, max) = RETRY_AFTER;
        let interval = Duration::try_from_secs_f64(1.0 / self.rate()).unwrap_or(max);
        let next = self.last_return.max(now + min) + interval.min(max);
        let latest = now + max;
        if next <= latest {
            self.last_return = next;
            return next - now;
        }
        max.mul_f64(rng.random_range(0.5..1.0))
    }
}
