//! Replicas of services: an application that answers at once, or an engine that streams events.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Channel, Head, Server, CRASH_TIME},
    record::Record,
    store::{Store, PING_INTERVAL},
};

/// Time that a plain request takes.
const WORK: Duration = Duration::from_millis(15);

/// Path that many consumers ask for, and the time that its requests take.
pub const HOT_PATH: &str = "/look/rates";
const HOT_WORK: Duration = Duration::from_millis(100);

/// Number of events of a stream, and the time between two of them.
pub const EVENTS: u64 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// Number of events at the end of a stream that are written at once.
const LAST_EVENTS: u64 = 3;

/// Time after which a second copy of an answer comes.
const LATE_COPY: Duration = Duration::from_millis(6);

/// One in this many answers of a faulty replica is spoilt.
const SPOILT_ONE_IN: u64 = 20;

/// Returns an event as it is streamed.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: word {number}\n\n")
}

/// What a replica does with requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Plain,
    Engine,
}

/// One start of a replica.
pub struct Replica {
    server: Server,
    stopped: Arc<AtomicBool>,
    core: Arc<Core>,
}

impl Replica {
    /// Starts a replica that registers itself and pings until it is stopped.
    pub fn start(
        id: &str,
        service: &str,
        kind: Kind,
        version: &str,
        address: SocketAddr,
        store: &Store,
        record: &Record,
    ) -> io::Result<Replica> {
        let stopped = Arc::new(AtomicBool::new(false));
        let core = Arc::new(Core {
            stopped: stopped.clone(),
            id: id.to_string(),
            kind,
            record: record.clone(),
            runs: Mutex::default(),
            spoils: AtomicBool::new(false),
            declines: AtomicBool::new(false),
            arrived: Mutex::default(),
            answers: AtomicU64::new(0),
        });
        let responding = core.clone();
        let server = Server::start(
            address,
            Arc::new(move |channel, head, body| responding.respond(channel, head, &body)),
        )?;
        record.line(&format!("replica {id} of {service} starts at {address}"));
        let (key, value) = (format!("servers/{id}"), entry(service, version, address));
        let (store, stop) = (store.clone(), stopped.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                store.ping(&key, &value);
                for _ in 0..PING_INTERVAL.as_millis() / 20 {
                    thread::sleep(Duration::from_millis(20));
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                }
            }
        });
        Ok(Replica { server, stopped, core })
    }

    /// Sets how many bytes a second the replica reads from each channel; 0 for no limit.
    pub fn set_pace(&self, pace: u64) {
        self.server.pace.store(pace, Ordering::SeqCst);
    }

    /// Sets whether the replica declines one request in twenty as if it were full, and sends a second
    /// copy of that answer late.
    pub fn set_declines(&self, declines: bool) {
        self.core.declines.store(declines, Ordering::SeqCst);
    }

    /// Sets whether the replica spoils some of its answers.
    pub fn set_spoils(&self, spoils: bool) {
        self.core.spoils.store(spoils, Ordering::SeqCst);
    }

    /// Ends replicas at once: they say nothing, and their entries stay until they expire.
    pub fn crash(replicas: &[Replica]) {
        replicas.iter().for_each(|replica| replica.stopped.store(true, Ordering::SeqCst));
        Server::stop(replicas.iter().map(|replica| &replica.server));
    }
}

/// Returns the entry of a replica that starts now.
pub fn entry(service: &str, version: &str, address: SocketAddr) -> String {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"{version}\",\
         \"slots\":24,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":{born}}}"
    )
}

struct Core {
    id: String,
    kind: Kind,
    record: Record,
    /// Ids of the requests that run.
    runs: Mutex<Vec<String>>,
    stopped: Arc<AtomicBool>,
    /// Whether some answers are spoilt.
    spoils: AtomicBool,
    /// Whether some requests are declined.
    declines: AtomicBool,
    /// Ids of the requests that arrived while some are.
    arrived: Mutex<Vec<String>>,
    /// Number of streams that were answered while some are.
    answers: AtomicU64,
}

