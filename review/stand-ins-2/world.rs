//! Gateway processes of a small deployment, with the commands of the deploy file.

use std::{
    fs,
    io::Write,
    net::{
        SocketAddr,
        TcpListener, //
        UdpSocket,
    },
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    http,
    store::Store, //
};

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Gateway processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends SIGKILL to a gateway process that was started here.
pub fn end(process: u32) {
    let started = STARTED.lock().expect("the list");
    if started.contains(&process) {
        unsafe { kill(process as i32, 9) };
    }
}

/// Ends all gateway processes.
pub fn end_all() {
    let started = STARTED.lock().expect("the list").clone();
    started.into_iter().for_each(end);
}

/// What the script writes down.
#[derive(Clone)]
pub struct Record(Arc<Mutex<fs::File>>, Instant);

impl Record {
    pub fn open(folder: &str) -> Record {
        let file = fs::File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        Record(Arc::new(Mutex::new(file)), Instant::now())
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.1.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self
            .0
            .lock()
            .expect("the record")
            .write_all(line.as_bytes());
    }

    /// Writes a line to the file only.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.1.elapsed().as_secs_f64());
        let _ = self
            .0
            .lock()
            .expect("the record")
            .write_all(line.as_bytes());
    }
}

/// A gateway process.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub process: Child,
}

/// Settings of a deployment's machines.
#[derive(Clone)]
pub struct Machine {
    pub memory_mb: u64,
    pub fds: u64,
}

pub struct World {
    pub store: Store,
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

/// Ports that are free on all of the addresses.
fn ports(addresses: &[String]) -> (u16, u16, u16, u16) {
    loop {
        let free = |_| {
            TcpListener::bind("127.0.0.1:0")
                .ok()
                .and_then(|socket| socket.local_addr().ok())
        };
        let found: Vec<u16> = (0..4)
            .filter_map(free)
            .map(|address| address.port())
            .collect();
        let fits = |ip: &String| {
            found.iter().all(|port| {
                TcpListener::bind((ip.as_str(), *port)).is_ok()
                    && UdpSocket::bind((ip.as_str(), *port)).is_ok()
            })
        };
        if let [front, ready, control, metrics] = found[..] {
            if addresses.iter().all(fits) {
                return (front, ready, control, metrics);
            }
        }
    }
}

impl World {
    /// Starts gateways, each on an address of its own, once the store has a manifest.
    pub fn start(store: Store, count: usize, machine: &Machine, bounds: &str) -> World {
        let unique = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{unique}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let addresses: Vec<String> = (0..count)
            .map(|at| format!("127.0.0.{}", 11 + at))
            .collect();
        let (front, ready, control, metrics) = ports(&addresses);
        let seeds: Vec<String> = addresses
            .iter()
            .take(3)
            .map(|ip| format!("  - \"{ip}:{control}\"\n"))
            .collect();
        let mut gateways = Vec::new();
        for (at, ip) in addresses.iter().enumerate() {
            let settings = format!(
                "nodeName: \"front-{at}\"\nrole: \"entry\"\nmachineClass: \"front\"\nserves:\n  - \"front\"\n  \
                 - \"control\"\nip: \"{ip}\"\nzone: \"zone-a\"\nregion: \"region-a\"\nzones:\n  \
                 zone-a: \"region-a\"\nlisten:\n  front: \"{ip}:{front}\"\n  readyAddr: \"{ip}:{ready}\"\n  \
                 control: \"{ip}:{control}\"\nportRange:\n  - {control}\n  - {control}\nseeds:\n{}\
                 bootstrap: true\nfaultCounted: false\nlimits:\n  cpuShare: 0.19\n  cores: 1\n  \
                 memoryMb: {}\n  maxFds: {}\n  linkMbps: 1000.0\n  diskMb: 0\nheartbeatMs: 1200\n\
                 bounds:\n{bounds}platform:\n  address: \"{}\"\n  form: \"kv\"\n  writesPerS: 400\n  \
                 readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n  ttlMinMs: 1000\n",
                seeds.concat(),
                machine.memory_mb,
                machine.fds,
                store.address
            );
            let path = folder.join(format!("settings-{at}.yaml"));
            fs::write(&path, settings).expect("settings");
            let address =
                |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().expect("an address") };
            let process = spawn(&path, metrics);
            STARTED.lock().expect("the list").push(process.id());
            gateways.push(Gateway {
                front: address(front),
                ready: address(ready),
                metrics: address(metrics),
                process,
            });
        }
        World {
            store,
            gateways,
            folder,
        }
    }

    /// Waits until all gateways say that they are ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        while Instant::now() < until {
            let is_ready = |gateway: &Gateway| {
                let answer = http::call(gateway.ready, request, Duration::from_millis(500));
                answer.is_ok_and(|answer| answer.status() == 200)
            };
            if self.gateways.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            let _ = gateway.process.kill();
            let _ = gateway.process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Starts a gateway with the command of the deploy file. Nothing reads its log.
fn spawn(settings: &PathBuf, metrics: u16) -> Child {
    Command::new("target/release/medlarhatch-gateway")
        .args(["--metrics", &metrics.to_string()])
        .env("MEDLARHATCH_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the gateway is built")
}

/// Resident memory of a process, in bytes.
pub fn resident(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

/// Bounds as on the sheet of the small deployments.
pub const BOUNDS: &str = "  seedLagS: 3\n  addrReuseS: 2\n  contactMs: 3000\n  ackMs: 4000\n  catchUpS: 4\n  \
    drainMs: 2000\n  graceS: 8\n  lossSlackMs: 200\n  configApplyMs: 2000\n  downgradeSlackMs: 250\n  \
    skewMaxMs: 5000\n  strictRevoke: true\n  revokeMs: 5000\n  retryRatio: 0.8\n  retryWindowS: 10\n  \
    retrySlack: 150\n  exposureShare: 0.1\n  exposureSlack: 50\n  rollbackMs: 5000\n  recoveryS: 12\n  \
    passMs: 120\n  reuseWindowS: 10\n";

/// A route of a manifest.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub slo_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

/// A manifest with the limits of the pages' example.
pub fn manifest(version: u64, routes: &[Route], engines: &[&str], services: &[&str]) -> String {
    let routes = routes.iter().map(|route| {
        format!(
            "{{\"name\":\"{0}\",\"host\":\"desk.example\",\"prefix\":\"/{0}/\",\"kind\":\"{1}\",\
             \"timeoutMs\":{2},\"sloMs\":{3},\"priority\":1,\"service\":\"{4}\",\"maxAttempts\":{5},\
             \"public\":false,\"sticky\":{6},\"resumable\":{7},\"gapTargetMs\":700}}",
            route.name,
            route.kind,
            route.timeout_ms,
            route.slo_ms,
            route.service,
            route.attempts,
            route.kind == "streaming",
            route.resumable
        )
    });
    let routes: Vec<String> = routes.collect();
    let engines = engines.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":210,\"protocol\":\"h1\",\"tls\":false,\
             \"engine\":{{\"slots\":24,\"kvCapacity\":55000,\"tokenBytes\":327680,\"linkMbps\":260000.0,\
             \"moves\":false,\"backups\":false,\"stride\":8,\"handleS\":4.0,\"models\":[{{\"name\":\"m\"}}]}}}}"
        )
    });
    let plain = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let services: Vec<String> = engines.chain(plain).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\
         \"name\":\"team-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Head of a consumer's request, without the empty line.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer key-1\r\n"
    )
}
