//! Account of what callers make the process hold: its memory, and the descriptors of connections.
//!
//! Each connection draws on it, with the body of its request. When it is used up, connections yield that
//! make no progress: idle ones, and those whose caller is slow or stopped short. A request that is
//! complete is never given up for another one.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    future::Future,
    rc::Rc,
    time::Duration, //
};

use events::{
    forwarding,
    note, //
};
use tokio::time::Instant;

use crate::{
    meter,
    requests::Closer,
    settings::Limits, //
};

use self::holder::{
    Bound,
    CONNECTION_BYTES,
    Holder,
    MAX_SHORT_BYTES,
    REQUEST_BYTES, //
};

pub use self::holder::Stage;

mod holder;

/// Bounds of the time after which a refused request may return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Weight of the last body in the mean time for which bodies are held.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Shortest time between two log lines about connections that yielded.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the process lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    Memory,
    Connections,
}

impl Need {
    /// Returns the name for metrics.
    fn name(self) -> &'static str {
        match self {
            Need::Memory => "memory",
            Need::Connections => "connections",
        }
    }
}

/// What callers hold.
#[derive(Debug, Default)]
pub struct Account {
    /// Bytes that are held.
    bytes: Cell<usize>,
    /// Bytes of long bodies in it.
    long_bytes: Cell<usize>,
    /// Bytes that connections release which were told to yield.
    yielding: Cell<usize>,
    /// Number of connections that were told to close.
    closing: Cell<usize>,
    /// Bytes of bodies, and their number.
    body_bytes: Cell<usize>,
    bodies: Cell<usize>,
    /// Mean time for which a long body is held; 0 while it is unknown.
    mean_time: Cell<Duration>,
    connections: RefCell<BTreeMap<u64, Rc<Holder>>>,
    last_id: Cell<u64>,
    log: Cell<Log>,
}

/// Connections that yielded, new ones that were refused, and requests that were held back, since the last
/// log line.
#[derive(Clone, Copy, Debug, Default)]
struct Log {
    yielded: u64,
    refused: u64,
    held_back: u64,
    at: Option<Instant>,
}

