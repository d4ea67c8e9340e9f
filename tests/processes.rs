//! Answers over daemons that are processes of their own, killed and stopped by their ids.

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    path::Path,
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::Duration,
};

use fakes::{
    engine::{
        self,
        Engine,
        State, //
    },
    platform::{
        self,
        Platform, //
    },
};
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};
use tempfile::TempDir;
use tokio::time::{
    Instant,
    sleep, //
};
use trial::stream::Stream;

const DOCUMENT: &str = "\
environment: production
services:
  - name: draft
    kind: engine
    model: m
    versions:
      - {name: v1, servers: ['draft-*']}
routes:
  - {name: letters, match: {path: /v1/, model: m}, service: draft, version: v1}
";

const ENGINES: usize = 2;
const ENTRIES: usize = 2;
const LENGTH: u64 = 60;

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(60);

/// Output goes on within this time of a loss.
const SOON: Duration = Duration::from_secs(3);

/// A process of ours and the addresses that it printed.
struct Process {
    child: Child,
    addresses: Vec<(String, SocketAddr)>,
}

impl Process {
    fn start(directory: &Path, role: &str, name: &str, settings: &str) -> Process {
        let file = directory.join(format!("{name}.yaml"));
        std::fs::write(&file, settings).expect("the folder takes files");
        let keys = directory.join("keys").join(format!("{name}.yaml"));
        let mut child = Command::new(env!("CARGO_BIN_EXE_medlarhatch"))
            .arg(role)
            .arg("--settings")
            .arg(file)
            .arg("--keys")
            .arg(keys)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
        let mut addresses = Vec::new();
        let words = match role {
            "entry" => 3,
            _ => 2,
        };
        for line in lines.map_while(Result::ok).take(words) {
            let (word, address) = line.split_once(' ').expect("a word and an address");
            let address = address.parse().expect("an address");
            addresses.push((word.to_string(), address));
        }
        Process { child, addresses }
    }

    fn address(&self, word: &str) -> SocketAddr {
        let mut addresses = self.addresses.iter();
        let found = addresses.find(|(name, _)| name == word);
        found.expect("the process printed it").1
    }

    /// Sends a signal to this process, and to no other.
    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("a signal").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Desk {
    engines: Vec<Engine>,
    sidecars: Vec<Process>,
    entries: Vec<Process>,
    client: reqwest::Client,
    _platform: Platform,
    _directory: TempDir,
}

impl Desk {
    async fn open() -> Desk {
        let directory = tempfile::tempdir().expect("a folder");
        let platform = Platform::start(platform::Settings::default()).await;
        let platform = platform.expect("a platform");
        keys(directory.path());
        let mut desk = Desk {
            engines: Vec::new(),
            sidecars: Vec::new(),
            entries: Vec::new(),
            client: reqwest::Client::new(),
            _platform: platform,
            _directory: directory,
        };
        for number in 0..ENGINES {
            desk.sidecar(number).await;
        }
        for number in 0..ENTRIES {
            desk.entry(number);
        }
        desk.list();
        desk.put().await;
        desk
    }

    async fn sidecar(&mut self, number: usize) {
        let settings = engine::Settings {
            token_interval: Duration::from_millis(20),
            ..engine::Settings::default()
        };
        let engine = Engine::start(settings).await.expect("an engine");
        let name = format!("draft-{number}");
        let text = format!(
            "name: {name}\ndata_centre: dc{number}\nlinks: 127.0.0.1:0\noperators: 127.0.0.1:0\n\
             platform: http://{}\nserver:\n  name: {name}-server\n  address: http://{}\n  \
             kind: engine\n  service: draft\n  version: v1\n  model: m\n",
            self._platform.address(),
            engine.address()
        );
        let process = Process::start(self._directory.path(), "sidecar", &name, &text);
        self.sidecars.push(process);
        self.engines.push(engine);
    }

    fn entry(&mut self, number: usize) {
        let name = format!("entry-{number}");
        let text = format!(
            "name: {name}\ndata_centre: dc0\nenvironment: production\ncallers: 127.0.0.1:0\n\
             operators: 127.0.0.1:0\nlinks: 127.0.0.1:0\nplatform: http://{}\n",
            self._platform.address()
        );
        let process = Process::start(self._directory.path(), "entry", &name, &text);
        self.entries.push(process);
    }

    fn list(&self) {
        let mut hosts = Vec::new();
        for (role, prefix, processes) in [
            (platform::Role::Sidecar, "draft", &self.sidecars),
            (platform::Role::Entry, "entry", &self.entries),
        ] {
            for (number, process) in processes.iter().enumerate() {
                hosts.push(platform::Host {
                    name: format!("{prefix}-{number}"),
                    data_centre: format!("dc{number}"),
                    region: "r1".into(),
                    role,
                    address: process.address("links"),
                    state: platform::State::Live,
                });
            }
        }
        self._platform.set_hosts(hosts);
    }

