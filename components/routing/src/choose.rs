//! Choice of a replica for a piece of work.

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

/// Bounds of the retry delay of refused callers, before jitter.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_secs(30));

/// A piece of work that needs a server.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Service that must serve it.
    pub service: &'a Service,
    /// Version of the service that must serve it.
    pub version: &'a Version,
    /// Data centre of the sender.
    pub data_centre: &'a DataCentre,
    /// Prefix of the prompt; `None` for work without a prompt.
    pub prefix: Option<Prefix>,
    /// Servers that are chosen only if there is no other.
    pub avoid: &'a [Server],
    /// Whether the work resumes an answer that has begun; such work also goes to full replicas.
    pub resume: bool,
}

/// Destination of a piece of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// This server.
    Server(Server),
    /// This data centre, of which only a summary is known; an entry there chooses the server.
    Remote(DataCentre),
    /// No server: all replicas are full, or there are none.
    None {
        /// Retry delay, with jitter.
        retry_after: Duration,
    },
}

impl Pool {
    /// Chooses a server for a piece of work. The driver calls [`Pool::sent`] when it sends the
    /// work.
    pub fn choose(&self, now: Clock, request: &Request, rng: &mut impl Rng) -> Choice {
        let local = self.group(request, request.data_centre);
        let best = local.and_then(|group| self.pick(now, group, request, rng));
        let load = best.map(|index| self.members[index].load() / self.capacity(index));
        if let (Some(index), Some(load)) = (best, load)
            && load < self.settings.spill_load
        {
            return Choice::Server(self.members[index].server.clone());
        }
        if let Some(choice) = self.choose_remote(now, request, load, rng) {
            return choice;
        }
        if let Some(index) = best {
            return Choice::Server(self.members[index].server.clone());
        }
        if let Some(server) = self.last_resort(now, request, local) {
            return Choice::Server(server);
        }
        Choice::None {
            retry_after: self.retry_after(local, rng),
        }
    }

    fn capacity(&self, index: usize) -> f64 {
        self.members[index].capacity(&self.settings)
    }

    fn group(&self, request: &Request, data_centre: &DataCentre) -> Option<&Group> {
        self.groups.get(&Deployment {
            service: request.service.clone(),
            version: request.version.clone(),
            data_centre: data_centre.clone(),
        })
    }

    /// Chooses the better of two random replicas: of those that serve the prefix and are within its
    /// load bound or, if there are none, of all.
    fn pick(
        &self,
        now: Clock,
        group: &Group,
        request: &Request,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let mut available = self.usable(now, group);
        available.retain(|index| !self.members[*index].is_full(now, &self.settings));
        let is_preferred = |index: &usize| !request.avoid.contains(&self.members[*index].server);
        if available.iter().any(is_preferred) {
            available.retain(is_preferred);
        }
        if let Some(prefix) = request.prefix {
            let affine = self.affine(now, group, prefix, &available);
            if !affine.is_empty() {
                return self.better_of_two(now, group, &affine, rng);
            }
        }
        self.better_of_two(now, group, &available, rng)
    }

    /// Returns the replicas that may get work: those that are healthy and neither draining nor
    /// ejected. At least `min_usable_share` of the replicas that are not draining is returned,
    /// adding those with the lowest `unfitness` first, so that a faulty health check or a failure
    /// common to all replicas does not leave callers without a server.
    fn usable(&self, now: Clock, group: &Group) -> Vec<usize> {
        let mut usable = Vec::new();
        let mut unusable = Vec::new();
        for index in &group.members {
            let member = &self.members[*index];
            if member.leaving {
                continue;
            }
            if member.healthy && !member.is_ejected(now) {
                usable.push(*index);
            } else {
                unusable.push(*index);
            }
        }
        let not_draining = usable.len() + unusable.len();
        let minimum = (not_draining as f64 * self.settings.min_usable_share).ceil() as usize;
        if usable.len() >= minimum {
            return usable;
        }
        let unfitness = |index: &usize| self.members[*index].unfitness(now, &self.settings);
        unusable.sort_by(|a, b| unfitness(a).total_cmp(&unfitness(b)));
        usable.extend(unusable.into_iter().take(minimum - usable.len()));
        usable
    }

    /// Returns the replicas for a prefix: those that are assumed to hold it and the top-ranked ones
    /// by rendezvous hash, as far as their load is within the bound. Overloaded replicas are
    /// replaced by the next ones by hash, so that a popular prefix spreads over as many replicas as
    /// it needs.
    fn affine(&self, now: Clock, group: &Group, prefix: Prefix, available: &[usize]) -> Vec<usize> {
        let score = |index: &usize| {
            let member = &self.members[*index];
            member.score(now, group.mean_time, &self.settings)
        };
        let scores: Vec<f64> = available.iter().map(score).collect();
        let mean = scores.iter().sum::<f64>() / available.len().max(1) as f64;
        // Without the second bound, a replica near its capacity would fill up before its next
        // report.
        let bound =
            (mean * self.settings.affinity_bound).min(mean.max(self.settings.affinity_load));
        let mut within_bound = Vec::with_capacity(available.len());
        for (index, score) in available.iter().zip(scores) {
            if score <= bound + self.settings.affinity_slack / self.capacity(*index) {
                within_bound.push(*index);
            }
        }
        let holders = self
            .cache
            .holders(now, prefix, &self.members, &self.settings);
        let mut found: Vec<usize> = holders
            .filter(|index| within_bound.contains(index))
            .collect();
        let missing = self.settings.affine_replicas.saturating_sub(found.len());
        within_bound.retain(|index| !found.contains(index));
        found.extend(self.top_ranked(prefix, within_bound, missing));
        found
    }

