//! The choice.

use std::time::Duration;

use names::{
    Clock,
    DataCentre,
    Server,
    Service,
    Version, //
};
use rand::{
    Rng,
    RngExt, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Deployment,
    Pool,
    Prefix,
    pool::Group, //
};

/// Bounds of the time after which a refused caller is asked to come back.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(30));

/// A piece of work that needs a server.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Service.
    pub service: &'a Service,
    /// Version that must serve.
    pub version: &'a Version,
    /// Data centre of the asker.
    pub data_centre: &'a DataCentre,
    /// Prefix of the prompt; `None` for work without one.
    pub prefix: Option<Prefix>,
    /// Servers that are only chosen when there is no other.
    pub avoid: &'a [Server],
    /// Continues an answer that has begun: goes also to full replicas.
    pub resume: bool,
}

/// Where a piece of work goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this server.
    Server(Server),
    /// To this data centre, of which only a summary is known; an entry there chooses on.
    Remote(DataCentre),
    /// Nowhere: all replicas are full, or there is none.
    None {
        /// When to come back, with jitter.
        retry_after: Duration,
    },
}

impl Pool {
    /// Chooses a server for a piece of work. The driver calls [`Pool::sent`] when it sends it.
    pub fn choose(&self, now: Clock, ask: &Request, rng: &mut impl Rng) -> Choice {
        let near = self.group(ask, ask.data_centre);
        let best = near.and_then(|group| self.pick(now, group, ask, rng));
        let load = best.map(|number| self.members[number].load() / self.capacity(number));
        if let (Some(number), Some(load)) = (best, load)
            && load < self.settings.spill_load
        {
            return Choice::Server(self.members[number].server.clone());
        }
        if let Some(choice) = self.elsewhere(now, ask, load, rng) {
            return choice;
        }
        if let Some(number) = best {
            return Choice::Server(self.members[number].server.clone());
        }
        if let Some(server) = self.last_resort(now, ask, near) {
            return Choice::Server(server);
        }
        Choice::None {
            retry_after: self.come_back(near, rng),
        }
    }

    fn capacity(&self, number: usize) -> f64 {
        self.members[number].capacity(&self.settings)
    }

    fn group(&self, ask: &Request, data_centre: &DataCentre) -> Option<&Group> {
        self.groups.get(&Deployment {
            service: ask.service.clone(),
            version: ask.version.clone(),
            data_centre: data_centre.clone(),
        })
    }

    /// The better of two random ones among the replicas of the prefix that are not too loaded, or
    /// else among all.
    fn pick(&self, now: Clock, group: &Group, ask: &Request, rng: &mut impl Rng) -> Option<usize> {
        let mut open = self.usable(now, group);
        open.retain(|number| !self.members[*number].full(now, &self.settings));
        let wanted = |number: &usize| !ask.avoid.contains(&self.members[*number].server);
        if open.iter().any(wanted) {
            open.retain(wanted);
        }
        if let Some(prefix) = ask.prefix {
            let affine = self.affine(now, group, prefix, &open);
            if !affine.is_empty() {
                return self.better(now, group, &affine, rng);
            }
        }
        self.better(now, group, &open, rng)
    }

    /// Replicas that may get work: not leaving, healthy, not ejected. At least the floor's share
    /// of those that stay is given, the least bad first: a bad probe or a fault that all share
    /// must not leave callers without any server.
    fn usable(&self, now: Clock, group: &Group) -> Vec<usize> {
        let mut usable = Vec::new();
        let mut out = Vec::new();
        for number in &group.members {
            let member = &self.members[*number];
            if member.leaving {
                continue;
            }
            if member.healthy && !member.ejected(now) {
                usable.push(*number);
            } else {
                out.push(*number);
            }
        }
        let staying = usable.len() + out.len();
        let least = (staying as f64 * self.settings.min_usable_share).ceil() as usize;
        if usable.len() >= least {
            return usable;
        }
        let badness = |number: &usize| self.members[*number].badness(now, &self.settings);
        out.sort_by(|a, b| badness(a).total_cmp(&badness(b)));
        usable.extend(out.into_iter().take(least - usable.len()));
        usable
    }

    /// Replicas for a prefix: those believed to hold it, and the first ones by rendezvous hash,
    /// as far as their load is within the bound. Loaded ones give way to the next by hash, so
    /// that a prefix that everybody uses spreads over as many replicas as it needs.
    fn affine(&self, now: Clock, group: &Group, prefix: Prefix, open: &[usize]) -> Vec<usize> {
        let score = |number: &usize| {
            let member = &self.members[*number];
            member.score(now, group.usual, &self.settings)
        };
        let scores: Vec<f64> = open.iter().map(score).collect();
        let mean = scores.iter().sum::<f64>() / open.len().max(1) as f64;
        // Near its capacity a replica would be full before its next report tells.
        let bound =
            (mean * self.settings.affinity_bound).min(mean.max(self.settings.affinity_load));
        let mut fitting = Vec::with_capacity(open.len());
        for (number, score) in open.iter().zip(scores) {
            if score <= bound + self.settings.affinity_slack / self.capacity(*number) {
                fitting.push(*number);
            }
        }
        let holders = self
            .cache
            .holders(now, prefix, &self.members, &self.settings);
        let mut found: Vec<usize> = holders.filter(|number| fitting.contains(number)).collect();
        let missing = self.settings.affine_replicas.saturating_sub(found.len());
        fitting.retain(|number| !found.contains(number));
        found.extend(self.first(prefix, fitting, missing));
        found
    }

