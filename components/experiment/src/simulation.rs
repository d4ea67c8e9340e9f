//! One simulation in virtual time.

use std::{
    cmp::Reverse,
    collections::{
        BinaryHeap,
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use names::{
    Clock,
    Server, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use routing::placement::{
    Spec,
    Work, //
};

use self::{
    callers::Request,
    runs::Assignment, //
};
use crate::{
    Pattern,
    Policy,
    Setup,
    Summary,
    engine::{
        Engine,
        Id,
        Step, //
    },
    entry::{
        Decision,
        Entry,
        service, //
    },
    summary::Outcomes, //
};

mod callers;
mod runs;

/// Increment of the virtual time.
const TICK: Duration = Duration::from_millis(10);

/// Length of the spells in which an engine may be slower.
const SPELL: Duration = Duration::from_millis(600);

/// Time between two messages of an entry about the speeds of engines, and their maximum number in
/// one.
const SPEEDS_INTERVAL: Duration = Duration::from_secs(4);
const SPEEDS_PER_MESSAGE: usize = 14;

/// Time between two beacons of an entry.
const BEACON_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which the registration of a lost engine expires.
const REGISTRY_DELAY: Duration = Duration::from_secs(2);

struct Simulation<'a> {
    setup: &'a Setup,
    pattern: Pattern,
    policy: Policy,
    now: Clock,
    rng: SmallRng,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    /// Rates of the engines' work in the current spell.
    rates: Vec<f64>,
    requests: Vec<Request>,
    retries: BinaryHeap<Reverse<(Clock, Id)>>,
    summary: Summary,
    /// Engines that were lost, and when their registrations expire; oldest first.
    lost: Vec<(Clock, usize)>,
    /// News on the way to the other entries, oldest first.
    news: VecDeque<News>,
}

/// State of all entries that they tell each other.
struct News {
    sent_at: Clock,
    /// Work in progress at the engines, by entry.
    loads: Vec<HashMap<Server, Work>>,
    /// Requests that wait and can still be in time, by entry.
    waiting_in_time: Vec<u32>,
}

/// Simulates a pattern with a policy; the same seed gives the same result.
pub fn simulate(setup: &Setup, pattern: Pattern, policy: Policy, seed: u64) -> Summary {
    let mut simulation = Simulation::new(setup, pattern, policy, seed);
    while simulation.now < setup.duration + setup.timeout {
        simulation.step();
    }
    simulation.summary.prefilled = simulation
        .engines
        .iter()
        .map(|engine| engine.prefilled)
        .sum();
    let reread = simulation.engines.iter().map(|engine| engine.reread);
    simulation.summary.wasted += reread.sum::<f64>();
    simulation.summary
}

fn server_name(engine: usize) -> Server {
    format!("s{engine:03}")
}

fn server_index(server: &Server) -> usize {
    server[1..].parse().unwrap_or_default()
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup, pattern: Pattern, policy: Policy, seed: u64) -> Simulation<'a> {
        let data_centre = |index: usize| format!("z{}", index % setup.data_centres);
        let entries = (0..setup.entries)
            .map(|index| Entry::new(setup, policy, data_centre(index), index))
            .collect();
        let mut simulation = Simulation {
            setup,
            pattern,
            policy,
            now: Clock::from_secs(1),
            rng: SmallRng::seed_from_u64(seed),
            entries,
            engines: vec![Engine::default(); setup.engines],
            rates: vec![1.0; setup.engines],
            requests: Vec::new(),
            retries: BinaryHeap::new(),
            lost: Vec::new(),
            news: VecDeque::new(),
            summary: Summary {
                duration: setup.duration,
                teams: vec![(0, 0); setup.teams],
                kinds: vec![Outcomes::default(); setup.kinds.len()],
                ..Summary::default()
            },
        };
        for engine in 0..setup.engines {
            simulation.register(engine);
        }
        simulation
    }

    /// Registers an engine at all entries.
    fn register(&mut self, engine: usize) {
        let spec = Spec {
            service: service(),
            version: "v1".into(),
            data_centre: format!("z{}", engine % self.setup.data_centres),
            slots: self.setup.slots,
            memory: self.setup.kv_capacity,
        };
        for entry in &mut self.entries {
            let server = server_name(engine);
            entry
                .placement
                .upsert(Clock::ZERO, &server, spec.clone(), false);
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        self.apply_losses();
        self.deregister();
        if self.now < self.setup.duration {
            self.create_arrivals();
        }
        while let Some(Reverse((at, id))) = self.retries.peek().copied() {
            if at > self.now {
                break;
            }
            self.retries.pop();
            self.attempt(id);
        }
        // The entry that ticks first takes the free capacity. In a real system the order varies, so
        // the simulation draws it.
        let first = self.rng.random_range(0..self.entries.len());
        for index in 0..self.entries.len() {
            let entry = (first + index) % self.entries.len();
            let decisions = self.entries[entry].tick(self.setup, self.now, &mut self.rng);
            for decision in decisions {
                self.apply_decision(decision);
            }
        }
        self.draw_rates();
        for engine in 0..self.engines.len() {
            let rate = self.rates[engine];
            for step in self.engines[engine].advance(self.setup, TICK, rate) {
                match step {
                    Step::Event { id, first } => self.record_event(id, first),
                    Step::End { id } => self.complete(id),
                }
            }
        }
        if self
            .now
            .as_millis()
            .is_multiple_of(BEACON_INTERVAL.as_millis())
        {
            self.exchange_beacons();
        }
        if self.policy != Policy::NoSpeeds {
            self.exchange_speeds();
        }
        self.expire_requests();
    }

    /// Removes lost engines from the entries' registries.
    fn deregister(&mut self) {
        while let Some((at, engine)) = self.lost.first().copied()
            && at <= self.now
        {
            self.lost.remove(0);
            // Shorter losses end before the registration does.
            if !self.engines[engine].lost || self.setup.kinds.is_empty() {
                continue;
            }
            for entry in &mut self.entries {
                entry.placement.remove(&server_name(engine));
            }
        }
    }

    /// Updates which engines are down; resumes the runs of those that crashed.
    fn apply_losses(&mut self) {
        for engine in 0..self.engines.len() {
            let data_centre = engine % self.setup.data_centres;
            let lost = self
                .pattern
                .is_down(self.setup, self.now, data_centre, engine);
            let before = std::mem::replace(&mut self.engines[engine].lost, lost);
            if before && !lost {
                self.register(engine);
            }
            if !lost || before {
                continue;
            }
            for run in self.engines[engine].crash() {
                self.resume(engine, run);
            }
            self.lost.push((self.now + REGISTRY_DELAY, engine));
        }
    }

    fn apply_decision(&mut self, decision: Decision) {
        match decision {
            Decision::Admit(id) if self.requests[id].finished => {
                let request = &self.requests[id];
                let done = request.done(Clock::ZERO);
                self.entries[request.entry].finish(&team_name(request.team), &done);
            }
            Decision::Admit(id) => {
                self.requests[id].admitted = Some(self.now);
                self.dispatch(id, &[]);
            }
            Decision::Refuse(id, _) if !self.requests[id].late => {
                self.requests[id].late = true;
                self.enqueue(id);
            }
            Decision::Refuse(id, retry_after) => self.refuse(id, retry_after),
        }
    }

    /// Draws at the beginning of each spell which engines are slower in it.
    fn draw_rates(&mut self) {
        if !self.now.as_millis().is_multiple_of(SPELL.as_millis()) {
            return;
        }
        let (share, factor) = self.setup.spells;
        for (engine, rate) in self.rates.iter_mut().enumerate() {
            *rate = self.setup.rates[engine % self.setup.rates.len()];
            if share > 0.0 && self.rng.random_bool(share) {
                *rate /= factor;
            }
        }
    }

    /// Delivers what the entries observed about the speeds of engines, each in its turn.
    fn exchange_speeds(&mut self) {
        let ticks = (self.now.as_millis() / TICK.as_millis()) as usize;
        let turns = (SPEEDS_INTERVAL.as_millis() / TICK.as_millis()) as usize;
        for peer in 0..self.entries.len() {
            let placement = &mut self.entries[peer].placement;
            placement.refresh_speeds(self.now);
            let turn = ticks + peer * turns / self.setup.entries;
            if !turn.is_multiple_of(turns) {
                continue;
            }
            let counts = placement.take_counts(self.now, SPEEDS_PER_MESSAGE);
            for (index, entry) in self.entries.iter_mut().enumerate() {
                if index == peer {
                    continue;
                }
                for (server, counts) in &counts {
                    let sender = (peer as u64, ticks as u32);
                    let placement = &mut entry.placement;
                    placement.set_peer_counts(self.now, sender, server, *counts);
                }
            }
        }
    }

    /// Delivers every entry's loads and waiting requests to all other entries.
    fn exchange_beacons(&mut self) {
        let loads: Vec<_> = self
            .entries
            .iter()
            .map(|entry| {
                let own = entry.placement.own_loads();
                own.map(|(server, work)| (server.clone(), work)).collect()
            })
            .collect();
        self.news.push_back(News {
            sent_at: self.now,
            loads,
            waiting_in_time: self.entries.iter().map(Entry::waiting_in_time).collect(),
        });
        let due = self.now.saturating_sub(self.setup.news_delay);
        if self.news.front().is_some_and(|news| news.sent_at > due) {
            return;
        }
        let Some(News {
            loads,
            waiting_in_time,
            ..
        }) = self.news.pop_front()
        else {
            return;
        };
        for (index, entry) in self.entries.iter_mut().enumerate() {
            entry.peers_in_time = waiting_in_time.iter().sum::<u32>() - waiting_in_time[index];
            for (peer, loads) in loads.iter().enumerate() {
                if peer != index {
                    entry.placement.set_peer_loads(peer as u64, loads.clone());
                }
            }
        }
    }
}

fn team_name(index: usize) -> String {
    format!("t{index}")
}