    /// Returns the `count` top-ranked replicas by rendezvous hash of prefix and server, unordered.
    fn top_ranked(&self, prefix: Prefix, replicas: Vec<usize>, count: usize) -> Vec<usize> {
        if count == 0 {
            return Vec::new();
        }
        if replicas.len() <= count {
            return replicas;
        }
        let mut ranked = Vec::with_capacity(replicas.len());
        for index in replicas {
            let server = self.members[index].server.as_bytes();
            ranked.push((xxh3_64_with_seed(server, prefix), index));
        }
        ranked.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    fn better_of_two(
        &self,
        now: Clock,
        group: &Group,
        candidates: &[usize],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        match candidates {
            [] => None,
            [only] => Some(*only),
            _ => {
                let first = rng.random_range(0..candidates.len());
                let mut second = rng.random_range(0..candidates.len() - 1);
                if second >= first {
                    second += 1;
                }
                let score = |index: usize| {
                    let member = &self.members[index];
                    member.score(now, group.mean_time, &self.settings)
                };
                let (first, second) = (candidates[first], candidates[second]);
                let second_is_better = score(second) < score(first);
                Some(if second_is_better { second } else { first })
            }
        }
    }

    /// Chooses the better of two random other data centres if its load is below the local one by at
    /// least the margin.
    fn choose_remote(
        &self,
        now: Clock,
        request: &Request,
        local: Option<f64>,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let bound = local.unwrap_or(f64::INFINITY) - self.settings.spill_margin;
        let mut available = self.remote_loads(now, request);
        available.retain(|(load, _)| *load < self.settings.full_load && *load < bound);
        let mut best: Option<(f64, &DataCentre)> = None;
        for _ in 0..available.len().min(2) {
            let sampled = available.swap_remove(rng.random_range(0..available.len()));
            if best.is_none_or(|best| sampled.0 < best.0) {
                best = Some(sampled);
            }
        }
        let (_, data_centre) = best?;
        let known = self.group(request, data_centre);
        if let Some(index) = known.and_then(|group| self.pick(now, group, request, rng)) {
            return Some(Choice::Server(self.members[index].server.clone()));
        }
        Some(Choice::Remote(data_centre.clone()))
    }

    /// Returns the loads of the other data centres, from summaries and from individually known
    /// replicas.
    fn remote_loads<'a>(&'a self, now: Clock, request: &Request) -> Vec<(f64, &'a DataCentre)> {
        let mut loads = Vec::new();
        let version = (request.service.clone(), request.version.clone());
        for remote in self.remotes.get(&version).into_iter().flatten() {
            if remote.data_centre == *request.data_centre {
                continue;
            }
            loads.extend(remote.load(now).map(|load| (load, &remote.data_centre)));
        }
        for (deployment, group) in self.remote_groups(request) {
            if loads
                .iter()
                .any(|(_, known)| **known == deployment.data_centre)
            {
                continue;
            }
            let (mut load, mut capacity) = (0.0, 0.0);
            for index in self.usable(now, group) {
                load += self.members[index].load();
                capacity += self.capacity(index);
            }
            if capacity > 0.0 {
                loads.push((load / capacity, &deployment.data_centre));
            }
        }
        loads
    }

    /// Chooses the least loaded replica for resumed work even if it is full, as giving up would
    /// waste the tokens already generated. Known replicas of other data centres are included.
    fn last_resort(&self, now: Clock, request: &Request, local: Option<&Group>) -> Option<Server> {
        let remote = self.remote_groups(request);
        let remote = remote.into_iter().map(|(_, group)| group);
        for group in local.into_iter().chain(remote) {
            let mut usable = self.usable(now, group);
            if !request.resume {
                usable.retain(|index| !self.members[*index].is_full(now, &self.settings));
            }
            let rank = |index: &usize| {
                let member = &self.members[*index];
                let avoided = request.avoid.contains(&member.server);
                (avoided, member.score(now, group.mean_time, &self.settings))
            };
            let least = usable.into_iter().min_by(|a, b| {
                let (a, b) = (rank(a), rank(b));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            });
            if let Some(index) = least {
                return Some(self.members[index].server.clone());
            }
        }
        None
    }

    /// Returns the groups of other data centres whose replicas are known individually.
    fn remote_groups(&self, request: &Request) -> Vec<(&Deployment, &Group)> {
        let mut groups = Vec::new();
        for (deployment, group) in &self.groups {
            let version =
                deployment.service == *request.service && deployment.version == *request.version;
            if version && deployment.data_centre != *request.data_centre {
                groups.push((deployment, group));
            }
        }
        // The iteration order of the map differs between processes.
        groups.sort_by(|a, b| a.0.data_centre.cmp(&b.0.data_centre));
        groups
    }

    /// Returns the expected time until a slot is free, plus jitter of up to the same length so that
    /// callers refused together do not retry together.
    fn retry_after(&self, group: Option<&Group>, rng: &mut impl Rng) -> Duration {
        let delay = match group {
            Some(group) => {
                let mut slots = 0.0;
                for index in &group.members {
                    slots += self.capacity(*index);
                }
                group.mean_time.div_f64(f64::max(slots, 1.0))
            }
            None => RETRY_AFTER_BOUNDS.0,
        };
        let delay = delay.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1);
        delay + delay.mul_f64(rng.random_range(0.0..1.0))
    }
}
