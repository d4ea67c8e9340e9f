//! Recipients of a [`Replica`]'s messages: neighbours and the readers of all data centres. Surveys
//! of held revisions.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use names::{
    Clock,
    DataCentre,
    Host, //
};
use rand::{
    RngExt,
    seq::IndexedRandom, //
};

use crate::{
    event::Action,
    exchange::send,
    fact::{
        Key,
        Source, //
    },
    membership::{
        Role,
        State,
        weight, //
    },
    message::{
        Holders, //
        Inventory,
        Message,
    },
    replica::{
        READERS_PER_DATA_CENTRE,
        Replica, //
    },
    slot::Slot, //
};

/// Number of data centres that a reader sends a heartbeat to in each round.
const REMOTE_HEARTBEATS_PER_ROUND: usize = 3;

/// Purpose of the rendezvous order that selects the readers.
const READER_PURPOSE: &str = "reader";

impl Replica {
    /// Returns the other entries of the data centre, including suspect ones, as they may still be
    /// alive.
    pub(crate) fn neighbours(&self) -> Vec<Host> {
        let own = &self.identity;
        let is_neighbour = |(host, member, _): &(&Host, &crate::membership::Member, State)| {
            member.role == Role::Entry
                && member.data_centre == own.data_centre
                && **host != own.host
        };
        let members = self.members.iter(Clock::ZERO).filter(is_neighbour);
        members.map(|(host, _, _)| host.clone()).collect()
    }

    pub(crate) fn is_neighbour(&self, host: &str) -> bool {
        self.members
            .get(host)
            .is_some_and(|member| member.data_centre == self.identity.data_centre)
    }

    /// Returns whether another entry of the data centre is not suspect.
    pub(crate) fn has_live_neighbour(&self, now: Clock) -> bool {
        self.neighbours()
            .iter()
            .any(|host| self.members.state(host, now) != Some(State::Suspect))
    }

    /// Returns the readers of this process's data centre, according to what this process knows.
    pub fn readers(&self, now: Clock) -> Vec<Host> {
        let fails = |host: &Host| match *host == self.identity.host {
            true => self.watch.is_failing(),
            false => self.peers.get(host).is_some_and(|peer| peer.store_fails),
        };
        let live = |host: &Host| self.members.state(host, now) == Some(State::Live);
        let mut candidates: Vec<_> = self.neighbours().into_iter().filter(live).collect();
        if !self.leaving || candidates.is_empty() {
            candidates.push(self.identity.host.clone());
        }
        // Entries that can't reach the store come after all those that can.
        candidates.sort_by_cached_key(|host| {
            (fails(host), std::cmp::Reverse(weight(READER_PURPOSE, host)))
        });
        candidates.truncate(READERS_PER_DATA_CENTRE);
        candidates
    }

    /// Returns whether this process is a reader.
    pub fn is_reader(&self, now: Clock) -> bool {
        self.readers(now).contains(&self.identity.host)
    }

    /// Returns the readers of another data centre, according to the hosts that are known here.
    fn readers_of(&self, data_centre: &str, now: Clock) -> Vec<Host> {
        let ranked = self
            .members
            .ranked(data_centre, Role::Entry, READER_PURPOSE, now);
        ranked
            .into_iter()
            .take(READERS_PER_DATA_CENTRE)
            .cloned()
            .collect()
    }

    fn other_data_centres(&self) -> BTreeSet<DataCentre> {
        let members = self.members.iter(Clock::ZERO);
        let mut data_centres: BTreeSet<_> = members
            .filter(|(_, member, _)| member.role == Role::Entry)
            .map(|(_, member, _)| member.data_centre.clone())
            .collect();
        data_centres.remove(&self.identity.data_centre);
        data_centres
    }

    /// Returns the readers of all other data centres.
    pub(crate) fn remote_readers(&self, now: Clock) -> Vec<Host> {
        let data_centres = self.other_data_centres();
        let readers = data_centres
            .iter()
            .flat_map(|name| self.readers_of(name, now));
        readers.collect()
    }

