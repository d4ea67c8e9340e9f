//! Whom a board speaks to: neighbours, readers near and far, and what it tells operators of them.

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
        Inventory,
        Message,
        Standing, //
    },
    replica::{
        READERS, //
        Replica,
    },
    slot::Slot, //
};

/// Number of other data centres that a reader's heartbeat goes to.
const DISTANT: usize = 3;

/// Purpose of the rendezvous order of readers.
const PURPOSE: &str = "reader";

impl Replica {
    /// The other entries of the data centre, suspect ones too: they may be well.
    pub(crate) fn neighbours(&self) -> Vec<Host> {
        let own = &self.place;
        let near = |(host, member, _): &(&Host, &crate::membership::Member, State)| {
            member.role == Role::Entry
                && member.data_centre == own.data_centre
                && **host != own.host
        };
        let members = self.members.iter(Clock::ZERO).filter(near);
        members.map(|(host, _, _)| host.clone()).collect()
    }

    pub(crate) fn is_neighbour(&self, host: &str) -> bool {
        self.members
            .get(host)
            .is_some_and(|member| member.data_centre == self.place.data_centre)
    }

    /// Tells whether another entry of the data centre answers.
    pub(crate) fn has_company(&self, now: Clock) -> bool {
        self.neighbours()
            .iter()
            .any(|host| self.members.state(host, now) != Some(State::Suspect))
    }

    /// The readers of the own data centre, as far as this process knows.
    pub fn readers(&self, now: Clock) -> Vec<Host> {
        let fails = |host: &Host| match *host == self.place.host {
            true => self.watch.fails(),
            false => self.peers.get(host).is_some_and(|peer| peer.store_fails),
        };
        let live = |host: &Host| self.members.state(host, now) == Some(State::Live);
        let mut able: Vec<_> = self.neighbours().into_iter().filter(live).collect();
        if !self.leaving || able.is_empty() {
            able.push(self.place.host.clone());
        }
        // An entry that can't reach the store comes after all that can.
        able.sort_by_cached_key(|host| (fails(host), std::cmp::Reverse(weight(PURPOSE, host))));
        able.truncate(READERS);
        able
    }

    /// Tells whether this process is a reader.
    pub fn is_reader(&self, now: Clock) -> bool {
        self.readers(now).contains(&self.place.host)
    }

    /// The readers of another data centre, as far as its hosts are known here.
    fn readers_of(&self, data_centre: &str, now: Clock) -> Vec<Host> {
        let ranked = self.members.ranked(data_centre, Role::Entry, PURPOSE, now);
        ranked.into_iter().take(READERS).cloned().collect()
    }

    fn other_data_centres(&self) -> BTreeSet<DataCentre> {
        let members = self.members.iter(Clock::ZERO);
        let mut others: BTreeSet<_> = members
            .filter(|(_, member, _)| member.role == Role::Entry)
            .map(|(_, member, _)| member.data_centre.clone())
            .collect();
        others.remove(&self.place.data_centre);
        others
    }

    /// The readers of all other data centres.
    pub(crate) fn all_readers(&self, now: Clock) -> Vec<Host> {
        let others = self.other_data_centres();
        let readers = others.iter().flat_map(|name| self.readers_of(name, now));
        readers.collect()
    }

    /// A few readers of other data centres, by chance, for a heartbeat.
    pub(crate) fn distant(&mut self, now: Clock) -> Vec<Host> {
        let others: Vec<_> = self.other_data_centres().into_iter().collect();
        let chosen: Vec<_> = others.sample(&mut self.rng, DISTANT).cloned().collect();
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

    /// Sends evidence that grew: detail to the readers here, summaries to everybody by way of the
    /// readers.
    pub(crate) fn flush(&mut self, now: Clock, actions: &mut Vec<Action>) {
        let mut readers = self.readers(now);
        readers.retain(|host| *host != self.place.host);
        if readers != self.informed {
            // A new reader has heard nothing of this process's evidence.
            let own = Source::Host(self.place.host.clone());
            let keys = self.facts.iter().map(|(key, _)| key);
            let keys = keys.filter(|key| matches!(key, Key::Evidence(by, _) if *by == own));
            let keys: Vec<_> = keys.cloned().collect();
            self.grown.extend(keys);
            self.informed = readers.clone();
        }
        if self.grown.is_empty() {
            return;
        }
        let neighbours = self.neighbours();
        let far = self.all_readers(now);
        let mut facts: BTreeMap<Host, Vec<_>> = BTreeMap::new();
        for key in std::mem::take(&mut self.grown) {
            let Some(fact) = self.facts.get(&key) else {
                continue;
            };
            let to = match &key {
                Key::Evidence(Source::Host(_), _) => readers.clone(),
                Key::Evidence(Source::DataCentre(name), _) if *name == self.place.data_centre => {
                    [neighbours.as_slice(), &far].concat()
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

    /// Asks what is in force where.
    pub(crate) fn survey(&mut self, survey: u64, now: Clock, actions: &mut Vec<Action>) {
        let account = self.account(now);
        actions.push(Action::Inventory { survey, account });
        for to in self.all_readers(now) {
            actions.push(send(to, Message::Survey { survey }));
        }
    }

    /// What the entries of this data centre hold.
    pub(crate) fn account(&self, now: Clock) -> Inventory {
        let mut standings: BTreeMap<_, Vec<Host>> = BTreeMap::new();
        let mut silent = Vec::new();
        let digest = self.digest();
        for (environment, slot) in &self.slots {
            let own = (environment.clone(), slot.revision());
            standings
                .entry(own)
                .or_default()
                .push(self.place.host.clone());
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
                let standing = standings.entry((environment.clone(), revision));
                standing.or_default().push(host.clone());
            }
        }
        let standing = |((environment, revision), hosts)| Standing {
            environment,
            revision,
            hosts,
        };
        Inventory {
            data_centre: self.place.data_centre.clone(),
            standings: standings.into_iter().map(standing).collect(),
            silent,
        }
    }

    /// Highest revision that is held here of an environment.
    pub fn revision(&self, environment: &str) -> u64 {
        self.slots.get(environment).map_or(0, Slot::revision)
    }
}
