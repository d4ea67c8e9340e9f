//! What entries tell one another of work at backend servers.

use std::{
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use names::{
    DataCentre,
    Server, //
};
use routing::placement::{
    Suspicion,
    Work, //
};
use spread::beacon::{
    self,
    Beacon,
    Failure,
    Incarnation,
    Load,
    Loads,
    Prompt, //
};
use tokio::sync::Notify;

use crate::{
    clock,
    fleet::Fleet, //
};

/// Age up to which prompts are told: runs usually end within, and their callers come back at once.
const TOLD: Duration = Duration::from_secs(12);

impl Fleet {
    /// Work and losses for a beacon.
    pub fn tell(&mut self, beacon: &mut Beacon) {
        self.changed = false;
        let own = self.placement.own();
        beacon
            .loads
            .extend(own.map(|(server, work)| load(server, work)));
        self.tell_prompts(beacon);
        for (server, age, suspicion) in self.placement.losses(clock::now()) {
            beacon.failures.push(Failure {
                server: beacon::id(server),
                age_ms: age.as_millis() as u32,
                suspicion: told(suspicion),
            });
        }
    }

    fn tell_prompts(&self, beacon: &mut Beacon) {
        let now = clock::now();
        for (part, server, at) in &self.prompts {
            if now.saturating_sub(*at) > TOLD {
                continue;
            }
            beacon.prompts.push(Prompt {
                hash: *part,
                server: beacon::id(server),
            });
        }
    }

    /// Notes where this entry is.
    pub fn set_home(&mut self, home: &DataCentre) {
        self.placement.set_home(home);
    }

    /// What is notified when own work changes.
    pub fn wake(&self) -> Rc<Notify> {
        self.wake.clone()
    }

    /// Own work at servers where it changed since the last call, for peers of the data centre.
    pub fn take_changed(&mut self) -> Vec<Load> {
        let changed = std::mem::take(&mut self.changed_at);
        let load = |server: &Server| load(server, self.placement.own_work(server));
        changed.iter().map(load).collect()
    }

    /// Notes that own work at a server changed. Only peers of a divided fleet are told at once.
    pub(super) fn mark_changed(&mut self, server: &Server) {
        self.changed = true;
        if !self.divided() {
            return;
        }
        self.changed_at.insert(server.clone());
        self.wake.notify_one();
    }

    /// Takes the work of a peer of the data centre; `false` when newer work is known.
    pub fn apply_loads(&mut self, message: &Loads) -> bool {
        let newest = self.loads_sequences.entry(message.incarnation).or_default();
        if *newest >= message.sequence {
            return false;
        }
        *newest = message.sequence;
        for load in &message.loads {
            if let Some(server) = self.numbers.get(&load.server) {
                self.placement
                    .set_peer_work(message.incarnation, server, work(load));
            }
        }
        true
    }

    /// Takes what engines told a peer that they hold.
    pub fn held(&mut self, reads: &[Prompt]) {
        let now = clock::now();
        for read in reads {
            if let Some(server) = self.numbers.get(&read.server) {
                self.placement.has_read(now, &[(read.hash, 0)], server);
            }
        }
    }

    /// Takes what a peer tells.
    pub fn hear(&mut self, beacon: &Beacon) {
        let mut loads = HashMap::with_capacity(beacon.loads.len());
        for load in &beacon.loads {
            let Some(server) = self.numbers.get(&load.server) else {
                continue;
            };
            loads.insert(server.clone(), work(load));
        }
        self.placement.peer(beacon.incarnation, loads);
        self.held(&beacon.prompts);
        let now = clock::now();
        for loss in &beacon.failures {
            let Some(server) = self.numbers.get(&loss.server) else {
                continue;
            };
            let at = now.saturating_sub(Duration::from_millis(u64::from(loss.age_ms)));
            self.placement.peer_lost(at, server, heard(loss.suspicion));
        }
    }

    /// Forgets the work of a peer that ended or fell silent.
    pub fn forget(&mut self, peer: Incarnation) {
        self.loads_sequences.remove(&peer);
        self.placement.forget(peer);
    }

    /// Notes this entry's place among all, and their number.
    pub fn stand(&mut self, place: (usize, usize)) {
        self.placement.stand(place);
    }

    /// This entry's place among all, and their number.
    pub fn place(&self) -> (usize, usize) {
        self.placement.place()
    }

    /// Whether the entries are so many that each has a part of the servers.
    pub fn divided(&self) -> bool {
        self.placement.divided()
    }

    /// Whether a server is of this entry's part.
    pub fn owns(&self, server: &Server) -> bool {
        self.placement.owns(server)
    }

    /// Whether there is news for peers.
    pub fn changed(&self) -> bool {
        self.changed
    }
}

fn load(server: &Server, work: Work) -> Load {
    Load {
        server: beacon::id(server),
        requests: work.requests,
        tokens: work.tokens,
        unread: work.unread,
    }
}

fn work(load: &Load) -> Work {
    Work {
        requests: load.requests,
        tokens: load.tokens,
        unread: load.unread,
    }
}

fn told(suspicion: Suspicion) -> beacon::Suspicion {
    match suspicion {
        Suspicion::Refused => beacon::Suspicion::Refused,
        Suspicion::Dark => beacon::Suspicion::Dark,
        Suspicion::Broke => beacon::Suspicion::Broke,
        Suspicion::Full => beacon::Suspicion::Full,
    }
}

fn heard(suspicion: beacon::Suspicion) -> Suspicion {
    match suspicion {
        beacon::Suspicion::Refused => Suspicion::Refused,
        beacon::Suspicion::Dark => Suspicion::Dark,
        beacon::Suspicion::Broke => Suspicion::Broke,
        beacon::Suspicion::Full => Suspicion::Full,
    }
}
