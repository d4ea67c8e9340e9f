//! Records of calls in the platform's store, used by the entry and the sidecar.

use std::time::Duration;

use contract::{
    Record,
    store::{
        Read,
        Stored,
        Write, //
    }, //
};
use names::Revision;
use store::{
    Client,
    Error,
    store::{
        Entry,
        Expect,
        Lease,
        Write as Put, //
    }, //
};
use tokio::{
    sync::Mutex,
    time::Instant, //
};

/// Minimum time for which a record is stored. A key that is used again later starts a new call.
pub const RECORD_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Period in which all written records share one lease, so that leases cost next to no store calls.
pub const LEASE_SHARING_PERIOD: Duration = Duration::from_secs(3600);

/// Reads and writes records, with one attempt per call; the state machines in `contract` decide on
/// retries.
pub struct Records {
    client: Client,
    lease: Mutex<Option<(Lease, Instant)>>,
}

impl Records {
    /// Creates a reader and writer of records over a client of the store.
    pub fn new(client: Client) -> Self {
        Self {
            client,
            lease: Mutex::new(None),
        }
    }

    /// Writes a record if its current revision is `expect`; 0 means that it must not exist.
    pub async fn write(&self, key: &str, expect: Revision, record: &Record) -> Write {
        let expect = match expect {
            0 => Expect::Absent,
            revision => Expect::Revision(revision),
        };
        let value = record.encode();
        let mut renewed = false;
        loop {
            let Ok(lease) = self.lease().await else {
                return Write::Refused;
            };
            return match self.client.put(key, &value, expect, Some(lease)).await {
                Ok(Put::Applied { revision }) => Write::Applied(revision),
                Ok(Put::Conflict { entry: None }) => Write::Conflict(None),
                Ok(Put::Conflict { entry: Some(entry) }) => match decode(&entry) {
                    Some(stored) => Write::Conflict(Some(stored)),
                    None => Write::Refused,
                },
                Err(Error::Unanswered | Error::Malformed(_)) => Write::Unanswered,
                // The store no longer knows the lease, after its restart or a long pause of this
                // process.
                Err(Error::UnknownLease) if !renewed => {
                    renewed = true;
                    self.forget_lease(lease).await;
                    continue;
                }
                Err(_) => Write::Refused,
            };
        }
    }

    /// Reads a record; [`Read::Failed`] also when it can't be decoded.
    pub async fn read(&self, key: &str) -> Read {
        match self.client.get(key).await {
            Ok(None) => Read::Absent,
            Ok(Some(entry)) => decode(&entry).map_or(Read::Failed, Read::Found),
            Err(_) => Read::Failed,
        }
    }

    /// Returns the shared lease, after replacing one older than [`LEASE_SHARING_PERIOD`].
    async fn lease(&self) -> Result<Lease, Error> {
        let mut current = self.lease.lock().await;
        if let Some((lease, granted_at)) = *current
            && granted_at.elapsed() < LEASE_SHARING_PERIOD
        {
            return Ok(lease);
        }
        let granted_at = Instant::now();
        let lease = self
            .client
            .grant_lease(RECORD_RETENTION + LEASE_SHARING_PERIOD)
            .await?;
        *current = Some((lease, granted_at));
        Ok(lease)
    }

    async fn forget_lease(&self, expired: Lease) {
        let mut current = self.lease.lock().await;
        if current.is_some_and(|(lease, _)| lease == expired) {
            *current = None;
        }
    }
}

fn decode(entry: &Entry) -> Option<Stored> {
    Some(Stored {
        record: Record::decode(&entry.value)?,
        revision: entry.revision,
    })
}
