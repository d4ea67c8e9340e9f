//! One server as a place for work.

use std::time::Duration;

use names::{
    Clock,
    DataCentre,
    Server, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    FEW,
    Request,
    Spec,
    Suspicion,
    Work,
    suspicion::Domain, //
};
use crate::member::Member;

/// Time for which a server that couldn't be reached gets no new work while there are others; it
/// doubles with each time in a row.
const SUSPENSION: Duration = Duration::from_millis(400);

/// Longest such time: servers that crash are back within seconds.
const MAX_SUSPENSION: Duration = Duration::from_secs(3);

/// Time for which the first work after a suspension goes alone. Without it all that comes at the
/// moment a suspension ends goes to the server that failed last, as it has nothing to do.
const TRIAL_TIME: Duration = Duration::from_millis(400);

/// Weight of a prompt that is still to be read, against the memory that it fills. Reading delays
/// all that runs beside it; memory only counts when it runs out.
const UNREAD_WEIGHT: f64 = 4.0;

/// Weight of a prompt for each request that runs beside it: it is delayed while the prompt is read.
const INTERFERENCE_WEIGHT: f64 = 2.0;

/// Part of its slots up to which a server counts as idle.
const IDLE: f64 = 0.25;

/// Load that a server in another data centre must be lower by to be preferred.
const CROSS_DATA_CENTRE_PENALTY: f64 = 0.01;

/// Largest offset between entries: less than a single prompt, so that it only breaks ties.
const TIE_BREAK: f64 = 0.05;

/// The same in a large fleet: a hundred entries choose within the time that a message takes.
const DIVIDED_TIE_BREAK: f64 = 0.15;

/// Load that a server of which little is known must be lower by to be preferred: less than a prompt
/// that is to be read, so that nobody waits behind one while a server stands idle.
const UNFOLLOWED_PENALTY: f64 = 0.12;

/// A server as a place for work.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) facts: Spec,
    /// Where it may be lost together with others; looked up for each server at each choice.
    pub(super) domain: Domain,
    pub(super) leaving: bool,
    pub(super) member: Member,
    pub(super) own: Work,
    pub(super) peers: Work,
    pub(super) speed: Speed,
    suspended: Clock,
    suspicion: Suspicion,
    row: u32,
    /// While this is ahead, work after a suspension is on trial.
    trial: Clock,
    /// Last sign of life.
    pub(super) heard: Clock,
    /// Load that is added for its distance from this entry's part of the servers.
    offset: f64,
    /// It is of this entry's part, or all entries know what the others send.
    pub(super) is_own: bool,
    /// What other entries send there is known soon: the fleet is small, or the server is in this
    /// entry's data centre.
    pub(super) followed: bool,
}

impl Candidate {
    pub(super) fn new(now: Clock, server: &Server, facts: Spec, leaving: bool) -> Candidate {
        Candidate {
            domain: domain(&facts),
            facts,
            leaving,
            member: Member::new(now, server.clone()),
            own: Work::default(),
            peers: Work::default(),
            speed: Speed::default(),
            suspended: Clock::ZERO,
            suspicion: Suspicion::Refused,
            row: 0,
            trial: Clock::ZERO,
            heard: now,
            offset: 0.0,
            is_own: true,
            followed: true,
        }
    }

    /// Takes what is known of the server now.
    pub(super) fn learn(&mut self, facts: Spec) {
        self.domain = domain(&facts);
        self.facts = facts;
    }

    pub(super) fn suspend(&mut self, now: Clock, suspicion: Suspicion) {
        let time = SUSPENSION * (1 << self.row.min(4));
        self.suspended = now + time.min(MAX_SUSPENSION);
        self.suspicion = suspicion;
        self.row += 1;
        self.trial = Clock::ZERO;
    }

    pub(super) fn alive(&mut self, now: Clock) {
        self.suspended = Clock::ZERO;
        self.row = 0;
        self.trial = Clock::ZERO;
        self.heard = self.heard.max(now);
    }

    /// Notes that work goes there.
    pub(super) fn sent(&mut self, now: Clock, work: Work) {
        self.own.add(work);
        self.member.sent(now);
        if self.row > 0 {
            self.trial = now + TRIAL_TIME;
        }
    }

    /// Whether new work should go elsewhere.
    pub(super) fn is_suspended(&self, now: Clock) -> bool {
        self.suspended > now || self.trial > now
    }

    /// Whether it couldn't be reached a moment ago.
    pub(super) fn is_unreachable(&self, now: Clock) -> bool {
        self.suspended > now && self.suspicion.unreachable()
    }

    /// Whether it was heard, or suspended, after a time.
    pub(super) fn knows_better(&self, at: Clock) -> bool {
        self.heard >= at || self.suspended > at
    }

    pub(super) fn all(&self) -> Work {
        let mut all = self.own;
        all.add(self.peers);
        all
    }

