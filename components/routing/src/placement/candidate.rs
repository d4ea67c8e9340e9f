//! State of one server as a candidate for work.

use std::time::Duration;

use names::{
    Clock,
    DataCentre,
    Server, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    MAX_UNPARTITIONED_PROCESSES,
    Request,
    Spec,
    Suspicion,
    Work,
    notice::Notice,
    rate_limit::RateLimit,
    speed::Recent,
    suspicion::Domain, //
};
use crate::member::Member;

/// Suspension of a server that can't be reached; it doubles with each consecutive one.
const INITIAL_SUSPENSION: Duration = Duration::from_millis(400);

/// Maximum suspension: servers that crash are back within seconds.
const MAX_SUSPENSION: Duration = Duration::from_secs(3);

/// Time after the first request following a suspension during which the server gets no other.
/// Otherwise all requests that arrive as a suspension ends go to the server that just failed, as it
/// is idle.
const TRIAL_TIME: Duration = Duration::from_millis(400);

/// Weight of pending prompt tokens against the memory that they fill. Prompt processing delays all
/// runs on the server; memory only matters when it runs out.
const PREFILL_WEIGHT: f64 = 4.0;

/// Weight of a prompt for each request on the server: the request is delayed while the prompt is
/// processed.
const INTERFERENCE_WEIGHT: f64 = 2.0;

/// Share of slots in use up to which a server counts as idle.
const MAX_IDLE_SLOT_SHARE: f64 = 0.25;

/// Load added to a server in another data centre.
const CROSS_DATA_CENTRE_PENALTY: f64 = 0.01;

/// Maximum load added for the distance of a server from the process's partition. It is less than
/// the load of one prompt, so that it only breaks ties.
const MAX_OFFSET: f64 = 0.05;

/// The same in a large fleet, where a hundred processes choose within the time that a message
/// takes.
const PARTITIONED_MAX_OFFSET: f64 = 0.15;

/// Load added to a server whose load from other processes is known only after seconds: less than a
/// pending prompt, so that no prompt waits behind another while a server is idle.
const UNTRACKED_PENALTY: f64 = 0.12;

/// A candidate server for work.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) spec: Spec,
    /// Failure domain; stored because each choice looks it up for each server.
    pub(super) domain: Domain,
    pub(super) registered_as_leaving: bool,
    pub(super) member: Member,
    pub(super) own_work: Work,
    pub(super) peer_work: Work,
    /// Slowness in the last seconds, relative to the steady one.
    pub(super) recent: Recent,
    /// Steady slowness relative to the other servers of the service.
    pub(super) steady: f64,
    /// Limit that the server names on the rate of requests.
    pub(super) rate_limit: RateLimit,
    /// What the server said of itself.
    pub(super) notice: Notice,
    suspended_until: Clock,
    suspicion: Suspicion,
    consecutive_suspensions: u32,
    /// End of the trial period of the first work after a suspension.
    trial_until: Clock,
    /// Time of the last evidence that the server is alive.
    pub(super) last_alive: Clock,
    /// Load added for the distance from this process's partition.
    offset: f64,
    /// Whether the server is in this process's partition, or there are no partitions.
    pub(super) is_owned: bool,
    /// Whether the load from other processes is known without much delay: the fleet is small, or
    /// the server is in this process's data centre.
    pub(super) is_tracked: bool,
}

impl Candidate {
    pub(super) fn new(now: Clock, server: &Server, spec: Spec, leaving: bool) -> Candidate {
        Candidate {
            domain: domain(&spec),
            spec,
            registered_as_leaving: leaving,
            member: Member::new(now, server.clone()),
            own_work: Work::default(),
            peer_work: Work::default(),
            recent: Recent::default(),
            steady: 1.0,
            rate_limit: RateLimit::default(),
            notice: Notice::default(),
            suspended_until: Clock::ZERO,
            suspicion: Suspicion::Refused,
            consecutive_suspensions: 0,
            trial_until: Clock::ZERO,
            last_alive: now,
            offset: 0.0,
            is_owned: true,
            is_tracked: true,
        }
    }

    /// Updates the registration.
    pub(super) fn set_spec(&mut self, spec: Spec) {
        self.domain = domain(&spec);
        self.spec = spec;
    }

    /// Returns 1 for a server as fast as the others of its service, 2 for one that takes twice as
    /// long.
    pub(super) fn slowness(&self, now: Clock) -> f64 {
        self.steady * self.recent.slowness(now)
    }

    pub(super) fn suspend(&mut self, now: Clock, suspicion: Suspicion) {
        let duration = INITIAL_SUSPENSION * (1 << self.consecutive_suspensions.min(4));
        self.suspended_until = now + duration.min(MAX_SUSPENSION);
        self.suspicion = suspicion;
        self.consecutive_suspensions += 1;
        self.trial_until = Clock::ZERO;
    }

    pub(super) fn mark_alive(&mut self, now: Clock) {
        self.suspended_until = Clock::ZERO;
        self.consecutive_suspensions = 0;
        self.trial_until = Clock::ZERO;
        self.last_alive = self.last_alive.max(now);
    }

    /// Records work that was sent to the server.
    pub(super) fn sent(&mut self, now: Clock, work: Work) {
        self.own_work.add(work);
        self.member.sent(now);
        if self.consecutive_suspensions > 0 {
            self.trial_until = now + TRIAL_TIME;
        }
    }

