//! Replicas of several hosts joined in memory, with simulated time and a store that can fail.
//!
//! Messages and store calls are delivered after a fixed delay, one inside a data centre and one
//! between data centres. Capacity and queues are not simulated.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use names::{
    Clock,
    Host,
    Revision, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use spread::{
    Action,
    Edition,
    Event,
    Identity,
    Message,
    Replica,
    membership::{
        Listing,
        Role, //
    }, //
};

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of messages inside a data centre, and of the store's responses.
const LOCAL_DELAY: Duration = Duration::from_millis(1);

/// Delay of messages between data centres.
const REMOTE_DELAY: Duration = Duration::from_millis(5);

/// The only environment in the tests.
pub const ENVIRONMENT: &str = "production";

/// Traffic of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Calls to the store.
    pub calls: u64,
}

/// Simulated host.
pub struct Node {
    /// Replica of its process; `None` while the process is down.
    pub replica: Option<Replica>,
    /// Data centre of the host.
    pub data_centre: String,
    /// Traffic since the last reset.
    pub count: Count,
    /// Time at which each revision came into force.
    pub in_force: BTreeMap<Revision, Clock>,
    /// Time at which the process last became ready.
    pub ready: Option<Clock>,
    /// Facts received from other hosts.
    pub received_facts: Vec<spread::Key>,
    /// Number of times that the process became unready.
    pub unready_count: u32,
    paused: bool,
    inbox: Vec<Event>,
    tick: Duration,
}

/// Behaviour of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// The store answers all calls.
    #[default]
    None,
    /// The store fails all calls.
    Out,
    /// The store never answers.
    Silent,
    /// Pending watches are never answered; new calls are.
    SilentWatches,
}

/// Simulated store.
#[derive(Default)]
pub struct Store {
    /// Current behaviour.
    pub fault: Fault,
    document: Option<Edition>,
    waiting: Vec<(Host, u64, Revision, Clock)>,
}

enum Scheduled {
    Tick(Host),
    Event(Host, Event),
}

/// Hosts and the store, with the queue of events between them.
pub struct Mesh {
    /// Hosts by name.
    pub nodes: BTreeMap<Host, Node>,
    /// The store.
    pub store: Store,
    /// Current time.
    pub now: Clock,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Data centres that can't reach the other ones.
    pub partitioned: BTreeSet<String>,
    /// Hosts and data centres that can't reach the store.
    pub without_store: BTreeSet<String>,
    /// Pairs of hosts (from, to) between which all messages are lost.
    pub broken_links: BTreeSet<(Host, Host)>,
    /// Whether hosts start with an empty host list, so that none knows of any other.
    pub empty_host_list: bool,
    /// Returns the size of a message in bytes.
    message_size: fn(&Message) -> usize,
    queue: BTreeMap<(Clock, u64), Scheduled>,
    sequence: u64,
    rng: StdRng,
}

