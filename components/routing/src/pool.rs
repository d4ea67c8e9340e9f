//! State of the known replicas.

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
    member::Member, //
    remote::Remote,
};

/// Assumed time of a request before any was served.
const INITIAL_REQUEST_TIME: Duration = Duration::from_secs(10);

/// Weight of a new measurement in the mean time, after the first few.
const MIN_EWMA_WEIGHT: f64 = 0.05;

/// A version of a service in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Deployment {
    /// Service that the replicas belong to.
    pub service: Service,
    /// Version that the replicas run.
    pub version: Version,
    /// Data centre of the replicas.
    pub data_centre: DataCentre,
}

/// Replicas of one deployment.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    /// Indices of the replicas in [`Pool::members`].
    pub(crate) members: Vec<usize>,
    /// Mean time of a served request.
    pub(crate) mean_time: Duration,
    /// Served requests that the mean includes.
    served: u32,
}

/// The replicas that can serve work.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub(crate) settings: Settings,
    /// Members by index; a vacant index keeps its last member, which no group refers to.
    pub(crate) members: Vec<Member>,
    free_indices: Vec<usize>,
    by_server: HashMap<Server, (usize, Deployment)>,
    pub(crate) groups: HashMap<Deployment, Group>,
    pub(crate) remotes: HashMap<(Service, Version), Vec<Remote>>,
    pub(crate) cache: Cache,
}

impl Pool {
    /// Creates a pool without replicas.
    pub fn new(settings: Settings) -> Pool {
        Pool {
            settings,
            ..Pool::default()
        }
    }

