//! What is known about the replicas.

use std::{
    collections::HashMap,
    time::Duration, //
};

use names::{
    Clock,
    DataCentre,
    Server,
    Service,
    Version, //
};

use crate::{
    Event,
    Kind,
    Outcome,
    Prefix,
    Report,
    Settings,
    Summary,
    cache::Cache,
    far::Far,
    member::Member, //
};

/// Time that a request is taken to need before any was served.
const USUAL: Duration = Duration::from_secs(10);

/// Weight of a new reading in the usual time, once there have been some.
const FRESH: f64 = 0.05;

/// What a replica serves, and where.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Deployment {
    /// Service that it belongs to.
    pub service: Service,
    /// Version that it runs.
    pub version: Version,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// Replicas of one version in one data centre.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) members: Vec<usize>,
    /// Mean time of a served request.
    pub(crate) usual: Duration,
    /// Served requests that went into it.
    served: u32,
}

/// The replicas that work can go to.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub(crate) settings: Settings,
    /// Members by number; a vacant number keeps its last member, which no group names.
    pub(crate) members: Vec<Member>,
    vacant: Vec<usize>,
    index: HashMap<Server, (usize, Deployment)>,
    pub(crate) groups: HashMap<Deployment, Group>,
    pub(crate) far: HashMap<(Service, Version), Vec<Far>>,
    pub(crate) cache: Cache,
}

impl Pool {
    /// A pool without replicas.
    pub fn new(settings: Settings) -> Pool {
        Pool {
            settings,
            ..Pool::default()
        }
    }

    /// Takes in a replica, or moves it. One that is known at that place stays as it is; call
    /// [`Pool::remove`] before when its process is another.
    pub fn insert(&mut self, now: Clock, server: &Server, place: &Deployment) {
        if let Some((_, known)) = self.index.get(server) {
            if known == place {
                return;
            }
            self.remove(server);
        }
        let member = Member::new(now, server.clone());
        let number = match self.vacant.pop() {
            Some(number) => {
                self.members[number] = member;
                number
            }
            None => {
                self.members.push(member);
                self.members.len() - 1
            }
        };
        let group = self.groups.entry(place.clone()).or_insert_with(|| Group {
            members: Vec::new(),
            usual: USUAL,
            served: 0,
        });
        group.members.push(number);
        self.index.insert(server.clone(), (number, place.clone()));
    }

    /// Forgets a replica.
    pub fn remove(&mut self, server: &Server) {
        let Some((number, place)) = self.index.remove(server) else {
            return;
        };
        self.vacant.push(number);
        if let Some(group) = self.groups.get_mut(&place) {
            group.members.retain(|member| *member != number);
            if group.members.is_empty() {
                self.groups.remove(&place);
            }
        }
    }

