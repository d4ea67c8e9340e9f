//! The platform's stand-in: key-value service, host list and weight store on one address. The
//! contracts are `docs/interfaces/store.md` and `docs/interfaces/hosts.md`.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use futures_util::FutureExt;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::watch,
    time::{
        Instant,
        sleep, //
    },
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    server::{
        self,
        Process,
        Request,
        Response,
        lock, //
    },
    store::Store, //
};

mod bucket;
mod hosts;
mod kv;

pub use hosts::{
    Host,
    Role,
    State, //
};

/// How often leases are looked at.
const TICK: Duration = Duration::from_millis(10);

/// Bytes of a weight file.
const WEIGHTS: usize = 64 << 10;

/// How the platform behaves when nothing is wrong.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// Host list at the start.
    pub hosts: Vec<Host>,
    /// Changes that watches can go back to.
    pub retained_changes: usize,
    /// Ends the operating system's process on death. For the program only.
    pub exit_on_death: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            hosts: Vec::new(),
            retained_changes: 10_000,
            exit_on_death: false,
        }
    }
}

/// What goes wrong from now on; fields that are not set leave earlier faults as they are.
///
/// The body of `POST /fault`; `docs/interfaces/store.md` and `docs/interfaces/hosts.md` say what
/// each does.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Takes all faults back, before the other fields act.
    pub clear: bool,
    /// Store calls answer 503.
    pub outage: bool,
    /// Store calls answer 503 for this time, in milliseconds.
    pub outage_ms: Option<u64>,
    /// Store calls are never answered.
    pub silence: bool,
    /// Time before each store call is worked on, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Writes that take effect but get no answer.
    pub lose_answers: Option<u64>,
    /// Writes that neither take effect nor get an answer.
    pub lose_writes: Option<u64>,
    /// Watches that wait now are never answered.
    pub silent_watches: bool,
    /// Writes a second beyond which 429 is the answer.
    pub writes_per_s: Option<f64>,
    /// Reads a second, watches included, beyond which 429 is the answer.
    pub reads_per_s: Option<f64>,
    /// How late the host list is, in milliseconds.
    pub hosts_lag_ms: Option<u64>,
    /// The host list stops changing for its readers.
    pub hosts_stale: bool,
    /// The host list reads as empty.
    pub hosts_empty: bool,
    /// Weight reads a second beyond which 429 is the answer.
    pub weights_per_s: Option<f64>,
}

/// Store calls since the start, and what stands now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Gets and listings.
    pub reads: u64,
    /// Puts, deletes and lease calls.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Watches that wait now.
    pub watching: u64,
    /// Leases that stand now.
    pub leases: u64,
}

/// A running stand-in platform. Dropping it stops it.
pub struct Platform {
    address: SocketAddr,
    core: Arc<Core>,
}

impl Platform {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// Gives the error of binding the address.
    pub async fn start(settings: Settings) -> io::Result<Platform> {
        let process = Process::new(settings.exit_on_death);
        let (changed, _) = watch::channel(0);
        let core = Arc::new(Core {
            process: Arc::clone(&process),
            changed,
            state: Mutex::new(Inner {
                fault: Fault::default(),
                outage: None,
                counts: Counts::default(),
                silences: 0,
                reads: bucket::Bucket::default(),
                writes: bucket::Bucket::default(),
                weights: bucket::Bucket::default(),
                store: Store::new(settings.retained_changes),
                hosts: hosts::List::new(settings.hosts),
            }),
        });
        let handler_core = Arc::clone(&core);
        let responder =
            Box::new(move |request| respond(Arc::clone(&handler_core), request).boxed());
        let address = server::start(settings.address, process, responder).await?;
        tokio::spawn(expire(Arc::clone(&core)));
        Ok(Platform { address, core })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets a fault, as `POST /fault` does.
    pub fn fault(&self, fault: Fault) {
        self.core.fault(&fault);
    }

    /// Store calls since the start, and what stands now.
    pub fn counts(&self) -> Counts {
        self.core.counts()
    }

    /// Sets the whole host list, as `PUT /hosts` does.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        lock(&self.core.state).hosts.set(hosts);
    }

