//! Bound on the bytes that all connections of a process hold together.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use tokio_util::sync::CancellationToken;

/// Id of an account.
type Id = u64;

/// Counts the bytes that connections hold. When they exceed the limit, the account that holds most
/// is evicted: its connection is closed.
#[derive(Clone, Debug)]
pub struct Ledger(Arc<Mutex<Table>>);

#[derive(Debug)]
struct Table {
    /// Maximum number of bytes of all accounts.
    limit: usize,
    held: usize,
    /// Bytes of evicted accounts that aren't released yet.
    evicted: usize,
    /// Accounts that hold bytes.
    holders: HashMap<Id, Holder>,
    next_id: Id,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    evicted: CancellationToken,
}

/// Bytes of one connection. Dropping it releases them.
#[derive(Debug)]
pub struct Account {
    ledger: Ledger,
    id: Id,
    bytes: usize,
    evicted: CancellationToken,
}

impl Ledger {
    /// Creates a ledger for at most `limit` bytes.
    pub fn new(limit: usize) -> Ledger {
        Ledger(Arc::new(Mutex::new(Table {
            limit,
            held: 0,
            evicted: 0,
            holders: HashMap::new(),
            next_id: 0,
        })))
    }

    /// Opens an account without bytes.
    pub fn open(&self) -> Account {
        let mut table = self.table();
        table.next_id += 1;
        Account {
            ledger: self.clone(),
            id: table.next_id,
            bytes: 0,
            evicted: CancellationToken::new(),
        }
    }

    /// Returns the number of bytes of all accounts that aren't evicted.
    pub fn held(&self) -> usize {
        self.table().held
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        // The table is consistent after each statement.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Account {
    /// Sets the number of bytes that the connection holds.
    pub fn set(&mut self, bytes: usize) {
        if bytes == self.bytes || self.is_evicted() {
            return;
        }
        self.bytes = bytes;
        let mut table = self.ledger.table();
        table.remove(self.id);
        if bytes > 0 {
            let evicted = self.evicted.clone();
            table.insert(self.id, Holder { bytes, evicted });
        }
    }

    /// Returns whether evicted connections still hold bytes beyond the limit.
    pub fn is_overdrawn(&self) -> bool {
        let table = self.ledger.table();
        table.held + table.evicted > table.limit
    }

    /// Returns whether the connection has to be closed.
    pub fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }

    /// Waits until the connection has to be closed.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let mut table = self.ledger.table();
        if self.is_evicted() {
            table.evicted -= self.bytes;
        }
        table.remove(self.id);
    }
}

impl Table {
    fn remove(&mut self, id: Id) -> Option<Holder> {
        let holder = self.holders.remove(&id)?;
        self.held -= holder.bytes;
        Some(holder)
    }

    /// Adds a holder, and evicts the largest ones while the limit is exceeded.
    fn insert(&mut self, id: Id, holder: Holder) {
        self.held += holder.bytes;
        self.holders.insert(id, holder);
        while self.held > self.limit {
            let largest = self
                .holders
                .iter()
                .max_by_key(|(id, holder)| (holder.bytes, **id));
            let Some(id) = largest.map(|(id, _)| *id) else {
                return;
            };
            if let Some(largest) = self.remove(id) {
                self.evicted += largest.bytes;
                largest.evicted.cancel();
            }
        }
    }
}