    /// Part of the memory that is taken with some more work.
    pub(super) fn use_with(&self, work: Work) -> f64 {
        match self.facts.memory {
            0 => 0.0,
            memory => (self.all().tokens + work.tokens) as f64 / memory as f64,
        }
    }

    pub(super) fn fits(&self, work: Work) -> bool {
        let all = self.all();
        let slots = all.requests < self.facts.slots.max(1);
        slots && (self.facts.memory == 0 || all.tokens + work.tokens <= self.facts.memory)
    }

    /// How many more requests with some work the server could begin now: by its slots, its memory,
    /// and the tokens of prompts that it can read in the time for a first event, where that is known.
    pub(super) fn room(&self, now: Clock, work: Work, tokens: Option<f64>) -> u32 {
        let all = self.all();
        let mut room = self.facts.slots.saturating_sub(all.requests);
        if self.facts.memory == 0 {
            return room;
        }
        let free = self.facts.memory.saturating_sub(all.tokens);
        room = room.min(count(free, work.tokens));
        if let Some(tokens) = tokens {
            let readable = (tokens / self.speed.slowness(now)) as u64;
            let begun = count(readable.saturating_sub(all.unread), work.unread);
            // A prompt that takes longer takes it anywhere; no server begins it sooner than an idle one.
            room = room.min(begun.max(u32::from(all.unread == 0 && self.is_idle())));
        }
        room
    }

    /// Whether so little runs there that a prompt is read at about the full pace.
    fn is_idle(&self) -> bool {
        f64::from(self.all().requests) <= IDLE * f64::from(self.facts.slots)
    }

    /// The load that the server would have with the work, of whose prompt it has `known` tokens.
    pub(super) fn load(&self, now: Clock, request: &Request<'_>, known: u64) -> f64 {
        let all = self.all();
        let slowness = self.speed.slowness(now);
        let requests = f64::from(all.requests + request.work.requests);
        let mut load = requests / f64::from(self.facts.slots.max(1)) * slowness;
        if self.facts.memory > 0 {
            let unread = all.unread + request.work.unread.saturating_sub(known);
            let reading = UNREAD_WEIGHT * unread as f64 * slowness;
            let memory = self.facts.memory as f64;
            let prompt = request.work.unread.saturating_sub(known) as f64;
            let disturbed = INTERFERENCE_WEIGHT * prompt * f64::from(all.requests) * slowness;
            load += (reading + disturbed) / memory + (all.tokens as f64 / memory).powi(2);
        }
        if self.facts.data_centre != *request.data_centre {
            load += CROSS_DATA_CENTRE_PENALTY;
        }
        if !self.followed {
            load += UNFOLLOWED_PENALTY;
        }
        load + self.offset
    }

    /// Notes the place of this entry among all, and their number. Entries that are too many to know
    /// what the others send have a part of the servers each, so that those which see the same loads
    /// at the same moment don't choose the same servers.
    pub(super) fn stand(
        &mut self,
        server: &str,
        (place, count): (usize, usize),
        home: &DataCentre,
    ) {
        let count = count.max(1);
        let hash = xxh3_64(server.as_bytes()) as usize;
        let turn = (hash % count + count - place % count) % count;
        let few = count as f64 <= FEW;
        let most = if few { TIE_BREAK } else { DIVIDED_TIE_BREAK };
        self.offset = most * turn as f64 / count as f64;
        self.is_own = turn == 0 || few;
        self.followed = few || self.facts.data_centre == *home;
    }
}

fn count(whole: u64, each: u64) -> u32 {
    u32::try_from(whole / each.max(1)).unwrap_or(u32::MAX)
}

/// Weight of a new reading in a server's slowness.
const EWMA_WEIGHT: f64 = 0.25;

/// Bounds of one reading: a single long request says little.
const RATIO_BOUNDS: (f64, f64) = (0.25, 10.0);

/// Time after which a slowness that isn't read again counts half: a server that gets no work for
/// its slowness must be tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// How slow a server is against the others of its service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    slowness: f64,
    at: Clock,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            slowness: 1.0,
            at: Clock::ZERO,
        }
    }
}

impl Speed {
    /// Takes a reading: the time that a piece of work took, against the usual one.
    pub(super) fn learn(&mut self, now: Clock, ratio: f64) {
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let known = self.slowness(now);
        self.slowness = known + EWMA_WEIGHT * (ratio - known);
        self.at = now;
    }

    /// 1 for a server that is as quick as the others, 2 for one that takes twice as long.
    pub(super) fn slowness(&self, now: Clock) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let left = (-age / HALF_LIFE.as_secs_f64()).exp2();
        1.0 + (self.slowness - 1.0) * left
    }
}

fn domain(facts: &Spec) -> Domain {
    (facts.data_centre.clone(), facts.service.clone())
}
