//! The platform's key-value store.

use std::{
    collections::BTreeMap,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    http::{
        Link,
        Message,
        response, //
    },
    json::{
        self,
        Json,
        base64,
        from_base64,
        quote, //
    },
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes: revision, key, and the value unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    /// End and time of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let mut state = State::default();
        state.revision = 100;
        let store = Store {
            address: listener.local_addr().expect("an address"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(Link::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the state")
    }

    /// Writes a key as the operator or a server; returns the revision of the ack.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        state.put(key, value.as_bytes().to_vec(), 0);
        self.state.1.notify_all();
        state.revision
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.state.1.notify_all();
        }
    }

    fn serve(&self, mut link: Link) {
        while let Ok(request) = link.message() {
            let (status, body) = self.answer(&request);
            let headers = "Content-Type: application/json\r\n";
            if link
                .send(&response(status, headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| -> String {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(known, _)| *known == name);
            found
                .next()
                .map(|(_, value)| decode(value))
                .unwrap_or_default()
        };
        let body = json::parse(&request.body).unwrap_or(Json::Null);
        match (request.method(), path) {
            ("GET", "/api/kv-key") => {
                let state = self.lock();
                let key = parameter("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let mut text = encode(&key, item);
                        text.pop();
                        (200, format!("{text},\"asOf\":{}}}", state.revision))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/api/kv-range") => {
                let state = self.lock();
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let all = state.items.iter();
                let found = all.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found.map(|(key, item)| encode(key, item)).collect();
                let items = items.join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"truncated\":false,\"asOf\":{}}}",
                        state.revision
                    ),
                )
            }
            ("GET", "/api/kv-watch") => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait: u64 = parameter("waitMs").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let prefix = parameter("prefix");
                let mut state = self.lock();
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .rev()
                        .take_while(|(revision, ..)| *revision > after)
                        .filter(|(_, key, _)| key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => encode(key, item),
                            None => format!(
                                "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                                quote(key)
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events: Vec<String> = events.into_iter().rev().collect();
                        let events = events.join(",");
                        return (
                            200,
                            format!("{{\"events\":[{events}],\"asOf\":{}}}", state.revision),
                        );
                    }
                    state = self.state.1.wait_timeout(state, left).expect("the state").0;
                }
            }
            ("POST", "/api/kv-txn") => self.write(&body),
            ("POST", "/api/kv-lease") => {
                let ttl = body.get("ttlMs").map_or(0.0, Json::number) as u64;
                let time = Duration::from_millis(ttl);
                let mut state = self.lock();
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (Instant::now() + time, time));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                let mut state = self.lock();
                match state.leases.get_mut(&lease) {
                    Some((end, time)) => {
                        *end = Instant::now() + *time;
                        (200, format!("{{\"ttlMs\":{}}}", time.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            _ => (400, "{}".into()),
        }
    }

    fn write(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        let mut holds = true;
        let mut seen = Vec::new();
        for row in body.get("expected").map_or(&[][..], Json::list) {
            let key = row.get("key").map_or("", Json::text);
            let revision = row.get("revision").map_or(0.0, Json::number) as u64;
            let item = state.items.get(key);
            holds &= item.map_or(0, |item| item.revision) == revision;
            seen.extend(item.map(|item| encode(key, item)));
        }
        if !holds {
            return (412, format!("{{\"items\":[{}]}}", seen.join(",")));
        }
        for put in body.get("puts").map_or(&[][..], Json::list) {
            let key = put.get("key").map_or("", Json::text);
            let value = from_base64(put.get("value").map_or("", Json::text));
            let lease = put.get("lease").map_or(0.0, Json::number) as u64;
            state.put(key, value, lease);
        }
        for key in body.get("remove").map_or(&[][..], Json::list) {
            state.remove(key.text());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.into(), item.clone());
        self.history.push((self.revision, key.into(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.into(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn encode(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let digits = bytes
            .get(at + 1..at + 3)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        match (
            bytes[at],
            digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
