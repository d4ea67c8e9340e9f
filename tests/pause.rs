//! An entry's process that stands still, as a process of its own.

use std::{
    fs,
    io::{
        BufRead,
        BufReader, //
    },
    path::Path,
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::Duration,
};

use fakes::platform::{
    Platform,
    Settings, //
};
use serde_json::{
    Value,
    json, //
};
use tokio::time::{
    Instant,
    sleep, //
};

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(30);

/// Pace at which conditions are looked at.
const PACE: Duration = Duration::from_millis(20);

/// Longer than an entry takes for a delay of its own.
const PAUSE: Duration = Duration::from_secs(7);

/// Requests that wait while the process stands still.
const WAITING: usize = 50;

/// A process that ends with the test.
struct Process(Child);

impl Process {
    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.0.id().to_string()])
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "the signal is sent"
        );
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn medlarhatch() -> Command {
    Command::new(env!("CARGO_BIN_EXE_medlarhatch"))
}

/// Starts an entry; gives its operators' address.
fn entry(folder: &Path, platform: &str) -> (Process, String) {
    let keys = medlarhatch()
        .args(["keys", "entry-a", "--out"])
        .arg(folder)
        .output();
    assert!(
        keys.is_ok_and(|keys| keys.status.success()),
        "keys are made"
    );
    let settings = folder.join("settings.yaml");
    let text = format!(
        "name: entry-a\ndata_centre: dc1\nenvironment: production\ncallers: 127.0.0.1:0\n\
         operators: 127.0.0.1:0\nlinks: 127.0.0.1:0\nplatform: http://{platform}\n"
    );
    fs::write(&settings, text).expect("settings are written");
    let mut child = medlarhatch()
        .arg("entry")
        .arg("--settings")
        .arg(settings)
        .arg("--keys")
        .arg(folder.join("entry-a.yaml"))
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("an entry starts");
    let output = BufReader::new(child.stdout.take().expect("its output is piped"));
    let process = Process(child);
    for line in output.lines().map_while(Result::ok) {
        if let Some(address) = line.strip_prefix("operators ") {
            let address = address.split_whitespace().last().unwrap_or_default();
            return (process, format!("http://{address}"));
        }
    }
    panic!("the entry says no address");
}

/// Writes to the store beside the entry.
async fn write(client: &reqwest::Client, platform: &str, number: u32) -> u64 {
    let text = format!(
        "environment: production\nservices: []\nroutes: []\nteams: {{default: {{rate: {number}}}}}\n"
    );
    let body = json!({"key": "env/production", "value": text, "expect": null});
    let answer = client
        .put(format!("http://{platform}/kv"))
        .json(&body)
        .send()
        .await;
    let body: Value = answer.expect("an answer").json().await.expect("JSON");
    body["revision"].as_u64().expect("a revision")
}

async fn status(client: &reqwest::Client, operators: &str) -> Value {
    let answer = client.get(format!("{operators}/status")).send().await;
    answer.expect("an answer").json().await.expect("JSON")
}

async fn holds(client: &reqwest::Client, operators: &str, revision: u64) {
    let begun = Instant::now();
    loop {
        let status = status(client, operators).await;
        if status["revision"] == revision && status["ready"] == true {
            return;
        }
        assert!(begun.elapsed() < LIMIT, "{status}, not {revision}");
        sleep(PACE).await;
    }
}

// A host freezes an entry's process for some seconds. A document is put in force meanwhile, and
// requests wait at the entry. When it goes on it serves them, and by the old document: traffic goes
// to a version that was taken out.
#[tokio::test]
async fn requests_that_waited_out_a_pause_are_not_served_by_an_old_document() {
    let platform = Platform::start(Settings::default())
        .await
        .expect("a platform");
    let address = platform.address().to_string();
    let folder = tempfile::tempdir().expect("a folder");
    let (process, operators) = entry(folder.path(), &address);
    let client = reqwest::Client::new();
    let first = write(&client, &address, 1).await;
    holds(&client, &operators, first).await;
    process.signal("-STOP");
    let second = write(&client, &address, 2).await;
    let requests = (0..WAITING).map(|_| {
        let (client, operators) = (client.clone(), operators.clone());
        tokio::spawn(async move { status(&client, &operators).await })
    });
    let requests: Vec<_> = requests.collect();
    sleep(PAUSE).await;
    process.signal("-CONT");
    for request in requests {
        let status = request.await.expect("a status");
        let old = status["ready"] == true && status["revision"] == first;
        assert!(!old, "{status}");
    }
    holds(&client, &operators, second).await;
}
