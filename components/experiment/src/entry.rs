//! One entry: the production placement and admission gate, and the state that they decide on.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Duration, //
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
    order,
    scarcity::{
        Scarcity,
        Standing, //
    },
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

/// Time for which engines count as under pressure after a request has waited.
const PRESSURE_WINDOW: Clock = Clock::from_secs(5);

pub(crate) struct Entry {
    pub(crate) data_centre: String,
    pub(crate) placement: Placement,
    gate: Gate,
    /// Order of requests that differ in rank or objective.
    scarcity: Option<Scarcity>,
    waiting: HashMap<Ticket, Id>,
    last_wait: Option<Clock>,
    /// Requests that wait at this entry and can still meet the first-event target.
    waiting_in_time: HashSet<Id>,
    /// Number of such requests at the other entries, as of the last beacon.
    pub(crate) peers_in_time: u32,
    cursor: usize,
    policy: Policy,
    work: Work,
}

/// The gate's decision on a request.
pub(crate) enum Decision {
    Admit(Id),
    Refuse(Id, Clock),
}

impl Entry {
    pub(crate) fn new(setup: &Setup, policy: Policy, data_centre: String, index: usize) -> Entry {
        let mut placement = Placement::default();
        placement.set_rank((index, setup.entries));
        let tokens =
            (setup.mean_lengths.0 + setup.mean_lengths.1 * setup.tokens_per_event as f64) as u64;
        Entry {
            data_centre,
            placement,
            gate: Gate::new(Settings {
                first_output_target: setup.first_event_target,
                min_concurrency_factor: 1.0,
                ..Settings::default()
            }),
            scarcity: None,
            waiting: HashMap::new(),
            last_wait: None,
            waiting_in_time: HashSet::new(),
            peers_in_time: 0,
            cursor: 0,
            policy,
            work: Work {
                requests: 1,
                tokens,
                prefill_tokens: setup.mean_lengths.0 as u64,
            },
        }
    }

    /// Reports this entry's share of the free capacity to the gate.
    fn report(&mut self, setup: &Setup, now: Clock, in_time: bool, rng: &mut SmallRng) {
        let service = service();
        let room = |within: Duration| {
            let any = Versions::Any;
            let room = self.placement.room(now, &service, any, self.work, within);
            match self.waiting_in_time.is_empty() && !in_time {
                true => wait::room_behind(room, self.peers_in_time),
                false => room,
            }
        };
        let (entries, draw) = (setup.entries as u32, rng.random_range(0.0..1.0));
        let running = self.gate.running();
        let (room, order) = match &self.scarcity {
            Some(scarcity) => {
                let room = scarcity.room(now, entries, |_, within| room(within), draw);
                (room.first, (order::Policy::Cost, room.bound(running)))
            }
            None => {
                let room = room(wait::engine_time(setup.first_event_target));
                let room = wait::share(room, entries, draw);
                (room, (order::Policy::Fair, None))
            }
        };
        self.gate.report(Report {
            capacity: running.saturating_add(room),
            load: running,
            processes: 1,
        });
        self.gate.set_order(order.0, order.1);
    }

    /// Records the arrival of a request that differs from others, and returns the time reserved for
    /// its engine; `size` is relative to the mean.
    pub(crate) fn record_arrival(
        &mut self,
        now: Clock,
        standing: &Standing,
        size: f64,
        objective: Duration,
    ) -> Duration {
        let scarcity = self.scarcity.get_or_insert_default();
        scarcity.arrive(now, standing, objective);
        standing.engine_time(size, objective)
    }

    /// Admits, queues or refuses a request; returns `None` if it is queued.
    pub(crate) fn arrive(
        &mut self,
        setup: &Setup,
        now: Clock,
        (id, team, cost): (Id, &Team, u64),
        waited: Duration,
        wait: &Wait,
        rng: &mut SmallRng,
    ) -> Option<Decision> {
        self.report(setup, now, wait.in_time, rng);
        let arrival = Arrival {
            team,
            limit: wait.limit,
            cost,
            max_wait: wait.max_wait,
            waited,
            resume: false,
        };
        match self.gate.arrive(now, &arrival, rng) {
            Verdict::Admit => Some(Decision::Admit(id)),
            Verdict::Queue(ticket) => {
                self.waiting.insert(ticket, id);
                if wait.in_time {
                    self.waiting_in_time.insert(id);
                }
                None
            }
            Verdict::Refuse { retry_after, .. } => Some(Decision::Refuse(id, retry_after)),
        }
    }

    /// Number of requests that wait here and can still meet the first-event target.
    pub(crate) fn waiting_in_time(&self) -> u32 {
        self.waiting_in_time.len() as u32
    }

    /// Returns the requests in the queue that the gate admits or refuses now.
    pub(crate) fn tick(&mut self, setup: &Setup, now: Clock, rng: &mut SmallRng) -> Vec<Decision> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        self.last_wait = Some(now);
        self.report(setup, now, false, rng);
        let mut decisions = Vec::new();
        for released in self.gate.tick(now, rng) {
            let (Released::Admit(ticket) | Released::Refuse { ticket, .. }) = &released;
            let Some(id) = self.waiting.remove(ticket) else {
                continue;
            };
            self.waiting_in_time.remove(&id);
            decisions.push(match released {
                Released::Admit(_) => Decision::Admit(id),
                Released::Refuse { retry_after, .. } => Decision::Refuse(id, retry_after),
            });
        }
        decisions
    }

    /// Reports the end of an admitted request to the gate.
    pub(crate) fn finish(&mut self, team: &Team, done: &Done) {
        self.gate.finish(team, done);
    }

    /// Chooses the server for a request.
    pub(crate) fn choose(
        &mut self,
        now: Clock,
        work: Work,
        within: Option<Clock>,
        parts: &[(u64, u32)],
        avoid: &[Server],
        rng: &mut SmallRng,
    ) -> Option<Server> {
        if self.policy == Policy::RoundRobin {
            let mut servers: Vec<&Server> = self.placement.servers().collect();
            servers.sort_unstable();
            self.cursor += 1;
            return servers
                .get(self.cursor % servers.len().max(1))
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
            within,
        };
        let choice = self.placement.choose(now, &request, rng)?;
        Some(choice.server)
    }

    /// Chooses the server that holds the backup copy of a run's KV cache.
    ///
    /// Returns `None` if the policy makes no copies at present or no server has room.
    pub(crate) fn backup(
        &mut self,
        now: Clock,
        work: Work,
        server: &Server,
        rng: &mut SmallRng,
    ) -> Option<Server> {
        let under_pressure = self
            .last_wait
            .is_some_and(|at| now.saturating_sub(at) < PRESSURE_WINDOW);
        if !self.policy.copies(under_pressure) {
            return None;
        }
        let (service, home) = (service(), self.data_centre.clone());
        let own = self.placement.spec(server)?.data_centre.clone();
        let request = Request {
            service: &service,
            data_centre: &home,
            work: Work {
                requests: 0,
                prefill_tokens: 0,
                ..work
            },
            parts: &[],
            avoid: std::slice::from_ref(server),
            versions: Versions::Any,
            avoid_data_centre: Some(&own),
            within: None,
        };
        let choice = self.placement.choose_backup(now, &request, rng)?;
        Some(choice.server)
    }

    /// Reports the end of work on a server to the placement.
    pub(crate) fn done(&mut self, now: Clock, server: &Server, work: Work, outcome: Outcome) {
        self.placement.done(now, server, work, outcome);
    }
}

/// Name of the only service in a simulation.
pub(crate) fn service() -> String {
    "writer".into()
}