    /// The servers that are known.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.index.keys()
    }

    /// Takes a replica's report. Reports of servers that are not known are ignored.
    pub fn record_report(&mut self, now: Clock, server: &Server, report: &Report) {
        let Some((number, place)) = self.index.get(server) else {
            return;
        };
        self.members[*number].learn(now, report);
        let mut guess = None;
        if self.members[*number].implausible() {
            guess = self.groups.get(place).map(|group| self.others_each(group));
        }
        self.members[*number].guess(guess);
    }

    /// Work of other senders for each piece of own work, over the replicas of a group whose
    /// reports can be true.
    fn others_each(&self, group: &Group) -> f64 {
        let (mut own, mut all) = (0, 0);
        for number in &group.members {
            let member = &self.members[*number];
            if member.implausible() {
                continue;
            }
            let reported = member.reported();
            own += reported.0;
            all += reported.1;
        }
        f64::from(all.saturating_sub(own)) / f64::from(own.max(1))
    }

    /// Takes another data centre's summary of a version.
    pub fn record_summary(&mut self, now: Clock, place: &Deployment, summary: &Summary) {
        // Versions come and go all day; what is no longer spoken of is forgotten.
        self.far.retain(|_, fars| {
            fars.retain(|far| !far.stale(now));
            !fars.is_empty()
        });
        let version = (place.service.clone(), place.version.clone());
        let fars = self.far.entry(version).or_default();
        let known = fars
            .iter()
            .position(|far| far.data_centre == place.data_centre);
        let number = known.unwrap_or_else(|| {
            fars.push(Far::new(now, place.data_centre.clone()));
            fars.len() - 1
        });
        fars[number].learn(now, summary);
    }

    /// Sums up the replicas of a place, for other data centres.
    pub fn summary(&self, now: Clock, place: &Deployment) -> Summary {
        let mut summary = Summary {
            load: 0,
            capacity: 0,
            age: Duration::ZERO,
        };
        let Some(group) = self.groups.get(place) else {
            return summary;
        };
        for number in &group.members {
            let member = &self.members[*number];
            if member.leaving || !member.healthy || member.ejected(now) {
                continue;
            }
            summary.load += member.load() as u32;
            summary.capacity += member.capacity(&self.settings) as u32;
        }
        summary
    }

    /// Notes that work was sent to a server. The prompt's prefix will be cached there.
    pub fn sent(&mut self, now: Clock, server: &Server, prefix: Option<Prefix>) {
        let Some((number, _)) = self.index.get(server) else {
            return;
        };
        self.members[*number].sent(now);
        if let Some(prefix) = prefix {
            self.cache.seen(now, prefix, *number, &self.settings);
        }
    }

    /// Notes that work sent to a server has begun to be answered, with its first token or byte.
    pub fn answered(&mut self, server: &Server) {
        if let Some((number, _)) = self.index.get(server) {
            self.members[*number].answered();
        }
    }

    /// Notes what came of work that was sent.
    pub fn done(&mut self, now: Clock, server: &Server, outcome: Outcome) {
        let Some((number, place)) = self.index.get(server) else {
            return;
        };
        let Some(group) = self.groups.get_mut(place) else {
            return;
        };
        let member = &mut self.members[*number];
        member.done(now, outcome, group.usual, &self.settings);
        match outcome {
            Outcome::Served { time } => {
                // The first ones count more, so that a wrong first guess is soon forgotten.
                group.served = group.served.saturating_add(1);
                let weight = FRESH.max(1.0 / f64::from(group.served.saturating_add(1)));
                group.usual = group.usual.mul_f64(1.0 - weight) + time.mul_f64(weight);
            }
            Outcome::Failed => {
                let others = others(&self.members, group, *number, now, &self.settings);
                self.members[*number].judge(now, others, &self.settings);
            }
            Outcome::Refused { .. } | Outcome::Cancelled => {}
        }
    }

    /// Notes that work was sent to another data centre.
    pub fn sent_remote(&mut self, now: Clock, place: &Deployment) {
        if let Some(far) = self.far_mut(place) {
            far.sent(now);
        }
    }

    /// Notes that work sent to another data centre has ended.
    pub fn done_remote(&mut self, now: Clock, place: &Deployment) {
        if let Some(far) = self.far_mut(place) {
            far.done(now);
        }
    }

    fn far_mut(&mut self, place: &Deployment) -> Option<&mut Far> {
        let version = (place.service.clone(), place.version.clone());
        let fars = self.far.get_mut(&version)?;
        fars.iter_mut()
            .find(|far| far.data_centre == place.data_centre)
    }

    /// Takes a replica's cache event.
    pub fn record_cache_event(&mut self, now: Clock, server: &Server, event: Event) {
        let Some((number, _)) = self.index.get(server) else {
            return;
        };
        let member = &mut self.members[*number];
        if event.seq <= member.seq {
            return;
        }
        if event.seq > member.seq + 1 {
            // An eviction may be among the lost ones.
            member.doubt = now;
        }
        member.seq = event.seq;
        match event.kind {
            Kind::Stored => self.cache.seen(now, event.prefix, *number, &self.settings),
            Kind::Evicted => self.cache.gone(event.prefix, *number),
        }
    }
}

/// Share of failures of a group without one of its members.
fn others(
    members: &[Member],
    group: &Group,
    without: usize,
    now: Clock,
    settings: &Settings,
) -> f64 {
    let (mut served, mut failed) = (0.0, 0.0);
    for number in &group.members {
        if *number == without {
            continue;
        }
        let counts = members[*number].counts(now, settings);
        served += counts.0;
        failed += counts.1;
    }
    failed / (served + failed).max(1.0)
}