    /// The first ones by rendezvous hash of prefix and server, in no order.
    fn first(&self, prefix: Prefix, among: Vec<usize>, most: usize) -> Vec<usize> {
        if most == 0 {
            return Vec::new();
        }
        if among.len() <= most {
            return among;
        }
        let mut ranked = Vec::with_capacity(among.len());
        for number in among {
            let server = self.members[number].server.as_bytes();
            ranked.push((xxh3_64_with_seed(server, prefix), number));
        }
        ranked.select_nth_unstable_by(most - 1, |a, b| b.cmp(a));
        ranked.truncate(most);
        ranked.into_iter().map(|(_, number)| number).collect()
    }

    fn better(
        &self,
        now: Clock,
        group: &Group,
        among: &[usize],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        match among {
            [] => None,
            [only] => Some(*only),
            _ => {
                let first = rng.random_range(0..among.len());
                let mut second = rng.random_range(0..among.len() - 1);
                if second >= first {
                    second += 1;
                }
                let score = |number: usize| {
                    let member = &self.members[number];
                    member.score(now, group.usual, &self.settings)
                };
                let (first, second) = (among[first], among[second]);
                let worse = score(second) < score(first);
                Some(if worse { second } else { first })
            }
        }
    }

    /// The better of two random other data centres, if it is less loaded by the margin than what
    /// is near.
    fn elsewhere(
        &self,
        now: Clock,
        ask: &Request,
        near: Option<f64>,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let bound = near.unwrap_or(f64::INFINITY) - self.settings.spill_margin;
        let mut open = self.far_loads(now, ask);
        open.retain(|(load, _)| *load < self.settings.full_load && *load < bound);
        let mut best: Option<(f64, &DataCentre)> = None;
        for _ in 0..open.len().min(2) {
            let drawn = open.swap_remove(rng.random_range(0..open.len()));
            if best.is_none_or(|best| drawn.0 < best.0) {
                best = Some(drawn);
            }
        }
        let (_, data_centre) = best?;
        let known = self.group(ask, data_centre);
        if let Some(number) = known.and_then(|group| self.pick(now, group, ask, rng)) {
            return Some(Choice::Server(self.members[number].server.clone()));
        }
        Some(Choice::Remote(data_centre.clone()))
    }

    /// Loads of the other data centres, from summaries and from replicas known one by one.
    fn far_loads<'a>(&'a self, now: Clock, ask: &Request) -> Vec<(f64, &'a DataCentre)> {
        let mut loads = Vec::new();
        let version = (ask.service.clone(), ask.version.clone());
        for far in self.far.get(&version).into_iter().flatten() {
            if far.data_centre == *ask.data_centre {
                continue;
            }
            loads.extend(far.load(now).map(|load| (load, &far.data_centre)));
        }
        for (place, group) in self.known_far(ask) {
            if loads.iter().any(|(_, known)| **known == place.data_centre) {
                continue;
            }
            let (mut load, mut capacity) = (0.0, 0.0);
            for number in self.usable(now, group) {
                load += self.members[number].load();
                capacity += self.capacity(number);
            }
            if capacity > 0.0 {
                loads.push((load / capacity, &place.data_centre));
            }
        }
        loads
    }

    /// Work that has begun goes to the least loaded replica although it is full, as giving it up
    /// wastes what was done; known replicas of other data centres count as well.
    fn last_resort(&self, now: Clock, ask: &Request, near: Option<&Group>) -> Option<Server> {
        let far = self.known_far(ask);
        let far = far.into_iter().map(|(_, group)| group);
        for group in near.into_iter().chain(far) {
            let mut usable = self.usable(now, group);
            if !ask.resume {
                usable.retain(|number| !self.members[*number].full(now, &self.settings));
            }
            let rank = |number: &usize| {
                let member = &self.members[*number];
                let avoided = ask.avoid.contains(&member.server);
                (avoided, member.score(now, group.usual, &self.settings))
            };
            let least = usable.into_iter().min_by(|a, b| {
                let (a, b) = (rank(a), rank(b));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            });
            if let Some(number) = least {
                return Some(self.members[number].server.clone());
            }
        }
        None
    }

    /// Groups of other data centres whose replicas are known one by one.
    fn known_far(&self, ask: &Request) -> Vec<(&Deployment, &Group)> {
        let mut groups = Vec::new();
        for (place, group) in &self.groups {
            let version = place.service == *ask.service && place.version == *ask.version;
            if version && place.data_centre != *ask.data_centre {
                groups.push((place, group));
            }
        }
        // The map's order differs from process to process.
        groups.sort_by(|a, b| a.0.data_centre.cmp(&b.0.data_centre));
        groups
    }

    /// Time until a place is likely to be free, and up to as much again at random: callers that
    /// are refused together must not come back together.
    fn come_back(&self, group: Option<&Group>, rng: &mut impl Rng) -> Duration {
        let time = match group {
            Some(group) => {
                let mut slots = 0.0;
                for number in &group.members {
                    slots += self.capacity(*number);
                }
                group.usual.div_f64(f64::max(slots, 1.0))
            }
            None => COME_BACK.0,
        };
        let time = time.clamp(COME_BACK.0, COME_BACK.1);
        time + time.mul_f64(rng.random_range(0.0..1.0))
    }
}
