//! A replica: it registers itself, runs requests and records them.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        SystemTime, //
    },
};

use crate::{
    http::{
        Link,
        Message,
        response, //
    },
    store::Store,
};

/// Interval of the replica's writes to the store.
const PING: Duration = Duration::from_millis(1200);

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub replica: String,
    pub service: String,
    pub id: String,
    pub first: String,
}

/// What a replica does with a request that it runs; returns whether the channel is kept.
pub type Work = dyn Fn(&Replica, &Message, &mut Link) -> bool + Send + Sync;

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Requests that were turned away, as they were meant for another replica.
    pub misdirected: Arc<AtomicU64>,
    registers: Arc<AtomicBool>,
    seq: Arc<AtomicU64>,
    born: u64,
}

impl Replica {
    pub fn start(
        store: &Store,
        service: &str,
        id: &str,
        zone: &str,
        slots: u32,
        work: Arc<Work>,
    ) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let replica = Replica {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            slots,
            address: listener.local_addr().expect("an address"),
            runs: Arc::default(),
            misdirected: Arc::default(),
            registers: Arc::new(AtomicBool::new(true)),
            seq: Arc::default(),
            born: since.map_or(0, |time| time.as_millis() as u64),
        };
        let accepting = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, work) = (accepting.clone(), work.clone());
                thread::spawn(move || replica.serve(Link::new(stream), &*work));
            }
        });
        let (writing, store) = (replica.clone(), store.clone());
        thread::spawn(move || {
            loop {
                if writing.registers.load(Ordering::SeqCst) {
                    store.put(&format!("servers/{}", writing.id), &writing.entry("ready"));
                }
                thread::sleep(PING);
            }
        });
        replica
    }

    /// The value of the replica's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        )
    }

    fn serve(&self, mut link: Link, work: &Work) {
        while let Ok(request) = link.message() {
            let kept = match request.target() {
                "/health" => {
                    let header = format!("X-Instance-Id: {}\r\n", self.id);
                    link.send(&response(200, &header, b"")).is_ok()
                }
                "/api/report" => {
                    let report = b"{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":0,\
                        \"running\":0,\"kvUsed\":0,\"kvTotal\":50000,\"handles\":0,\"state\":\"ready\",\"runs\":[]}";
                    link.send(&response(200, "", report)).is_ok()
                }
                "/api/kv-list" => {
                    let list = b"{\"epoch\":1,\"next\":1,\"held\":[]}";
                    link.send(&response(200, "", list)).is_ok()
                }
                _ if request
                    .header("x-expect-instance")
                    .is_some_and(|id| id != self.id) =>
                {
                    self.misdirected.fetch_add(1, Ordering::SeqCst);
                    let header = format!("X-Not-Executed: 1\r\nX-Instance-Id: {}\r\n", self.id);
                    link.send(&response(421, &header, b"")).is_ok()
                }
                _ => {
                    self.record(&request);
                    work(self, &request, &mut link)
                }
            };
            if !kept {
                return;
            }
        }
    }

    fn record(&self, request: &Message) {
        self.runs.lock().expect("the runs").push(Run {
            replica: self.id.clone(),
            service: self.service.clone(),
            id: request.header("x-request-id").unwrap_or("").into(),
            first: request.first.clone(),
        });
    }

    /// Headers of each of the replica's answers to a request.
    pub fn signature(&self, request: &Message) -> String {
        let id = request.header("x-request-id").unwrap_or("");
        format!("X-Request-Id: {id}\r\nX-Server-Stamp: {}.{id}\r\n", self.id)
    }

    pub fn ran(&self) -> Vec<Run> {
        self.runs.lock().expect("the runs").clone()
    }
}

/// Answers after a time with a body of a size.
pub fn plain(time: Duration, size: usize) -> Arc<Work> {
    Arc::new(move |replica, request, link| {
        thread::sleep(time);
        let body: Vec<u8> = (0..size).map(|at| b'a' + (at % 23) as u8).collect();
        link.send(&response(200, &replica.signature(request), &body))
            .is_ok()
    })
}

/// Answers with a stream of events, one each `gap`.
pub fn stream(events: u64, gap: Duration) -> Arc<Work> {
    Arc::new(move |replica, request, link| {
        let after: u64 = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            replica.signature(request)
        );
        if link.send(head.as_bytes()).is_err() {
            return false;
        }
        for id in after + 1..=events {
            thread::sleep(gap);
            let event = format!("id: {id}\ndata: word {id}\n\n");
            if link
                .send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_err()
            {
                return false;
            }
        }
        link.send(b"0\r\n\r\n").is_ok()
    })
}