    /// Returns one random reader from each of a few random other data centres.
    pub(crate) fn sample_remote_readers(&mut self, now: Clock) -> Vec<Host> {
        let data_centres: Vec<_> = self.other_data_centres().into_iter().collect();
        let chosen: Vec<_> = data_centres
            .sample(&mut self.rng, REMOTE_HEARTBEATS_PER_ROUND)
            .cloned()
            .collect();
        let mut hosts = Vec::new();
        for data_centre in chosen {
            let readers = self.readers_of(&data_centre, now);
            if readers.is_empty() {
                continue;
            }
            let at = self.rng.random_range(0..readers.len());
            hosts.extend(readers.into_iter().nth(at));
        }
        hosts
    }

    /// Sends evidence that changed: details to the readers of the data centre; summaries to all its
    /// entries and to the readers of the other data centres, which forward them.
    pub(crate) fn send_evidence(&mut self, now: Clock, actions: &mut Vec<Action>) {
        let mut readers = self.readers(now);
        readers.retain(|host| *host != self.identity.host);
        if readers != self.evidence_readers {
            // New readers have not received this process's evidence yet.
            let own = Source::Host(self.identity.host.clone());
            let keys = self.facts.iter().map(|(key, _)| key);
            let keys = keys.filter(|key| matches!(key, Key::Evidence(source, _) if *source == own));
            let keys: Vec<_> = keys.cloned().collect();
            self.unsent_evidence.extend(keys);
            self.evidence_readers = readers.clone();
        }
        if self.unsent_evidence.is_empty() {
            return;
        }
        let neighbours = self.neighbours();
        let remote = self.remote_readers(now);
        let mut facts: BTreeMap<Host, Vec<_>> = BTreeMap::new();
        for key in std::mem::take(&mut self.unsent_evidence) {
            let Some(fact) = self.facts.get(&key) else {
                continue;
            };
            let to = match &key {
                Key::Evidence(Source::Host(_), _) => readers.clone(),
                Key::Evidence(Source::DataCentre(name), _)
                    if *name == self.identity.data_centre =>
                {
                    [neighbours.as_slice(), &remote].concat()
                }
                Key::Evidence(..) | Key::Veto(..) | Key::Poison(_) | Key::Record(..) => {
                    neighbours.clone()
                }
            };
            for host in to {
                let facts = facts.entry(host).or_default();
                facts.push((key.clone(), fact.clone()));
            }
        }
        let messages = facts
            .into_iter()
            .map(|(to, facts)| send(to, Message::Facts(facts)));
        actions.extend(messages);
    }

    /// Reports the revisions held in this data centre, and requests those of the other data
    /// centres.
    pub(crate) fn survey(&mut self, survey: u64, now: Clock, actions: &mut Vec<Action>) {
        let inventory = self.inventory(now);
        actions.push(Action::Inventory { survey, inventory });
        for to in self.remote_readers(now) {
            actions.push(send(to, Message::Survey { survey }));
        }
    }

    /// Returns the revisions that the entries of this data centre hold.
    pub(crate) fn inventory(&self, now: Clock) -> Inventory {
        let mut holders: BTreeMap<_, Vec<Host>> = BTreeMap::new();
        let mut silent = Vec::new();
        let digest = self.digest();
        for (environment, slot) in &self.slots {
            let own = (environment.clone(), slot.revision());
            holders
                .entry(own)
                .or_default()
                .push(self.identity.host.clone());
        }
        for host in self.neighbours() {
            let known = self.peers.get(&host);
            let suspect = self.members.state(&host, now) == Some(State::Suspect);
            let Some(peer) = known.filter(|_| !suspect) else {
                silent.push(host);
                continue;
            };
            for (environment, slot) in &self.slots {
                let revision = match peer.documents == digest {
                    true => slot.revision(),
                    false => peer.held.get(environment).copied().unwrap_or_default(),
                };
                let hosts = holders.entry((environment.clone(), revision));
                hosts.or_default().push(host.clone());
            }
        }
        let to_holders = |((environment, revision), hosts)| Holders {
            environment,
            revision,
            hosts,
        };
        Inventory {
            data_centre: self.identity.data_centre.clone(),
            holders: holders.into_iter().map(to_holders).collect(),
            silent,
        }
    }

    /// Returns the highest revision of an environment's document that this process holds.
    pub fn revision(&self, environment: &str) -> u64 {
        self.slots.get(environment).map_or(0, Slot::revision)
    }
}
