//! Stand-in for the platform: key-value service, host list and weight store on one address. The
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

/// Interval at which leases are checked for expiry.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

/// Size of a weight file in bytes.
const WEIGHT_FILE_BYTES: usize = 64 << 10;

/// Configuration of a platform without faults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 picks a free port.
    pub address: SocketAddr,
    /// Host list at startup.
    pub hosts: Vec<Host>,
    /// Number of changes retained for watches.
    pub retained_changes: usize,
    /// Whether death exits the operating system process. Only the stand-in program sets it.
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

/// Faults to inject from now on, the request body of `POST /fault`.
///
/// Unset fields leave earlier faults unchanged. `docs/interfaces/store.md` and
/// `docs/interfaces/hosts.md` describe each fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Clears all faults before the other fields apply.
    pub clear: bool,
    /// Fails store requests with 503.
    pub outage: bool,
    /// Fails store requests with 503 for this time, in milliseconds.
    pub outage_ms: Option<u64>,
    /// Never responds to store requests.
    pub silence: bool,
    /// Delay before each store request is processed, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Number of writes that take effect but get no response.
    pub lose_answers: Option<u64>,
    /// Number of writes that neither take effect nor get a response.
    pub lose_writes: Option<u64>,
    /// Never responds to the watches that are waiting now.
    pub silent_watches: bool,
    /// Writes per second above which requests get 429.
    pub writes_per_s: Option<f64>,
    /// Reads per second, watches included, above which requests get 429.
    pub reads_per_s: Option<f64>,
    /// Delay of the host list, in milliseconds.
    pub hosts_lag_ms: Option<u64>,
    /// Freezes the host list as readers see it.
    pub hosts_stale: bool,
    /// Returns an empty host list.
    pub hosts_empty: bool,
    /// Reads of weight files per second above which requests get 429.
    pub weights_per_s: Option<f64>,
}

/// Numbers of store requests since the start, and of current watches and leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Get and list requests.
    pub reads: u64,
    /// Put, delete and lease requests.
    pub writes: u64,
    /// Number of watch requests.
    pub watches: u64,
    /// Watches that are waiting now.
    pub watching: u64,
    /// Leases that are live now.
    pub leases: u64,
}

/// Running stand-in platform, stopped on drop.
pub struct Platform {
    address: SocketAddr,
    core: Arc<Core>,
}

impl Platform {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address can't be bound.
    pub async fn start(settings: Settings) -> io::Result<Platform> {
        let process = Process::new(settings.exit_on_death);
        let (changed, _) = watch::channel(0);
        let core = Arc::new(Core {
            process: Arc::clone(&process),
            changed,
            state: Mutex::new(Inner {
                fault: Fault::default(),
                outage_until: None,
                counts: Counts::default(),
                watch_silences: 0,
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
        tokio::spawn(expire_leases(Arc::clone(&core)));
        Ok(Platform { address, core })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects a fault, as `POST /fault` does.
    pub fn inject_fault(&self, fault: Fault) {
        self.core.inject_fault(&fault);
    }

    /// Returns the numbers of store requests since the start, and of current watches and leases.
    pub fn counts(&self) -> Counts {
        self.core.counts()
    }

    /// Replaces the host list, as `PUT /hosts` does.
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
    /// Wakes waiting watches when the store's revision or the faults change.
    changed: watch::Sender<u64>,
    state: Mutex<Inner>,
}

struct Inner {
    fault: Fault,
    /// End of an outage of limited duration.
    outage_until: Option<Instant>,
    counts: Counts,
    /// Number of `silent_watches` faults so far.
    watch_silences: u64,
    reads: bucket::Bucket,
    writes: bucket::Bucket,
    weights: bucket::Bucket,
    store: Store,
    hosts: hosts::List,
}

impl Core {
    fn inject_fault(&self, fault: &Fault) {
        let mut state = lock(&self.state);
        if fault.clear {
            state.fault = Fault::default();
            state.outage_until = None;
            state.hosts.thaw();
        }
        let active = &mut state.fault;
        active.outage |= fault.outage;
        active.silence |= fault.silence;
        active.slow_ms = fault.slow_ms.or(active.slow_ms);
        active.lose_answers = fault.lose_answers.or(active.lose_answers);
        active.lose_writes = fault.lose_writes.or(active.lose_writes);
        active.writes_per_s = fault.writes_per_s.or(active.writes_per_s);
        active.reads_per_s = fault.reads_per_s.or(active.reads_per_s);
        active.hosts_lag_ms = fault.hosts_lag_ms.or(active.hosts_lag_ms);
        active.hosts_empty |= fault.hosts_empty;
        active.weights_per_s = fault.weights_per_s.or(active.weights_per_s);
        if let Some(outage) = fault.outage_ms {
            state.outage_until = Some(Instant::now() + Duration::from_millis(outage));
        }
        if fault.hosts_stale {
            let lag = state.fault.hosts_lag_ms;
            state.hosts.freeze(lag);
        }
        if fault.silent_watches {
            state.watch_silences += 1;
        }
        drop(state);
        // Wakes waiting watches, which then check the faults again.
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
        if let Some(seconds) = state.weights.limit(rate, Instant::now()) {
            return Response::too_many_requests(seconds);
        }
        let bytes = weight_file(path, WEIGHT_FILE_BYTES);
        Response::bytes(200, "application/octet-stream", bytes)
    }
}

impl Inner {
    fn is_unavailable(&self) -> bool {
        self.fault.outage || self.outage_until.is_some_and(|end| Instant::now() < end)
    }
}

/// Expires leases in the background, also without requests.
async fn expire_leases(core: Arc<Core>) {
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
        sleep(EXPIRY_INTERVAL).await;
    }
}

async fn respond(core: Arc<Core>, request: Request) -> Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/fault") => match request.json::<Fault>() {
            Ok(fault) => {
                core.inject_fault(&fault);
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

/// Returns the content of a weight file, derived from its name.
fn weight_file(name: &str, size: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(size);
    let mut block = 0;
    while bytes.len() < size {
        let number = xxh3_64_with_seed(name.as_bytes(), block);
        bytes.extend_from_slice(&number.to_le_bytes());
        block += 1;
    }
    bytes
}