impl Core {
    fn respond(&self, channel: &mut Channel, head: &Head, body: &[u8]) -> io::Result<bool> {
        let (method, path) = head.method_and_target();
        match (method, path) {
            ("GET", "/health") => {
                return http::answer(channel, 200, &[("X-Instance-Id", &self.id)], b"");
            }
            ("GET", "/api/report") => {
                let running = self.runs.lock().unwrap().len();
                let text = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"seq\":0,\"queued\":{running},\"running\":0,\"kvUsed\":0,\
                     \"kvTotal\":55000,\"handles\":0,\"runs\":[]}}"
                );
                return http::answer(channel, 200, &[], text.as_bytes());
            }
            ("GET", "/api/kv-list") => {
                return http::answer(channel, 200, &[], b"{\"epoch\":1,\"next\":0,\"held\":[]}");
            }
            _ => {}
        }
        let id = head.header("x-request-id").unwrap_or("").to_string();
        let expected = head.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            self.record.line(&format!("replica {} answers 421 to {id} and doesn't run it", self.id));
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            return http::answer(channel, 421, &headers, b"");
        }
        if self.declines.load(Ordering::SeqCst) && self.declines_first(&id) {
            return self.decline_twice(channel, &id);
        }
        self.record.line(&format!("replica {} runs {id} ({} bytes)", self.id, body.len()));
        self.runs.lock().unwrap().push(id.clone());
        let result = match self.kind {
            Kind::Plain => {
                thread::sleep(if path == HOT_PATH { HOT_WORK } else { WORK });
                if self.stopped.load(Ordering::SeqCst) {
                    // The process is about to lose its channels, and answers nothing more.
                    thread::sleep(CRASH_TIME * 3);
                }
                let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", self.id.as_str())];
                http::answer(channel, 200, &headers, format!("done {path}").as_bytes())
            }
            Kind::Engine => self.stream(channel, head, &id),
        };
        self.runs.lock().unwrap().retain(|run| *run != id);
        if result.is_err() {
            self.record.line(&format!("replica {}: the channel of {id} closed while it ran", self.id));
        }
        result
    }

    /// Returns whether a request is one in twenty and arrives for the first time.
    fn declines_first(&self, id: &str) -> bool {
        let mut arrived = self.arrived.lock().unwrap();
        if arrived.iter().any(|known| known == id) {
            return false;
        }
        arrived.push(id.to_string());
        arrived.len() as u64 % SPOILT_ONE_IN == 0
    }

    /// Declines a request as if the replica were full, and sends the same answer again late.
    fn decline_twice(&self, channel: &mut Channel, id: &str) -> io::Result<bool> {
        self.record.line(&format!("replica {} declines {id} and doesn't run it", self.id));
        let text = format!(
            "HTTP/1.1 503 x\r\nContent-Length: 0\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\n\r\n"
        );
        channel.stream.write_all(text.as_bytes())?;
        let mut stream = channel.stream.try_clone()?;
        let (record, id, own) = (self.record.clone(), id.to_string(), self.id.clone());
        thread::spawn(move || {
            thread::sleep(LATE_COPY);
            let sent = stream.write_all(text.as_bytes()).is_ok();
            record.line(&format!("replica {own} sends that answer to {id} again: {sent}"));
        });
        Ok(true)
    }

    fn stream(&self, channel: &mut Channel, head: &Head, id: &str) -> io::Result<bool> {
        let after = head.header("last-event-id").and_then(|after| after.parse().ok()).unwrap_or(0);
        let start = format!(
            "HTTP/1.1 200 x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Request-Id: {id}\r\nX-Server-Stamp: {}\r\nX-Weight-Versions: 1\r\n\r\n",
            self.id
        );
        // The prompt is read first.
        thread::sleep(Duration::from_millis(50));
        channel.stream.write_all(start.as_bytes())?;
        let is_spoilt = self.spoils.load(Ordering::SeqCst)
            && self.answers.fetch_add(1, Ordering::SeqCst) % SPOILT_ONE_IN == 0;
        if is_spoilt {
            self.record.line(&format!("replica {} loses event {} of {id}", self.id, EVENTS - 1));
        }
        let mut bytes = Vec::new();
        for number in after + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            if !is_spoilt || number != EVENTS - 1 {
                let event = event(number);
                bytes.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            }
            if number <= EVENTS - LAST_EVENTS {
                channel.stream.write_all(&bytes)?;
                bytes.clear();
            }
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        channel.stream.write_all(&bytes)?;
        Ok(true)
    }
}
