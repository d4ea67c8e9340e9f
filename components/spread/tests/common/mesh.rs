//! Boards of several hosts joined in memory, with a store that can fail. Time is made up.
//!
//! It carries messages and store calls and nothing else: no capacity, no queues, one fixed delay
//! inside a data centre and one between.

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

/// Pace of ticks.
const TICK: Duration = Duration::from_millis(100);

/// Delay of a message inside a data centre, and of the store's answers.
const NEAR: Duration = Duration::from_millis(1);

/// Delay of a message between data centres.
const FAR: Duration = Duration::from_millis(5);

/// The one environment of the tests.
pub const ENVIRONMENT: &str = "production";

/// What a host sent and asked for.
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

/// One host.
pub struct Node {
    /// Its process; none while it is down.
    pub board: Option<Replica>,
    /// Its data centre.
    pub data_centre: String,
    /// What it sent and asked for.
    pub count: Count,
    /// When each revision came into force.
    pub in_force: BTreeMap<Revision, Clock>,
    /// When it became ready last.
    pub ready: Option<Clock>,
    /// Facts that came from others.
    pub known: Vec<spread::Key>,
    /// It was told to be unready.
    pub unready: u32,
    paused: bool,
    inbox: Vec<Event>,
    tick: Duration,
}

/// What the store does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It answers.
    #[default]
    None,
    /// It answers that it can't.
    Out,
    /// It never answers.
    Silent,
    /// Watches that wait already never answer; new calls are well.
    SilentWatches,
}

/// The platform's store.
#[derive(Default)]
pub struct Store {
    /// What it does.
    pub fault: Fault,
    document: Option<Edition>,
    waiting: Vec<(Host, u64, Revision, Clock)>,
}

enum Due {
    Tick(Host),
    Event(Host, Event),
}

/// Hosts and the store.
pub struct Mesh {
    /// The hosts.
    pub nodes: BTreeMap<Host, Node>,
    /// The store.
    pub store: Store,
    /// The time.
    pub now: Clock,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Hosts that reach neither each other's data centre nor, if so said, the store.
    pub cut: BTreeSet<String>,
    /// Hosts and data centres that don't reach the store.
    pub storeless: BTreeSet<String>,
    /// Pairs of hosts (from, to) between which messages are lost.
    pub deaf: BTreeSet<(Host, Host)>,
    /// The platform's list is empty from the start: nobody knows of anybody.
    pub alone: bool,
    /// Size of a message in bytes.
    weigh: fn(&Message) -> usize,
    due: BTreeMap<(Clock, u64), Due>,
    order: u64,
    rng: StdRng,
}