impl Account {
    /// Opens the account of a connection that was accepted; `None` if there is no room for it.
    pub fn open(self: &Rc<Self>, limits: &Limits) -> Option<Connection> {
        let all = Bound::All(limits.memory);
        let has_place = !self.lacks_place(limits) || {
            let slowest = self.slowest(&all).or_else(|| self.oldest_idle());
            slowest.is_some_and(|slowest| {
                self.close(&slowest, Need::Connections);
                true
            })
        };
        if !has_place || !self.make_room(all, CONNECTION_BYTES, None) {
            self.record(Log {
                refused: 1,
                ..Log::default()
            });
            meter::connection_refused();
            return None;
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let holder = Rc::new(Holder::new(id));
        self.connections.borrow_mut().insert(id, holder.clone());
        let account = self.clone();
        account.take(&holder, CONNECTION_BYTES);
        Some(Connection { account, holder })
    }

    /// Returns whether another connection has to yield for a new one.
    pub fn is_full(&self, limits: &Limits) -> bool {
        let all = Bound::All(limits.memory);
        self.lacks_place(limits) || self.kept(&all) + CONNECTION_BYTES > all.bytes()
    }

    fn lacks_place(&self, limits: &Limits) -> bool {
        let open = self.connections.borrow().len() - self.closing.get();
        open >= limits.connections
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns the number of bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Returns the number of bytes of bodies in them.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes.get()
    }

    /// Returns the time until a body is expected to be released.
    pub fn retry_after(&self) -> Duration {
        let count = u32::try_from(self.bodies.get()).unwrap_or(u32::MAX).max(1);
        (self.mean_time.get() / count).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns whether a body of a length fits beside what doesn't yield.
    fn fits(&self, bound: &Bound, length: usize) -> bool {
        let connections = self.connections.borrow();
        let yielding = connections
            .values()
            .filter(|holder| bound.concerns(holder) && holder.yields());
        let yielding: usize = yielding.map(|holder| holder.bytes.get()).sum();
        let kept = self.kept(bound).saturating_sub(yielding);
        kept.saturating_add(length) <= bound.bytes()
    }

    /// Lets connections yield until `bytes` more are within the bound on what is counted; returns whether
    /// they are. Without a `taker` they are for a new connection.
    fn make_room(&self, bound: Bound, bytes: usize, taker: Option<&Holder>) -> bool {
        while self.kept(&bound).saturating_add(bytes) > bound.bytes() {
            let found = match taker {
                Some(taker) => self
                    .slowest(&bound)
                    .or_else(|| self.newest_body(&bound, taker)),
                None => self.slowest(&bound).or_else(|| self.oldest_idle()),
            };
            let Some(found) = found.filter(|found| taker.is_none_or(|taker| taker.id != found.id))
            else {
                return false;
            };
            self.revoke(&found);
        }
        true
    }

    /// Returns the bytes that count for a bound, without those that are about to be released.
    fn kept(&self, bound: &Bound) -> usize {
        match bound {
            Bound::All(_) => self.bytes.get().saturating_sub(self.yielding.get()),
            Bound::Long(_) => {
                let connections = self.connections.borrow();
                let yielding = connections.values().filter(|holder| holder.is_long());
                let yielding: usize = yielding.map(|holder| holder.releases.get()).sum();
                self.long_bytes.get().saturating_sub(yielding)
            }
        }
    }

    /// Returns the connection that can yield and has made no progress for longest, if any makes none.
    fn slowest(&self, bound: &Bound) -> Option<Rc<Holder>> {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let slow = connections
            .values()
            .filter(|holder| bound.concerns(holder) && holder.yields() && holder.is_slow(now));
        slow.min_by_key(|holder| holder.progressed.get()).cloned()
    }

    /// Returns the incomplete body that began last: of many that make progress, the oldest get complete.
    fn newest_body(&self, bound: &Bound, taker: &Holder) -> Option<Rc<Holder>> {
        let connections = self.connections.borrow();
        let bodies = connections.values().filter(|holder| {
            let is_body = holder.stage.get() == Stage::Body && holder.yields();
            is_body && (bound.concerns(holder) || holder.id == taker.id)
        });
        bodies.max_by_key(|holder| holder.began.get()).cloned()
    }

    fn oldest_idle(&self) -> Option<Rc<Holder>> {
        let connections = self.connections.borrow();
        let idle = connections.values();
        let idle = idle.filter(|holder| holder.stage.get() == Stage::Idle && holder.yields());
        idle.min_by_key(|holder| holder.progressed.get()).cloned()
    }

    /// Makes a connection release what it holds: the body of its request, if it is incomplete.
    fn revoke(&self, holder: &Holder) {
        if holder.stage.get() != Stage::Body || holder.bytes.get() <= CONNECTION_BYTES {
            self.close(holder, Need::Memory);
            return;
        }
        holder.refused.borrow().cancel();
        self.record_yield(holder, Need::Memory, holder.bytes.get() - CONNECTION_BYTES);
    }

    fn close(&self, holder: &Holder, need: Need) {
        holder.closed.cancel();
        self.closing.set(self.closing.get() + 1);
        self.record_yield(holder, need, holder.bytes.get());
    }

    fn record_yield(&self, holder: &Holder, need: Need, releases: usize) {
        let before = holder.releases.replace(releases);
        self.yielding.set(self.yielding.get() - before + releases);
        meter::connection_yielded(holder.stage.get().name(), need.name());
        self.record(Log {
            yielded: 1,
            ..Log::default()
        });
    }

    /// Logs connections that yielded and were refused, a line for many.
    fn record(&self, log: Log) {
        let now = Instant::now();
        let mut sum = self.log.get();
        sum.yielded += log.yielded;
        sum.refused += log.refused;
        sum.held_back += log.held_back;
        if sum.at.is_none_or(|at| now - at >= LOG_INTERVAL) {
            note!(
                forwarding::CONNECTIONS_YIELDED,
                yielded = sum.yielded,
                refused = sum.refused,
                held_back = sum.held_back,
                connections = self.connections(),
                bytes = self.bytes.get()
            );
            sum = Log {
                at: Some(now),
                ..Log::default()
            };
        }
        self.log.set(sum);
    }

    /// Records that a connection has released what it was told to.
    fn end_yield(&self, holder: &Holder) {
        let releases = holder.releases.replace(0);
        self.yielding.set(self.yielding.get() - releases);
    }

    fn take(&self, holder: &Holder, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
        holder.bytes.set(holder.bytes.get() + bytes);
    }

    fn release(&self, holder: &Holder, bytes: usize) {
        self.bytes.set(self.bytes.get() - bytes);
        holder.bytes.set(holder.bytes.get() - bytes);
        let releases = holder.releases.get();
        let released = bytes.min(releases);
        holder.releases.set(releases - released);
        self.yielding.set(self.yielding.get() - released);
    }
}

/// A connection's part of the account, until it is dropped.
#[derive(Debug)]
pub struct Connection {
    account: Rc<Account>,
    holder: Rc<Holder>,
}

impl Connection {
    /// Sets what the connection does.
    pub fn set_stage(&self, stage: Stage) {
        self.holder.set_stage(stage);
    }

    /// Records that bytes were received, or taken by the caller.
    pub fn record_progress(&self, bytes: usize) {
        self.holder.is_blocked.set(false);
        self.holder.record_progress(bytes);
    }

    /// Records that the caller takes nothing of what is written.
    pub fn record_blocked(&self) {
        if !self.holder.is_blocked.replace(true) {
            self.holder.progressed.set(Instant::now());
        }
    }

    /// Records that a request was held back, as its caller hadn't read the refusal of the one ahead of it.
    pub fn record_held_back(&self) {
        meter::request_held_back();
        self.account.record(Log {
            held_back: 1,
            ..Log::default()
        });
    }

    /// Waits until the connection has to be closed.
    pub fn closed(&self) -> impl Future<Output = ()> + '_ {
        self.holder.closed.cancelled()
    }

    /// Returns who closes the connection.
    pub fn closer(&self) -> Rc<Cell<Closer>> {
        self.holder.closer.clone()
    }

    /// Sets who closes the connection.
    pub fn set_closer(&self, closer: Closer) {
        self.holder.closer.set(closer);
    }

    /// Sets until when the caller waits for the answer to its request.
    pub fn set_until(&self, until: Option<Instant>) {
        self.holder.until.set(until);
    }

    /// Returns until when the caller waits for the answer to its request.
    pub fn until(&self) -> Option<Instant> {
        self.holder.until.get()
    }

    /// Counts a response, which is delivered whether there is room or not.
    pub fn charge(&self, bytes: usize) -> Charge {
        self.account.take(&self.holder, bytes);
        Charge {
            account: self.account.clone(),
            holder: self.holder.clone(),
            bytes,
        }
    }

    /// Begins a request, with a body of a length if that is announced; `None` if there is no room for it.
    pub fn begin_body(&self, limits: &Limits, length: usize) -> Option<Hold> {
        self.set_stage(Stage::Body);
        let (account, all) = (&self.account, Bound::All(limits.memory));
        if !account.fits(&Bound::of_body(limits, length), length)
            || !account.make_room(all, REQUEST_BYTES, Some(&self.holder))
        {
            return None;
        }
        account.take(&self.holder, REQUEST_BYTES);
        self.account.bodies.set(self.account.bodies.get() + 1);
        Some(Hold {
            account: self.account.clone(),
            holder: self.holder.clone(),
            bytes: 0,
            since: Instant::now(),
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let account = &self.account;
        account.connections.borrow_mut().remove(&self.holder.id);
        if self.holder.closed.is_cancelled() {
            account.closing.set(account.closing.get() - 1);
        }
        account.release(&self.holder, CONNECTION_BYTES);
        // What its request still holds doesn't yield.
        account.end_yield(&self.holder);
    }
}

/// Part of the account that a request and its body take until this is dropped.
#[derive(Debug)]
pub struct Hold {
    account: Rc<Account>,
    holder: Rc<Holder>,
    bytes: usize,
    since: Instant,
}

impl Hold {
    /// Takes room for `bytes` more, which slower bodies may have to release; returns whether there is
    /// any.
    pub fn grow(&mut self, limits: &Limits, bytes: usize) -> bool {
        let account = &self.account;
        let length = self.bytes + bytes;
        let bound = Bound::of_body(limits, length);
        let added = match self.bytes > MAX_SHORT_BYTES {
            true => bytes,
            false => length,
        };
        let is_long = matches!(bound, Bound::Long(_));
        if is_long && !account.make_room(bound, added, Some(&self.holder))
            || !account.make_room(Bound::All(limits.memory), bytes, Some(&self.holder))
        {
            return false;
        }
        if is_long {
            account.long_bytes.set(account.long_bytes.get() + added);
        }
        self.bytes += bytes;
        account.body_bytes.set(account.body_bytes.get() + bytes);
        account.take(&self.holder, bytes);
        true
    }

    /// Waits until the body has to be given up.
    pub async fn refused(&self) {
        let refused = self.holder.refused.borrow().clone();
        refused.cancelled().await;
    }

    /// Records that the body is complete: it is held until its request ends.
    pub fn complete(&self) {
        self.holder.set_stage(Stage::Active);
    }
}

/// Part of the account that a response takes until this is dropped.
#[derive(Debug)]
pub struct Charge {
    account: Rc<Account>,
    holder: Rc<Holder>,
    bytes: usize,
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.account.release(&self.holder, self.bytes);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let account = &self.account;
        account.release(&self.holder, self.bytes + REQUEST_BYTES);
        account
            .body_bytes
            .set(account.body_bytes.get() - self.bytes);
        account.bodies.set(account.bodies.get() - 1);
        if self.bytes <= MAX_SHORT_BYTES {
            return;
        }
        account
            .long_bytes
            .set(account.long_bytes.get() - self.bytes);
        let (mean, time) = (account.mean_time.get(), self.since.elapsed());
        account.mean_time.set(match mean.is_zero() {
            true => time,
            false => mean.mul_f64(1.0 - SAMPLE_WEIGHT) + time.mul_f64(SAMPLE_WEIGHT),
        });
    }
}