    /// Returns whether the server leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.registered_as_leaving || self.notice.is_leaving()
    }

    /// Returns from when this process may send the server a request.
    pub(super) fn next_request_at(&self, now: Clock) -> Clock {
        let limited_until = self.rate_limit.next_send_at(now);
        limited_until.max(self.notice.next_request_at())
    }

    /// Returns whether new work should go elsewhere.
    pub(super) fn is_suspended(&self, now: Clock) -> bool {
        self.suspended_until > now || self.trial_until > now
    }

    /// Returns whether the server was recently unreachable.
    pub(super) fn is_unreachable(&self, now: Clock) -> bool {
        self.suspended_until > now && self.suspicion.is_unreachable()
    }

    /// Returns whether the server was known to be alive at `at` or later, or is suspended beyond
    /// it.
    pub(super) fn has_newer_evidence(&self, at: Clock) -> bool {
        self.last_alive >= at || self.suspended_until > at
    }

    pub(super) fn total_work(&self) -> Work {
        let mut total = self.own_work;
        total.add(self.peer_work);
        total
    }

    /// Returns the share of memory in use with `work` added.
    pub(super) fn memory_use_with(&self, work: Work) -> f64 {
        match self.spec.memory {
            0 => 0.0,
            memory => (self.total_work().tokens + work.tokens) as f64 / memory as f64,
        }
    }

    pub(super) fn fits(&self, work: Work) -> bool {
        let total = self.total_work();
        let has_slot = total.requests < self.spec.slots.max(1);
        has_slot && (self.spec.memory == 0 || total.tokens + work.tokens <= self.spec.memory)
    }

    /// Returns how many more requests of the size of `work` the server can begin now: by its slots,
    /// its memory and, if known, the prompt tokens that it can process within the time for a first
    /// event.
    pub(super) fn room(&self, now: Clock, work: Work, tokens: Option<f64>) -> u32 {
        let total = self.total_work();
        let mut room = self.spec.slots.saturating_sub(total.requests);
        if self.spec.memory == 0 {
            return room;
        }
        let free = self.spec.memory.saturating_sub(total.tokens);
        room = room.min(quotient(free, work.tokens));
        if let Some(tokens) = tokens {
            // Many processes count the same room, so a faster server offers no more than others.
            let slowness = self.steady.max(1.0) * self.recent.slowness(now);
            let prefillable = (tokens / slowness) as u64;
            let prompts = quotient(
                prefillable.saturating_sub(total.prefill_tokens),
                work.prefill_tokens,
            );
            // A prompt that takes longer than that does so on any server, and no server begins it
            // sooner than an idle one.
            room = room.min(prompts.max(u32::from(total.prefill_tokens == 0 && self.is_idle())));
        }
        room
    }

    /// Returns whether so few requests run that a prompt is processed at about full speed.
    fn is_idle(&self) -> bool {
        f64::from(self.total_work().requests) <= MAX_IDLE_SLOT_SHARE * f64::from(self.spec.slots)
    }

    /// Returns the load of the server with the request added; `cached` is the number of prompt
    /// tokens that it has cached.
    pub(super) fn load(&self, now: Clock, request: &Request<'_>, cached: u64) -> f64 {
        let total = self.total_work();
        let slowness = self.slowness(now);
        let requests = f64::from(total.requests + request.work.requests);
        let mut load = requests / f64::from(self.spec.slots.max(1)) * slowness;
        if self.spec.memory > 0 {
            let prefill_tokens =
                total.prefill_tokens + request.work.prefill_tokens.saturating_sub(cached);
            let prefill = PREFILL_WEIGHT * prefill_tokens as f64 * slowness;
            let memory = self.spec.memory as f64;
            let prompt = request.work.prefill_tokens.saturating_sub(cached) as f64;
            let interference = INTERFERENCE_WEIGHT * prompt * f64::from(total.requests) * slowness;
            load += (prefill + interference) / memory + (total.tokens as f64 / memory).powi(2);
        }
        if self.spec.data_centre != *request.data_centre {
            load += CROSS_DATA_CENTRE_PENALTY;
        }
        if !self.is_tracked {
            load += UNTRACKED_PENALTY;
        }
        load + self.offset
    }

    /// Sets the rank of this process among all processes, and their number. If there are too many
    /// processes to track each other's load, the servers are partitioned, so that processes that
    /// see the same loads at the same time don't choose the same servers.
    pub(super) fn set_rank(
        &mut self,
        server: &str,
        (rank, count): (usize, usize),
        data_centre: &DataCentre,
    ) {
        let count = count.max(1);
        let hash = xxh3_64(server.as_bytes()) as usize;
        let distance = (hash % count + count - rank % count) % count;
        let is_small_fleet = count as f64 <= MAX_UNPARTITIONED_PROCESSES;
        let max_offset = if is_small_fleet {
            MAX_OFFSET
        } else {
            PARTITIONED_MAX_OFFSET
        };
        self.offset = max_offset * distance as f64 / count as f64;
        self.is_owned = distance == 0 || is_small_fleet;
        self.is_tracked = is_small_fleet || self.spec.data_centre == *data_centre;
    }
}

fn quotient(whole: u64, each: u64) -> u32 {
    u32::try_from(whole / each.max(1)).unwrap_or(u32::MAX)
}

fn domain(spec: &Spec) -> Domain {
    (spec.data_centre.clone(), spec.service.clone())
}
