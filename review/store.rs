//! The platform's key-value store, as far as the entries call it.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Channel, Head, Server},
    json::{decode_base64, decode_percent, encode_base64, join, Json},
};

/// Interval of a replica's pings; its entry is removed after three of them without a ping.
pub const PING_INTERVAL: Duration = Duration::from_millis(1200);

/// Time of an answer, in milliseconds, as the sheets state it.
const ANSWER_MS: u64 = 4;

#[derive(Clone)]
pub struct Store {
    core: Arc<Core>,
}

struct Core {
    state: Mutex<State>,
    changed: Condvar,
    /// Time of an answer, in milliseconds.
    answer_ms: AtomicU64,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes, in order; the value is `None` for a removal.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    leases: BTreeMap<u64, Instant>,
    last_lease: u64,
}

struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
    /// When a replica's entry is removed unless it pings.
    expires: Option<Instant>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Store> {
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
        };
        let store = Store {
            core: Arc::new(Core {
                state: Mutex::new(state),
                changed: Condvar::new(),
                answer_ms: AtomicU64::new(ANSWER_MS),
            }),
        };
        let core = store.core.clone();
        Server::start(address, Arc::new(move |channel, head, body| core.respond(channel, head, &body)))?;
        let core = store.core.clone();
        thread::spawn(move || loop {
            core.expire();
            thread::sleep(Duration::from_millis(20));
        });
        Ok(store)
    }

    /// Writes a key for good, as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.core.state.lock().unwrap();
        state.put(key, value.as_bytes().to_vec(), 0, None);
        self.core.changed.notify_all();
    }

    /// Writes a replica's entry, or only prolongs it if nothing in it changed.
    pub fn ping(&self, key: &str, value: &str) {
        let expires = Some(Instant::now() + PING_INTERVAL * 3);
        let mut state = self.core.state.lock().unwrap();
        match state.items.get_mut(key) {
            Some(item) if item.value == value.as_bytes() => item.expires = expires,
            _ => {
                state.put(key, value.as_bytes().to_vec(), 0, expires);
                self.core.changed.notify_all();
            }
        }
    }

    /// Removes a key, as the platform does with the entry of a replica that has left.
    pub fn remove(&self, key: &str) {
        self.core.state.lock().unwrap().remove(key);
        self.core.changed.notify_all();
    }

    /// Sets how many times as long as usual the answers take.
    pub fn set_slow(&self, factor: u64) {
        self.core.answer_ms.store(ANSWER_MS * factor, Ordering::SeqCst);
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> String {
        let state = self.core.state.lock().unwrap();
        let value = state.items.get(key).map(|item| item.value.clone());
        String::from_utf8_lossy(&value.unwrap_or_default()).into_owned()
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.core.state.lock().unwrap();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64, expires: Option<Instant>) {
        self.revision += 1;
        let revision = self.revision;
        self.history.push((revision, key.to_string(), Some(value.clone())));
        self.items.insert(key.to_string(), Item { value, revision, lease, expires });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_string(), None));
        }
    }
}

impl Core {
    /// Removes the entries of silent replicas and the keys of leases that have ended.
    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        state.leases.retain(|_, end| *end > now);
        let ended = |item: &Item, state: &State| {
            item.expires.is_some_and(|at| at <= now)
                || item.lease > 0 && !state.leases.contains_key(&item.lease)
        };
        let items = state.items.iter().filter(|(_, item)| ended(item, &state));
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            state.remove(key);
        }
        if !keys.is_empty() {
            self.changed.notify_all();
        }
    }

    fn respond(&self, channel: &mut Channel, head: &Head, body: &[u8]) -> io::Result<bool> {
        let (method, target) = head.method_and_target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(known, _)| *known == name);
            value.map(|(_, value)| decode_percent(value)).unwrap_or_default()
        };
        thread::sleep(Duration::from_millis(self.answer_ms.load(Ordering::SeqCst)));
        let (status, text) = match (method, path) {
            ("GET", "/api/kv-key") => self.key(&query("key")),
            ("GET", "/api/kv-range") => self.range(&query("prefix"), &query("after")),
            ("GET", "/api/kv-watch") => {
                let number = |name| query(name).parse().unwrap_or(0);
                self.watch(&query("prefix"), number("after"), Duration::from_millis(number("waitMs")))
            }
            ("POST", "/api/kv-txn") => self.transact(body).unwrap_or((400, "{}".into())),
            ("POST", "/api/kv-lease") => self.lease(body).unwrap_or((400, "{}".into())),
            _ => (404, "{}".into()),
        };
        http::answer(channel, status, &[("Content-Type", "application/json")], text.as_bytes())
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            None => (404, "{}".into()),
            Some(item) => (200, row(key, Some(&item.value), item.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items = join(items.map(|(key, item)| row(key, Some(&item.value), item.revision)));
        let as_of = state.revision;
        (200, format!("{{\"items\":[{items}],\"truncated\":false,\"asOf\":{as_of}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.history.iter();
            let events = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events = join(events.map(|(at, key, value)| row(key, value.as_ref(), *at)));
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = state.revision.max(after);
                return (200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> Option<(u16, String)> {
        let call = Json::parse(body)?;
        let mut state = self.state.lock().unwrap();
        for expected in call.get("expected")?.list() {
            let current = state.items.get(expected.get("key")?.text()?);
            let current = current.map_or(0, |item| item.revision);
            if current != expected.get("revision")?.number()? {
                return Some((412, "{\"items\":[]}".into()));
            }
        }
        for put in call.get("puts")?.list() {
            let lease = put.get("lease").and_then(Json::number).unwrap_or(0);
            if lease > 0 && !state.leases.contains_key(&lease) {
                return Some((404, "{}".into()));
            }
            let value = decode_base64(put.get("value")?.text()?)?;
            state.put(put.get("key")?.text()?, value, lease, None);
        }
        self.changed.notify_all();
        Some((200, format!("{{\"revision\":{}}}", state.revision)))
    }

    fn lease(&self, body: &[u8]) -> Option<(u16, String)> {
        let ttl_ms = Json::parse(body)?.get("ttlMs")?.number()?;
        let mut state = self.state.lock().unwrap();
        state.last_lease += 1;
        let lease = state.last_lease;
        state.leases.insert(lease, Instant::now() + Duration::from_millis(ttl_ms));
        Some((200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}")))
    }
}

/// Encodes an item or a change.
fn row(key: &str, value: Option<&Vec<u8>>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            encode_base64(value)
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}
