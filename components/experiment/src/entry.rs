//! One entry: the production decisions, and what they know.

use std::collections::{
    HashMap,
    HashSet, //
};

use admission::{
    Arrival,
    Done,
    Gate,
    Released,
    Report,
    Settings,
    Ticket,
    Verdict,
    wait::{
        self,
        Wait, //
    }, //
};
use names::{
    Clock,
    Server,
    Team, //
};
use rand::{
    RngExt,
    rngs::SmallRng, //
};
use routing::{
    Outcome,
    Placement,
    placement::{
        Request,
        Versions,
        Work, //
    }, //
};

use crate::{
    Policy,
    Setup,
    engine::Id, //
};

/// Time after a wait for which engines count as pressed.
const PRESSED: Clock = Clock::from_secs(5);

pub(crate) struct Entry {
    pub(crate) data_centre: String,
    pub(crate) placement: Placement,
    gate: Gate,
    waiting: HashMap<Ticket, Id>,
    waited: Option<Clock>,
    /// Requests here that can still be in time.
    hurried: HashSet<Id>,
    /// Such requests at other entries.
    pub(crate) others: u32,
    next: usize,
    policy: Policy,
    work: Work,
}

/// What becomes of a request at the gate.
pub(crate) enum Gated {
    Goes(Id),
    Refused(Id, Clock),
}

impl Entry {
    pub(crate) fn new(setup: &Setup, policy: Policy, data_centre: String, place: usize) -> Entry {
        let mut placement = Placement::default();
        placement.set_position((place, setup.entries));
        let tokens = (setup.size.0 + setup.size.1 * setup.event as f64) as u64;
        Entry {
            data_centre,
            placement,
            gate: Gate::new(Settings {
                first_token_target: setup.objective,
                min_factor: 1.0,
                ..Settings::default()
            }),
            waiting: HashMap::new(),
            waited: None,
            hurried: HashSet::new(),
            others: 0,
            next: 0,
            policy,
            work: Work {
                requests: 1,
                tokens,
                unread: setup.size.0 as u64,
            },
        }
    }

    fn report(&mut self, setup: &Setup, now: Clock, fresh: bool, rng: &mut SmallRng) {
        let within = wait::engine_time(setup.objective);
        let service = service();
        let any = Versions::Any;
        let room = self.placement.room(now, &service, any, self.work, within);
        let room = match self.hurried.is_empty() && !fresh {
            true => wait::room_behind(room, self.others),
            false => room,
        };
        let room = wait::share(room, setup.entries as u32, rng.random_range(0.0..1.0));
        let running = self.gate.running();
        self.gate.report(Report {
            capacity: running.saturating_add(room),
            load: running,
            entries: 1,
        });
    }

    /// Lets a request in, has it wait, or refuses it.
    pub(crate) fn arrive(
        &mut self,
        setup: &Setup,
        now: Clock,
        (id, team, cost): (Id, &Team, u64),
        turn: &Wait,
        rng: &mut SmallRng,
    ) -> Option<Gated> {
        self.report(setup, now, turn.in_time, rng);
        let arrival = Arrival {
            team,
            limit: turn.limit,
            cost,
            max_wait: turn.max_wait,
            resume: false,
        };
        match self.gate.arrive(now, &arrival, rng) {
            Verdict::Admit => Some(Gated::Goes(id)),
            Verdict::Queue(ticket) => {
                self.waiting.insert(ticket, id);
                if turn.in_time {
                    self.hurried.insert(id);
                }
                None
            }
            Verdict::Refuse { retry_after, .. } => Some(Gated::Refused(id, retry_after)),
        }
    }

    /// Requests that wait here and can still be in time.
    pub(crate) fn hurried(&self) -> u32 {
        self.hurried.len() as u32
    }

    /// Looks at those that wait.
    pub(crate) fn tick(&mut self, setup: &Setup, now: Clock, rng: &mut SmallRng) -> Vec<Gated> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.waited = Some(now);
        self.report(setup, now, false, rng);
        let mut gated = Vec::new();
        for released in self.gate.tick(now, rng) {
            let (Released::Admit(ticket) | Released::Refuse { ticket, .. }) = &released;
            let Some(id) = self.waiting.remove(ticket) else {
                continue;
            };
            self.hurried.remove(&id);
            gated.push(match released {
                Released::Admit(_) => Gated::Goes(id),
                Released::Refuse { retry_after, .. } => Gated::Refused(id, retry_after),
            });
        }
        gated
    }

    /// Notes the end of a request that was let in at a priority.
    pub(crate) fn finish(&mut self, team: &Team, done: &Done) {
        self.gate.finish(team, done);
    }

    pub(crate) fn choose(
        &mut self,
        now: Clock,
        work: Work,
        parts: &[(u64, u32)],
        avoid: &[Server],
        rng: &mut SmallRng,
    ) -> Option<Server> {
        if self.policy == Policy::RoundRobin {
            let mut servers: Vec<&Server> = self.placement.servers().collect();
            servers.sort_unstable();
            self.next += 1;
            return servers
                .get(self.next % servers.len().max(1))
                .copied()
                .cloned();
        }
        let (service, home) = (service(), self.data_centre.clone());
        let request = Request {
            service: &service,
            data_centre: &home,
            work,
            parts,
            avoid,
            versions: Versions::Any,
            avoid_data_centre: None,
        };
        let choice = self.placement.choose(now, &request, rng)?;
        Some(choice.server)
    }

    /// Chooses who holds the copy of a run's memory.
    pub(crate) fn backup(
        &mut self,
        now: Clock,
        work: Work,
        server: &Server,
        rng: &mut SmallRng,
    ) -> Option<Server> {
        let pressed = self
            .waited
            .is_some_and(|at| now.saturating_sub(at) < PRESSED);
        if !self.policy.copies(pressed) {
            return None;
        }
        let (service, home) = (service(), self.data_centre.clone());
        let own = self.placement.spec(server)?.data_centre.clone();
        let request = Request {
            service: &service,
            data_centre: &home,
            work: Work {
                requests: 0,
                unread: 0,
                ..work
            },
            parts: &[],
            avoid: std::slice::from_ref(server),
            versions: Versions::Any,
            avoid_data_centre: Some(&own),
        };
        let choice = self.placement.choose_backup(now, &request, rng)?;
        Some(choice.server)
    }

    pub(crate) fn done(&mut self, now: Clock, server: &Server, work: Work, outcome: Outcome) {
        self.placement.done(now, server, work, outcome);
    }
}

/// The one service of a play.
pub(crate) fn service() -> String {
    "writer".into()
}