impl Mesh {
    /// Creates hosts named `<data centre>-<number>`, all down; `start` brings them up.
    pub fn new(
        data_centres: usize,
        each: usize,
        seed: u64,
        message_size: fn(&Message) -> usize,
    ) -> Self {
        let mut nodes = BTreeMap::new();
        for data_centre in 0..data_centres {
            for host in 0..each {
                let data_centre = format!("dc{data_centre}");
                nodes.insert(format!("{data_centre}-{host}"), Node::new(data_centre));
            }
        }
        Self {
            nodes,
            store: Store::default(),
            now: Duration::from_secs(1),
            loss: 0.0,
            partitioned: BTreeSet::new(),
            without_store: BTreeSet::new(),
            broken_links: BTreeSet::new(),
            empty_host_list: false,
            message_size,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts a host's process with a new replica.
    pub fn start(&mut self, host: &str) {
        let incarnation = self.rng.random_range(1..u64::MAX);
        let rng = StdRng::seed_from_u64(self.rng.random());
        let list = self.list();
        let phase = TICK_INTERVAL.mul_f64(self.rng.random_range(0.0..1.0));
        let now = self.now;
        let node = self.node(host);
        let identity = Identity {
            host: host.into(),
            data_centre: node.data_centre.clone(),
            incarnation,
        };
        node.replica = Some(Replica::new(identity, now, rng));
        node.in_force.clear();
        node.ready = None;
        node.inbox.clear();
        node.tick = now + phase;
        self.event(host, Event::HostList(list));
        self.schedule(now + phase, Scheduled::Tick(host.into()));
    }

    /// Starts all hosts that are down.
    pub fn start_all(&mut self) {
        for host in self.hosts() {
            if self.nodes[&host].replica.is_none() {
                self.start(&host);
            }
        }
    }

    /// Returns the names of all hosts.
    pub fn hosts(&self) -> Vec<Host> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns the platform's host list.
    pub fn list(&self) -> Vec<Listing> {
        if self.empty_host_list {
            return Vec::new();
        }
        let listing = |(host, node): (&Host, &Node)| Listing {
            host: host.clone(),
            data_centre: node.data_centre.clone(),
            role: Role::Entry,
            leaving: false,
        };
        self.nodes.iter().map(listing).collect()
    }

    /// Kills a host's process.
    pub fn kill(&mut self, host: &str) {
        self.node(host).replica = None;
        self.store.waiting.retain(|waiting| waiting.0 != host);
    }

    /// Pauses a host's process, or resumes it and delivers the events from the meantime.
    pub fn pause(&mut self, host: &str, paused: bool) {
        let now = self.now;
        let node = self.node(host);
        node.paused = paused;
        if paused {
            return;
        }
        node.tick = now;
        for event in std::mem::take(&mut node.inbox) {
            self.event(host, event);
        }
        self.schedule(now, Scheduled::Tick(host.into()));
    }

    /// Writes a document to the store.
    pub fn write(&mut self, revision: Revision, text: &str) -> Edition {
        let edition = Edition {
            revision,
            digest: revision,
            text: text.into(),
        };
        self.store.document = Some(edition.clone());
        if self.store.fault != Fault::SilentWatches {
            for (host, call, _, _) in std::mem::take(&mut self.store.waiting) {
                self.answer_watch(&host, call);
            }
        }
        edition
    }

    /// Changes the behaviour of the store.
    pub fn fault(&mut self, fault: Fault) {
        self.store.fault = fault;
        let waiting = std::mem::take(&mut self.store.waiting);
        match fault {
            Fault::Out => {
                for (host, call, _, _) in waiting {
                    self.reply(&host, Event::Failed { call });
                }
            }
            Fault::None => self.store.waiting = waiting,
            Fault::Silent | Fault::SilentWatches => {}
        }
    }

    /// Delivers an event to a host at once.
    pub fn event(&mut self, host: &str, event: Event) {
        let now = self.now;
        let node = self.node(host);
        if node.paused {
            node.inbox.push(event);
            return;
        }
        let Some(replica) = &mut node.replica else {
            return;
        };
        for action in replica.handle(event, now) {
            self.perform(host, action);
        }
    }

    /// Runs until a condition holds. Returns the time that it took; `None` if it exceeds the limit.
    pub fn until(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        loop {
            if holds(self) {
                return Some(self.now - start);
            }
            let next = self.queue.first_key_value().map(|(key, _)| key.0);
            let Some(time) = next.filter(|time| *time <= start + limit) else {
                self.now = start + limit;
                return None;
            };
            let (_, due) = self.queue.pop_first()?;
            self.now = time.max(self.now);
            match due {
                Scheduled::Tick(host) => self.tick(&host),
                Scheduled::Event(host, event) => self.event(&host, event),
            }
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let ended = self.until(time, |_| false);
        assert!(ended.is_none(), "the run ends at its time limit");
    }

    /// Returns whether this revision or a newer one is in force on all hosts that are up.
    pub fn everywhere(&self, revision: Revision) -> bool {
        self.nodes
            .values()
            .all(|node| node.replica.is_none() || node.revision() >= revision)
    }

    /// Returns whether all hosts that are up are ready.
    pub fn all_ready(&self) -> bool {
        self.nodes
            .values()
            .all(|node| node.replica.as_ref().is_none_or(Replica::is_ready))
    }

    /// Returns the number of pending watches in the store.
    pub fn watch_count(&self) -> usize {
        self.store.waiting.len()
    }

    /// Resets the traffic counts of all hosts to 0.
    pub fn reset(&mut self) {
        for node in self.nodes.values_mut() {
            node.count = Count::default();
        }
    }

    fn node(&mut self, host: &str) -> &mut Node {
        self.nodes
            .get_mut(host)
            .expect("the host belongs to the mesh")
    }

    fn schedule(&mut self, time: Clock, due: Scheduled) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), due);
    }

    fn tick(&mut self, host: &str) {
        let now = self.now;
        let node = self.node(host);
        // A tick scheduled before a restart or a pause is obsolete; a later one is scheduled.
        if node.replica.is_none() || node.paused || node.tick > now {
            return;
        }
        node.tick = now + TICK_INTERVAL;
        self.event(host, Event::Tick { wall: now });
        self.schedule(now + TICK_INTERVAL, Scheduled::Tick(host.into()));
        let expired: Vec<_> = self
            .store
            .waiting
            .iter()
            .filter(|w| w.3 <= now)
            .cloned()
            .collect();
        if self.store.fault == Fault::SilentWatches {
            return;
        }
        self.store.waiting.retain(|waiting| waiting.3 > now);
        for (host, call, _, _) in expired {
            self.answer_watch(&host, call);
        }
    }