    /// Adds a replica, or moves it to another deployment. A known replica of the same deployment
    /// stays unchanged; if its process was replaced, call [`Pool::remove`] first.
    pub fn insert(&mut self, now: Clock, server: &Server, deployment: &Deployment) {
        if let Some((_, known)) = self.by_server.get(server) {
            if known == deployment {
                return;
            }
            self.remove(server);
        }
        let member = Member::new(now, server.clone());
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.members[index] = member;
                index
            }
            None => {
                self.members.push(member);
                self.members.len() - 1
            }
        };
        let group = self
            .groups
            .entry(deployment.clone())
            .or_insert_with(|| Group {
                members: Vec::new(),
                mean_time: INITIAL_REQUEST_TIME,
                served: 0,
            });
        group.members.push(index);
        self.by_server
            .insert(server.clone(), (index, deployment.clone()));
    }

    /// Removes a replica.
    pub fn remove(&mut self, server: &Server) {
        let Some((index, deployment)) = self.by_server.remove(server) else {
            return;
        };
        self.free_indices.push(index);
        if let Some(group) = self.groups.get_mut(&deployment) {
            group.members.retain(|member| *member != index);
            if group.members.is_empty() {
                self.groups.remove(&deployment);
            }
        }
    }

    /// Returns the known servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.by_server.keys()
    }

    /// Records a report of a replica. Reports of unknown servers are ignored.
    pub fn record_report(&mut self, now: Clock, server: &Server, report: &Report) {
        let Some((index, deployment)) = self.by_server.get(server) else {
            return;
        };
        self.members[*index].record_report(now, report);
        let mut ratio = None;
        if self.members[*index].is_implausible() {
            ratio = self
                .groups
                .get(deployment)
                .map(|group| self.others_per_own(group));
        }
        self.members[*index].set_others_per_own(ratio);
    }

    /// Returns the runs of other senders per own run, over the replicas of a group whose reports
    /// are plausible.
    fn others_per_own(&self, group: &Group) -> f64 {
        let (mut own, mut all) = (0, 0);
        for index in &group.members {
            let member = &self.members[*index];
            if member.is_implausible() {
                continue;
            }
            let reported = member.reported();
            own += reported.0;
            all += reported.1;
        }
        f64::from(all.saturating_sub(own)) / f64::from(own.max(1))
    }

    /// Records a summary that another data centre published.
    pub fn record_summary(&mut self, now: Clock, deployment: &Deployment, summary: &Summary) {
        // Versions change throughout the day; expired summaries are dropped.
        self.remotes.retain(|_, remotes| {
            remotes.retain(|remote| !remote.is_stale(now));
            !remotes.is_empty()
        });
        let version = (deployment.service.clone(), deployment.version.clone());
        let remotes = self.remotes.entry(version).or_default();
        let known = remotes
            .iter()
            .position(|remote| remote.data_centre == deployment.data_centre);
        let index = known.unwrap_or_else(|| {
            remotes.push(Remote::new(now, deployment.data_centre.clone()));
            remotes.len() - 1
        });
        remotes[index].record_summary(now, summary);
    }

    /// Returns the summary of a deployment's replicas for other data centres.
    pub fn summary(&self, now: Clock, deployment: &Deployment) -> Summary {
        let mut summary = Summary {
            load: 0,
            capacity: 0,
            age: Duration::ZERO,
        };
        let Some(group) = self.groups.get(deployment) else {
            return summary;
        };
        for index in &group.members {
            let member = &self.members[*index];
            if member.leaving || !member.healthy || member.is_ejected(now) {
                continue;
            }
            summary.load += member.load() as u32;
            summary.capacity += member.capacity(&self.settings) as u32;
        }
        summary
    }

    /// Records that work was sent to a server, whose cache will hold the prefix of the prompt.
    pub fn sent(&mut self, now: Clock, server: &Server, prefix: Option<Prefix>) {
        let Some((index, _)) = self.by_server.get(server) else {
            return;
        };
        self.members[*index].sent(now);
        if let Some(prefix) = prefix {
            self.cache.insert(now, prefix, *index, &self.settings);
        }
    }

    /// Records that a server sent the first token or byte of its answer.
    pub fn answered(&mut self, server: &Server) {
        if let Some((index, _)) = self.by_server.get(server) {
            self.members[*index].answered();
        }
    }

    /// Records the outcome of work that was sent.
    pub fn done(&mut self, now: Clock, server: &Server, outcome: Outcome) {
        let Some((index, deployment)) = self.by_server.get(server) else {
            return;
        };
        let Some(group) = self.groups.get_mut(deployment) else {
            return;
        };
        let member = &mut self.members[*index];
        member.done(now, outcome, group.mean_time, &self.settings);
        match outcome {
            Outcome::Served { time } => {
                // Early measurements weigh more, so that they quickly replace the assumed time.
                group.served = group.served.saturating_add(1);
                let weight = MIN_EWMA_WEIGHT.max(1.0 / f64::from(group.served.saturating_add(1)));
                group.mean_time = group.mean_time.mul_f64(1.0 - weight) + time.mul_f64(weight);
            }
            Outcome::Failed => {
                let elsewhere =
                    failure_share_without(&self.members, group, *index, now, &self.settings);
                self.members[*index].eject_if_failing(now, elsewhere, &self.settings);
            }
            Outcome::Refused { .. } | Outcome::Cancelled => {}
        }
    }

    /// Records that work was sent to another data centre.
    pub fn sent_remote(&mut self, now: Clock, deployment: &Deployment) {
        if let Some(remote) = self.remote_mut(deployment) {
            remote.sent(now);
        }
    }

    /// Records that work sent to another data centre has ended.
    pub fn done_remote(&mut self, now: Clock, deployment: &Deployment) {
        if let Some(remote) = self.remote_mut(deployment) {
            remote.done(now);
        }
    }

    fn remote_mut(&mut self, deployment: &Deployment) -> Option<&mut Remote> {
        let version = (deployment.service.clone(), deployment.version.clone());
        let remotes = self.remotes.get_mut(&version)?;
        remotes
            .iter_mut()
            .find(|remote| remote.data_centre == deployment.data_centre)
    }

    /// Records a cache event of a replica. Events with an old sequence number are ignored.
    pub fn record_cache_event(&mut self, now: Clock, server: &Server, event: Event) {
        let Some((index, _)) = self.by_server.get(server) else {
            return;
        };
        let member = &mut self.members[*index];
        if event.seq <= member.last_seq {
            return;
        }
        if event.seq > member.last_seq + 1 {
            // The lost events may include evictions.
            member.cache_doubtful_before = now;
        }
        member.last_seq = event.seq;
        match event.kind {
            Kind::Stored => self.cache.insert(now, event.prefix, *index, &self.settings),
            Kind::Evicted => self.cache.remove(event.prefix, *index),
        }
    }
}

/// Returns the share of failures in a group without one of its members.
fn failure_share_without(
    members: &[Member],
    group: &Group,
    excluded: usize,
    now: Clock,
    settings: &Settings,
) -> f64 {
    let (mut served, mut failed) = (0.0, 0.0);
    for index in &group.members {
        if *index == excluded {
            continue;
        }
        let counts = members[*index].counts(now, settings);
        served += counts.0;
        failed += counts.1;
    }
    failed / (served + failed).max(1.0)
}
