//! A small deployment: two entries, a store, and the services `writer` (engines), `ledger` and six desks.

use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    caller::{is_ready, send, Balancer, Outcome, Request},
    entry::{Entry, Network},
    record::Record,
    replica::HOT_PATH,
    store::Store,
};

/// Hosts of the entries within the network.
const ENTRY_HOSTS: [u8; 2] = [11, 12];

/// Manifest of the deployment.
const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"letters","host":"shop.example","prefix":"/letters/","kind":"streaming","timeoutMs":25000,"sloMs":4500,"priority":1,"service":"writer","maxAttempts":5,"public":false,"sticky":true,"resumable":true,"gapTargetMs":700},
{"name":"long-letters","host":"shop.example","prefix":"/letters/long/","kind":"streaming","timeoutMs":25000,"sloMs":10000,"priority":1,"service":"writer","maxAttempts":5,"public":false,"sticky":true,"resumable":true,"gapTargetMs":700},
{"name":"desk-1","host":"shop.example","prefix":"/desk/1/","kind":"safe","timeoutMs":1000,"sloMs":100,"priority":2,"service":"desk-1","maxAttempts":2,"public":false,"sticky":false,"resumable":false},
{"name":"desk-2","host":"shop.example","prefix":"/desk/2/","kind":"safe","timeoutMs":1000,"sloMs":100,"priority":2,"service":"desk-2","maxAttempts":2,"public":false,"sticky":false,"resumable":false},
{"name":"desk-3","host":"shop.example","prefix":"/desk/3/","kind":"safe","timeoutMs":1000,"sloMs":100,"priority":2,"service":"desk-3","maxAttempts":2,"public":false,"sticky":false,"resumable":false},
{"name":"desk-4","host":"shop.example","prefix":"/desk/4/","kind":"safe","timeoutMs":1000,"sloMs":100,"priority":2,"service":"desk-4","maxAttempts":2,"public":false,"sticky":false,"resumable":false},
{"name":"desk-5","host":"shop.example","prefix":"/desk/5/","kind":"safe","timeoutMs":1000,"sloMs":100,"priority":2,"service":"desk-5","maxAttempts":2,"public":false,"sticky":false,"resumable":false},
{"name":"desk-6","host":"shop.example","prefix":"/desk/6/","kind":"safe","timeoutMs":1000,"sloMs":100,"priority":2,"service":"desk-6","maxAttempts":2,"public":false,"sticky":false,"resumable":false},
{"name":"pay","host":"shop.example","prefix":"/pay/","kind":"unsafe","timeoutMs":1000,"sloMs":100,"priority":2,"service":"ledger","maxAttempts":1,"public":false,"sticky":false,"resumable":false},
{"name":"order","host":"shop.example","prefix":"/order/","kind":"unsafe","timeoutMs":1000,"sloMs":100,"priority":2,"service":"ledger","maxAttempts":2,"public":false,"sticky":false,"resumable":false},
{"name":"look","host":"shop.example","prefix":"/look/","kind":"safe","timeoutMs":1000,"sloMs":100,"priority":2,"service":"ledger","maxAttempts":2,"public":false,"sticky":false,"resumable":false}],
"services":[
{"name":"writer","healthPath":"/health","maxConns":210,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapacity":55000,"tokenBytes":327680,"linkMbps":260000.0,"moves":false,"backups":false,"stride":8,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":4.0,"models":[{"name":"m"}]}},
{"name":"desk-1","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
{"name":"desk-2","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
{"name":"desk-3","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
{"name":"desk-4","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
{"name":"desk-5","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
{"name":"desk-6","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
{"name":"ledger","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"team-one","apiKeys":["key-one"],"priority":1}]}"#;

/// Routes of the desks, each with a service of its own.
const DESK_PATHS: [&str; 6] = ["desk/1", "desk/2", "desk/3", "desk/4", "desk/5", "desk/6"];

/// Largest body that the manifest allows.
const MAX_BODY_BYTES: usize = 4_194_304;

/// Kinds of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Letter,
    /// A letter from a sheet as long as the manifest allows.
    LongLetter,
    Pay,
    Look,
    /// A look-up at one of the desks, in turn.
    Desk,
    /// A look-up that is always the same.
    HotLook,
    /// Like a payment, on a route that allows two replicas.
    Order,
}

impl Kind {
    pub const ALL: [Kind; 6] =
        [Kind::Letter, Kind::Pay, Kind::Look, Kind::Desk, Kind::HotLook, Kind::Order];

    pub fn request(self, number: usize) -> Request {
        let (method, path, seconds) = match self {
            Kind::Desk => ("GET", DESK_PATHS[number % DESK_PATHS.len()], 1),
            Kind::Letter => ("POST", "letters", 25),
            Kind::LongLetter => ("POST", "letters/long", 25),
            Kind::Pay => ("POST", "pay", 1),
            Kind::Order => ("POST", "order", 1),
            Kind::Look | Kind::HotLook => ("GET", "look", 1),
        };
        let body = match self {
            Kind::Look | Kind::Desk | Kind::HotLook => Vec::new(),
            Kind::LongLetter => vec![b'x'; MAX_BODY_BYTES],
            _ => format!("{{\"number\":{number}}}").into_bytes(),
        };
        Request {
            method,
            path: match self {
                Kind::HotLook => HOT_PATH.into(),
                _ => format!("/{path}/{number}"),
            },
            deadline: Duration::from_secs(seconds),
            stream: matches!(self, Kind::Letter | Kind::LongLetter),
            body,
        }
    }
}

/// A request that ended: its kind, the second at which it was sent, and its outcome.
pub type Result = (Kind, f64, Outcome);

pub struct World {
    pub record: Record,
    pub network: Network,
    pub store: Store,
    pub entries: Vec<Entry>,
    pub balancer: Balancer,
    /// Start of the traffic.
    pub began: Instant,
    folder: PathBuf,
    results: Arc<Mutex<Vec<Result>>>,
}

impl World {
    /// Starts the store and prepares the entries, with `memory_mb` each; `folder` takes the record.
    pub fn new(folder: &Path, memory_mb: u64) -> io::Result<World> {
        let record = Record::create(&folder.join("record.txt"))?;
        // Runs at the same time use networks of their own.
        let mut bound = Err(io::ErrorKind::AddrInUse.into());
        let mut network = Network(0);
        for offset in 0..200 {
            network = Network(((std::process::id() + offset) % 250 + 1) as u8);
            bound = Store::start(network.store());
            if bound.is_ok() {
                break;
            }
        }
        let store = bound?;
        store.put("op/config", &MANIFEST.replace('\n', ""));
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&temporary)?;
        let mut entries = Vec::new();
        for host in ENTRY_HOSTS {
            entries.push(Entry::new(network, host, &ENTRY_HOSTS, memory_mb, &temporary)?);
        }
        let addresses = entries.iter().map(|entry| (entry.callers, entry.ready)).collect();
        Ok(World {
            balancer: Balancer::start(addresses),
            folder: temporary,
            began: Instant::now(),
            results: Arc::default(),
            record,
            network,
            store,
            entries,
        })
    }

    /// Starts the entries and waits until all are ready.
    pub fn start_entries(&mut self) -> io::Result<()> {
        for entry in &mut self.entries {
            entry.start(&self.record)?;
        }
        let end = Instant::now() + Duration::from_secs(10);
        while !self.entries.iter().all(|entry| is_ready(entry.ready)) {
            if Instant::now() > end {
                return Err(io::Error::other("the entries didn't become ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(3));
        self.began = Instant::now();
        Ok(())
    }

    /// Sends requests of some kinds at the given rates a second, for a time from now on.
    pub fn start_traffic(&self, rates: &[(Kind, f64)], seconds: f64) {
        for (kind, rate) in rates.iter().copied() {
            let (balancer, record) = (self.balancer.clone(), self.record.clone());
            let (results, began) = (self.results.clone(), self.began);
            let start = Instant::now();
            thread::spawn(move || {
                for number in 0..(seconds * rate) as usize {
                    let at = start + Duration::from_secs_f64(number as f64 / rate);
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    let (balancer, record, results) =
                        (balancer.clone(), record.clone(), results.clone());
                    thread::spawn(move || {
                        let sent = began.elapsed().as_secs_f64();
                        let outcome = send(&balancer, &kind.request(number), &record);
                        results.lock().unwrap().push((kind, sent, outcome));
                    });
                }
            });
        }
    }

    /// Waits until a second of the traffic.
    pub fn wait_until(&self, second: f64) {
        let at = self.began + Duration::from_secs_f64(second);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }

    /// Returns the requests that ended.
    pub fn results(&self) -> Vec<Result> {
        self.results.lock().unwrap().clone()
    }

    /// Records how the requests sent between two seconds ended, and returns the numbers of those and
    /// of the served ones.
    pub fn tally(&self, kinds: &[Kind], from: f64, to: f64) -> (usize, usize) {
        let results = self.results();
        let sent = results.iter();
        let sent = sent.filter(|(kind, at, _)| kinds.contains(kind) && *at >= from && *at < to);
        let sent: Vec<_> = sent.collect();
        let served = sent.iter().filter(|(_, _, outcome)| outcome.is_served()).count();
        let mut endings = std::collections::BTreeMap::new();
        for (_, _, outcome) in &sent {
            *endings.entry(outcome.name()).or_insert(0) += 1;
        }
        self.record.say(&format!(
            "{kinds:?} sent from second {from} to {to}: {} sent, {served} served; {endings:?}",
            sent.len()
        ));
        (sent.len(), served)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.kill(&self.record);
        }
        match std::env::var("KEEP_LOGS") {
            Ok(_) => println!("logs in {}", self.folder.display()),
            Err(_) => {
                let _ = fs::remove_dir_all(&self.folder);
            }
        }
    }
}