    /// Drops the listener and all connections at once.
    pub fn stop(&self) {
        self.core.process.stop();
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Core {
    process: Arc<Process>,
    /// Wakes waiting watches: the store's revision, or the same again when faults changed.
    changed: watch::Sender<u64>,
    state: Mutex<Inner>,
}

struct Inner {
    fault: Fault,
    /// End of an outage that has one.
    outage: Option<Instant>,
    counts: Counts,
    /// Number of silences of watches so far.
    silences: u64,
    reads: bucket::Bucket,
    writes: bucket::Bucket,
    weights: bucket::Bucket,
    store: Store,
    hosts: hosts::List,
}

impl Core {
    fn fault(&self, fault: &Fault) {
        let mut state = lock(&self.state);
        if fault.clear {
            state.fault = Fault::default();
            state.outage = None;
            state.hosts.thaw();
        }
        let now = &mut state.fault;
        now.outage |= fault.outage;
        now.silence |= fault.silence;
        now.slow_ms = fault.slow_ms.or(now.slow_ms);
        now.lose_answers = fault.lose_answers.or(now.lose_answers);
        now.lose_writes = fault.lose_writes.or(now.lose_writes);
        now.writes_per_s = fault.writes_per_s.or(now.writes_per_s);
        now.reads_per_s = fault.reads_per_s.or(now.reads_per_s);
        now.hosts_lag_ms = fault.hosts_lag_ms.or(now.hosts_lag_ms);
        now.hosts_empty |= fault.hosts_empty;
        now.weights_per_s = fault.weights_per_s.or(now.weights_per_s);
        if let Some(time) = fault.outage_ms {
            state.outage = Some(Instant::now() + Duration::from_millis(time));
        }
        if fault.hosts_stale {
            let lag = state.fault.hosts_lag_ms;
            state.hosts.freeze(lag);
        }
        if fault.silent_watches {
            state.silences += 1;
        }
        drop(state);
        // Waiting watches look at the faults again.
        self.changed.send_modify(|_| {});
    }

    fn counts(&self) -> Counts {
        let state = lock(&self.state);
        Counts {
            leases: state.store.leases(),
            ..state.counts
        }
    }

    fn weights(&self, path: &str) -> Response {
        let mut state = lock(&self.state);
        let rate = state.fault.weights_per_s;
        if let Some(seconds) = state.weights.refuse(rate, Instant::now()) {
            return Response::too_many_requests(seconds);
        }
        let bytes = weights(path, WEIGHTS);
        Response::bytes(200, "application/octet-stream", bytes)
    }
}

impl Inner {
    fn out(&self) -> bool {
        self.fault.outage || self.outage.is_some_and(|end| Instant::now() < end)
    }
}

/// Lets leases lapse, also while nobody calls.
async fn expire(core: Arc<Core>) {
    loop {
        if core.process.dead().is_cancelled() {
            return;
        }
        let revision = {
            let mut state = lock(&core.state);
            state.store.expire(Instant::now());
            state.store.revision()
        };
        core.changed.send_if_modified(|known| {
            let newer = revision > *known;
            *known = revision;
            newer
        });
        sleep(TICK).await;
    }
}

async fn respond(core: Arc<Core>, request: Request) -> Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/fault") => match request.json::<Fault>() {
            Ok(fault) => {
                core.fault(&fault);
                Response::json(200, &serde_json::json!({}))
            }
            Err(response) => response,
        },
        ("GET", "/counts") => Response::json(200, &core.counts()),
        (_, "/hosts") => hosts::respond(&core, &request),
        ("GET", path) if path.starts_with("/weights/") => core.weights(path),
        _ => kv::respond(core, request).await,
    }
}

/// Bytes derived from a name.
fn weights(name: &str, size: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(size);
    let mut block = 0;
    while bytes.len() < size {
        let number = xxh3_64_with_seed(name.as_bytes(), block);
        bytes.extend_from_slice(&number.to_le_bytes());
        block += 1;
    }
    bytes
}
