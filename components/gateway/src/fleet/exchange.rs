//! Exchange of server loads and failures with other gateways.

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

/// Maximum age of prompts in a beacon: runs usually end within it, and callers of a failed gateway
/// reconnect at once.
const MAX_PROMPT_AGE: Duration = Duration::from_secs(12);

impl Fleet {
    /// Adds loads, prompts and failures of servers to a beacon.
    pub fn fill_beacon(&mut self, beacon: &mut Beacon) {
        self.changed = false;
        let own_loads = self.placement.own_loads();
        beacon
            .loads
            .extend(own_loads.map(|(server, work)| load(server, work)));
        self.fill_prompts(beacon);
        for (server, age, suspicion) in self.placement.recent_suspicions(clock::now()) {
            beacon.failures.push(Failure {
                server: beacon::id(server),
                age_ms: age.as_millis() as u32,
                suspicion: to_beacon(suspicion),
            });
        }
    }

    fn fill_prompts(&self, beacon: &mut Beacon) {
        let now = clock::now();
        for (part, server, at) in &self.prompts {
            if now.saturating_sub(*at) > MAX_PROMPT_AGE {
                continue;
            }
            beacon.prompts.push(Prompt {
                hash: *part,
                server: beacon::id(server),
            });
        }
    }

    /// Sets the data centre of this gateway.
    pub fn set_data_centre(&mut self, data_centre: &DataCentre) {
        self.placement.set_data_centre(data_centre);
    }

    /// Returns the handle that is notified when this gateway's work changes or a prompt of it was
    /// processed.
    pub fn announce_notify(&self) -> Rc<Notify> {
        self.announce_notify.clone()
    }

    /// Returns this gateway's work at the servers where it changed since the last call, for the
    /// peers of its data centre.
    pub fn take_changed(&mut self) -> Vec<Load> {
        let changed = std::mem::take(&mut self.changed_servers);
        let load = |server: &Server| load(server, self.placement.own_work(server));
        changed.iter().map(load).collect()
    }

    /// Returns the prompts that were processed for this gateway since the last call, for the peers
    /// of its data centre.
    pub fn take_new_prompts(&mut self) -> Vec<Prompt> {
        std::mem::take(&mut self.new_prompts)
    }

    /// Announces a processed prompt to the peers of the data centre. In a large fleet beacons are
    /// many seconds apart, and the callers of a gateway that fails meanwhile reconnect to a peer.
    pub(super) fn announce_prompt(&mut self, prompt: Prompt) {
        if self.is_partitioned() {
            self.new_prompts.push(prompt);
            self.announce_notify.notify_one();
        }
    }

    /// Records that this gateway's work at a server changed. Peers are notified at once only when
    /// the gateways partition the engines.
    pub(super) fn mark_changed(&mut self, server: &Server) {
        self.changed = true;
        if !self.is_partitioned() {
            return;
        }
        self.changed_servers.insert(server.clone());
        self.announce_notify.notify_one();
    }

    /// Applies the load message of a peer in the data centre; returns `false` if a newer one was
    /// applied before.
    pub fn apply_loads(&mut self, message: &Loads) -> bool {
        let newest = self.load_sequences.entry(message.incarnation).or_default();
        if *newest >= message.sequence {
            return false;
        }
        *newest = message.sequence;
        for load in &message.loads {
            if let Some(server) = self.servers_by_id.get(&load.server) {
                self.placement
                    .set_peer_work(message.incarnation, server, work(load));
            }
        }
        true
    }

    /// Applies prompts that engines have cached according to a peer.
    pub fn apply_cached(&mut self, prompts: &[Prompt]) {
        let now = clock::now();
        for prompt in prompts {
            if let Some(server) = self.servers_by_id.get(&prompt.server) {
                self.placement
                    .record_cached(now, &[(prompt.hash, 0)], server);
            }
        }
    }

    /// Applies a peer's beacon.
    pub fn apply_beacon(&mut self, beacon: &Beacon) {
        let mut loads = HashMap::with_capacity(beacon.loads.len());
        for load in &beacon.loads {
            let Some(server) = self.servers_by_id.get(&load.server) else {
                continue;
            };
            loads.insert(server.clone(), work(load));
        }
        self.placement.set_peer_loads(beacon.incarnation, loads);
        self.apply_cached(&beacon.prompts);
        let now = clock::now();
        for failure in &beacon.failures {
            let Some(server) = self.servers_by_id.get(&failure.server) else {
                continue;
            };
            let at = now.saturating_sub(Duration::from_millis(u64::from(failure.age_ms)));
            self.placement
                .record_peer_suspicion(at, server, from_beacon(failure.suspicion));
        }
    }

    /// Removes the work of a peer that ended or stopped sending.
    pub fn remove_peer(&mut self, peer: Incarnation) {
        self.load_sequences.remove(&peer);
        self.placement.forget_peer(peer);
    }

    /// Sets the rank of this gateway among the live ones, and their number.
    pub fn set_rank(&mut self, rank: (usize, usize)) {
        self.placement.set_rank(rank);
    }

    /// Returns the rank of this gateway among the live ones, and their number.
    pub fn rank(&self) -> (usize, usize) {
        self.placement.rank()
    }

    /// Returns whether there are so many gateways that each has a partition of the servers.
    pub fn is_partitioned(&self) -> bool {
        self.placement.is_partitioned()
    }

    /// Returns whether a server belongs to this gateway's partition.
    pub fn owns(&self, server: &Server) -> bool {
        self.placement.owns(server)
    }

    /// Returns whether there are changes for the next beacon.
    pub fn has_changes(&self) -> bool {
        self.changed
    }
}

fn load(server: &Server, work: Work) -> Load {
    Load {
        server: beacon::id(server),
        requests: work.requests,
        tokens: work.tokens,
        prefill_tokens: work.prefill_tokens,
    }
}

fn work(load: &Load) -> Work {
    Work {
        requests: load.requests,
        tokens: load.tokens,
        prefill_tokens: load.prefill_tokens,
    }
}

fn to_beacon(suspicion: Suspicion) -> beacon::Suspicion {
    match suspicion {
        Suspicion::Refused => beacon::Suspicion::Refused,
        Suspicion::Unresponsive => beacon::Suspicion::Unresponsive,
        Suspicion::Disconnected => beacon::Suspicion::Disconnected,
        Suspicion::Full => beacon::Suspicion::Full,
    }
}

fn from_beacon(suspicion: beacon::Suspicion) -> Suspicion {
    match suspicion {
        beacon::Suspicion::Refused => Suspicion::Refused,
        beacon::Suspicion::Unresponsive => Suspicion::Unresponsive,
        beacon::Suspicion::Disconnected => Suspicion::Disconnected,
        beacon::Suspicion::Full => Suspicion::Full,
    }
}