impl Mesh {
    /// Hosts `<data centre>-<number>`, all down; `start` brings them up.
    pub fn new(data_centres: usize, each: usize, seed: u64, weigh: fn(&Message) -> usize) -> Self {
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
            cut: BTreeSet::new(),
            storeless: BTreeSet::new(),
            deaf: BTreeSet::new(),
            alone: false,
            weigh,
            due: BTreeMap::new(),
            order: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts a host's process, anew if it was there before.
    pub fn start(&mut self, host: &str) {
        let incarnation = self.rng.random_range(1..u64::MAX);
        let rng = StdRng::seed_from_u64(self.rng.random());
        let list = self.list();
        let phase = TICK.mul_f64(self.rng.random_range(0.0..1.0));
        let now = self.now;
        let node = self.node(host);
        let place = Identity {
            host: host.into(),
            data_centre: node.data_centre.clone(),
            incarnation,
        };
        node.board = Some(Replica::new(place, now, rng));
        node.in_force.clear();
        node.ready = None;
        node.inbox.clear();
        node.tick = now + phase;
        self.event(host, Event::HostList(list));
        self.schedule(now + phase, Due::Tick(host.into()));
    }

    /// Starts all hosts that are down.
    pub fn start_all(&mut self) {
        for host in self.hosts() {
            if self.nodes[&host].board.is_none() {
                self.start(&host);
            }
        }
    }

    /// Names of all hosts.
    pub fn hosts(&self) -> Vec<Host> {
        self.nodes.keys().cloned().collect()
    }

    /// The platform's list, with all hosts.
    pub fn list(&self) -> Vec<Listing> {
        if self.alone {
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

    /// Ends a host's process.
    pub fn kill(&mut self, host: &str) {
        self.node(host).board = None;
        self.store.waiting.retain(|waiting| waiting.0 != host);
    }

    /// Stops a host's process, or lets it go on with what came meanwhile.
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
        self.schedule(now, Due::Tick(host.into()));
    }

    /// A document is written to the store.
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

    /// The store gets a fault, or gets well.
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

    /// Gives an event to a host at once.
    pub fn event(&mut self, host: &str, event: Event) {
        let now = self.now;
        let node = self.node(host);
        if node.paused {
            node.inbox.push(event);
            return;
        }
        let Some(board) = &mut node.board else {
            return;
        };
        for action in board.handle(event, now) {
            self.act(host, action);
        }
    }

    /// Runs until a condition holds, and gives the time it took; `None` when it didn't in time.
    pub fn until(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let began = self.now;
        loop {
            if holds(self) {
                return Some(self.now - began);
            }
            let next = self.due.first_key_value().map(|(key, _)| key.0);
            let Some(time) = next.filter(|time| *time <= began + limit) else {
                self.now = began + limit;
                return None;
            };
            let (_, due) = self.due.pop_first()?;
            self.now = time.max(self.now);
            match due {
                Due::Tick(host) => self.tick(&host),
                Due::Event(host, event) => self.event(&host, event),
            }
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let ended = self.until(time, |_| false);
        assert!(ended.is_none(), "the time is over and nothing else ends it");
    }

    /// Tells whether a revision is in force on all hosts that are up.
    pub fn everywhere(&self, revision: Revision) -> bool {
        self.nodes
            .values()
            .all(|node| node.board.is_none() || node.revision() >= revision)
    }

    /// Tells whether all hosts that are up are ready.
    pub fn all_ready(&self) -> bool {
        self.nodes
            .values()
            .all(|node| node.board.as_ref().is_none_or(Replica::is_ready))
    }

    /// Number of watches that wait in the store.
    pub fn watching(&self) -> usize {
        self.store.waiting.len()
    }

    /// Sets all counts back to 0.
    pub fn reset(&mut self) {
        for node in self.nodes.values_mut() {
            node.count = Count::default();
        }
    }

    fn node(&mut self, host: &str) -> &mut Node {
        self.nodes
            .get_mut(host)
            .expect("the host is one of the mesh")
    }

    fn schedule(&mut self, time: Clock, due: Due) {
        self.order += 1;
        self.due.insert((time, self.order), due);
    }

    fn tick(&mut self, host: &str) {
        let now = self.now;
        let node = self.node(host);
        // A tick from before a restart or a pause has a successor of its own.
        if node.board.is_none() || node.paused || node.tick > now {
            return;
        }
        node.tick = now + TICK;
        self.event(host, Event::Tick { wall: now });
        self.schedule(now + TICK, Due::Tick(host.into()));
        let over: Vec<_> = self
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
        for (host, call, _, _) in over {
            self.answer_watch(&host, call);
        }
    }

    fn act(&mut self, host: &str, action: Action) {
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
                node.unready += 1;
            }
            Action::FactReceived { key } => self.node(host).known.push(key),
            Action::Inventory { .. } => {}
        }
    }

    fn send(&mut self, from: &str, to: Host, message: Message) {
        let size = (self.weigh)(&message) as u64;
        let count = &mut self.node(from).count;
        count.messages += 1;
        count.sent += size;
        let (here, there) = (
            self.nodes[from].data_centre.clone(),
            &self.nodes[&to].data_centre,
        );
        let far = here != *there;
        let cut = far && (self.cut.contains(&here) || self.cut.contains(there));
        let deaf = self.deaf.contains(&(from.to_string(), to.clone()));
        if cut || deaf || self.rng.random_bool(self.loss) {
            return;
        }
        self.node(&to).count.received += size;
        let delay = if far { FAR } else { NEAR };
        let event = Event::Message {
            from: from.into(),
            message,
        };
        self.schedule(self.now + delay, Due::Event(to, event));
    }

    fn reply(&mut self, host: &str, event: Event) {
        self.schedule(self.now + NEAR, Due::Event(host.into(), event));
    }

    fn call(&mut self, host: &str, call: u64, watch: Option<(Revision, Duration)>) {
        let node = self.node(host);
        node.count.calls += 1;
        let data_centre = node.data_centre.clone();
        if self.store.fault == Fault::Silent {
            return;
        }
        let unreached = self.storeless.contains(&data_centre) || self.storeless.contains(host);
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
            board: None,
            data_centre,
            count: Count::default(),
            in_force: BTreeMap::new(),
            ready: None,
            known: Vec::new(),
            unready: 0,
            paused: false,
            inbox: Vec::new(),
            tick: Duration::ZERO,
        }
    }

    /// The revision in force; 0 for none.
    pub fn revision(&self) -> Revision {
        let board = self.board.as_ref();
        let edition = board.and_then(|board| board.document(ENVIRONMENT));
        edition.map_or(0, |edition| edition.revision)
    }
}