    fn perform(&mut self, host: &str, action: Action) {
        let now = self.now;
        match action {
            Action::Send { to, message } => self.send(host, to, message),
            Action::Read { call } => self.call(host, call, None),
            Action::Watch { call, after, wait } => self.call(host, call, Some((after, wait))),
            Action::StopWatch { call } => {
                let other = |w: &(Host, u64, Revision, Clock)| w.0 != host || w.1 != call;
                self.store.waiting.retain(other);
            }
            Action::InForce { revision, .. } => {
                let node = self.node(host);
                let newest = node.in_force.last_key_value().map_or(0, |(r, _)| *r);
                assert!(revision > newest, "{host} went from {newest} to {revision}");
                node.in_force.insert(revision, now);
            }
            Action::Ready => self.node(host).ready = Some(now),
            Action::Unready => {
                let node = self.node(host);
                node.ready = None;
                node.unready_count += 1;
            }
            Action::FactReceived { key } => self.node(host).received_facts.push(key),
            Action::Inventory { .. } => {}
        }
    }

    fn send(&mut self, from: &str, to: Host, message: Message) {
        let size = (self.message_size)(&message) as u64;
        let count = &mut self.node(from).count;
        count.messages += 1;
        count.sent += size;
        let (here, there) = (
            self.nodes[from].data_centre.clone(),
            &self.nodes[&to].data_centre,
        );
        let remote = here != *there;
        let partitioned =
            remote && (self.partitioned.contains(&here) || self.partitioned.contains(there));
        let link_broken = self.broken_links.contains(&(from.to_string(), to.clone()));
        if partitioned || link_broken || self.rng.random_bool(self.loss) {
            return;
        }
        self.node(&to).count.received += size;
        let delay = if remote { REMOTE_DELAY } else { LOCAL_DELAY };
        let event = Event::Message {
            from: from.into(),
            message,
        };
        self.schedule(self.now + delay, Scheduled::Event(to, event));
    }

    fn reply(&mut self, host: &str, event: Event) {
        self.schedule(self.now + LOCAL_DELAY, Scheduled::Event(host.into(), event));
    }

    fn call(&mut self, host: &str, call: u64, watch: Option<(Revision, Duration)>) {
        let node = self.node(host);
        node.count.calls += 1;
        let data_centre = node.data_centre.clone();
        if self.store.fault == Fault::Silent {
            return;
        }
        let unreached =
            self.without_store.contains(&data_centre) || self.without_store.contains(host);
        if unreached || self.store.fault == Fault::Out {
            return self.reply(host, Event::Failed { call });
        }
        let newest = self.store.document.as_ref().map_or(0, |d| d.revision);
        match watch {
            Some((after, wait)) if after >= newest => {
                let until = self.now + wait;
                self.store.waiting.push((host.into(), call, after, until));
            }
            Some(_) => self.answer_watch(host, call),
            None => {
                let (documents, revision) = self.stored();
                let event = Event::Read {
                    call,
                    documents,
                    revision,
                };
                self.reply(host, event);
            }
        }
    }

    fn answer_watch(&mut self, host: &str, call: u64) {
        let (documents, revision) = self.stored();
        let event = Event::Changed {
            call,
            documents,
            revision,
        };
        self.reply(host, event);
    }

    fn stored(&self) -> (Vec<(String, Edition)>, Revision) {
        let documents: Vec<_> = self
            .store
            .document
            .iter()
            .map(|edition| (ENVIRONMENT.to_string(), edition.clone()))
            .collect();
        let revision = documents.first().map_or(0, |(_, edition)| edition.revision);
        (documents, revision)
    }
}

impl Node {
    fn new(data_centre: String) -> Self {
        Self {
            replica: None,
            data_centre,
            count: Count::default(),
            in_force: BTreeMap::new(),
            ready: None,
            received_facts: Vec::new(),
            unready_count: 0,
            paused: false,
            inbox: Vec::new(),
            tick: Duration::ZERO,
        }
    }

    /// Returns the revision in force; 0 for none.
    pub fn revision(&self) -> Revision {
        let replica = self.replica.as_ref();
        let edition = replica.and_then(|replica| replica.document(ENVIRONMENT));
        edition.map_or(0, |edition| edition.revision)
    }
}