    async fn put(&self) {
        let operators = self.entries[0].address("operators");
        let address = format!("http://{operators}/environments/production");
        let put = self.client.put(address).body(DOCUMENT).send().await;
        assert!(put.expect("an answer").status().is_success());
        for entry in &self.entries {
            let address = format!("http://{}/status", entry.address("operators"));
            let begun = Instant::now();
            loop {
                let status = self.client.get(&address).send().await.expect("a status");
                let status: Value = status.json().await.expect("a status");
                let up = status["servers"].as_array().map_or(0, Vec::len);
                if up == ENGINES && status["revision"].as_u64() > Some(0) {
                    break;
                }
                assert!(begun.elapsed() < LIMIT, "not ready: {status}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn ask(&self, entry: usize, seed: u64, last: Option<&str>) -> Stream {
        let body = json!({
            "model": "m", "prompt": "p", "max_tokens": LENGTH, "seed": seed, "stream": true,
        });
        let callers = self.entries[entry].address("callers");
        let mut request = self
            .client
            .post(format!("http://{callers}/v1/completions"))
            .header("idempotency-key", "letter-1")
            .json(&body);
        if let Some(last) = last {
            request = request.header("last-event-id", last);
        }
        Stream::new(request.send().await.expect("an answer"))
    }

    fn running(&self) -> usize {
        let mut engines = self.engines.iter();
        let place = engines.position(|engine| {
            let mut runs = engine.runs().into_iter();
            runs.any(|run| run.state == State::Running)
        });
        place.expect("an engine runs the answer")
    }
}

fn keys(directory: &Path) {
    let names = ["draft-0", "draft-1", "entry-0", "entry-1"];
    let made = Command::new(env!("CARGO_BIN_EXE_medlarhatch"))
        .arg("keys")
        .arg("--out")
        .arg(directory.join("keys"))
        .args(names)
        .stdout(Stdio::null())
        .status();
    assert!(made.expect("the program starts").success());
}

/// Reads tokens until there are `count`, or to the end; gives the last id and the longest pause.
async fn read(stream: &mut Stream, tokens: &mut Vec<String>, count: usize) -> (String, Duration) {
    let mut id = String::new();
    let mut longest = Duration::ZERO;
    let mut last = Instant::now();
    while tokens.len() < count {
        let Some(event) = stream.next().await.expect("the stream goes on") else {
            break;
        };
        assert_eq!(event.name, "", "{}", event.data);
        let Some(token) = event.token() else {
            continue;
        };
        tokens.push(token);
        id = event.id;
        longest = longest.max(last.elapsed());
        last = Instant::now();
    }
    (id, longest)
}

fn letter() -> (u64, Vec<String>) {
    let mut seeds = 1..;
    let seed = seeds.find(|seed| engine::answer_length("p", *seed, LENGTH) == LENGTH);
    let seed = seed.expect("most letters are whole");
    let tokens = (0..LENGTH).map(|index| engine::token("p", seed, "v1", index));
    (seed, tokens.collect())
}

/// A sidecar's process is killed, or stopped and later continued, in the midst of a letter. The
/// caller notices a pause; what the stopped one sends once it goes on must not reach the letter.
#[rstest]
#[case::killed("-KILL", None)]
#[case::stopped_and_continued("-STOP", Some("-CONT"))]
#[tokio::test]
async fn a_letter_goes_on_when_a_sidecar_fails(#[case] first: &str, #[case] then: Option<&str>) {
    let desk = Desk::open().await;
    let (seed, text) = letter();
    let mut tokens = Vec::new();
    let mut stream = desk.ask(0, seed, None).await;
    read(&mut stream, &mut tokens, 10).await;
    let number = desk.running();
    desk.sidecars[number].signal(first);
    let (_, pause) = read(&mut stream, &mut tokens, 30).await;
    if let Some(then) = then {
        desk.sidecars[number].signal(then);
    }
    read(&mut stream, &mut tokens, usize::MAX).await;
    assert_eq!(tokens, text);
    assert!(pause < SOON, "{pause:?}");
}

/// An entry's process is killed in the midst of a letter. The caller's connection breaks; through
/// the other entry it gets the rest, and the engine has written the letter once.
#[tokio::test]
async fn a_letter_goes_on_through_the_other_entry() {
    let desk = Desk::open().await;
    let (seed, text) = letter();
    let mut tokens = Vec::new();
    let mut stream = desk.ask(0, seed, None).await;
    let (id, _) = read(&mut stream, &mut tokens, 10).await;
    desk.entries[0].signal("-KILL");
    drop(stream);
    let mut stream = desk.ask(1, seed, Some(&id)).await;
    read(&mut stream, &mut tokens, usize::MAX).await;
    assert_eq!(tokens, text);
    let runs: usize = desk.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1, "no second run");
}

/// An entry is stopped for a while and continued. What came in the meantime is no reason to suspect
/// the engine, and the letter goes on where it stood.
#[tokio::test]
async fn a_paused_entry_goes_on_without_a_second_run() {
    let desk = Desk::open().await;
    let (seed, text) = letter();
    let mut tokens = Vec::new();
    let mut stream = desk.ask(0, seed, None).await;
    read(&mut stream, &mut tokens, 10).await;
    desk.entries[0].signal("-STOP");
    let number = desk.running();
    let begun = Instant::now();
    // The engine writes on by itself; a second of its pace is far over the threshold.
    while desk.engines[number].runs()[0].sent < LENGTH && begun.elapsed() < LIMIT {
        sleep(Duration::from_millis(20)).await;
    }
    desk.entries[0].signal("-CONT");
    read(&mut stream, &mut tokens, usize::MAX).await;
    assert_eq!(tokens, text);
    let runs: usize = desk.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1, "no second run");
}
