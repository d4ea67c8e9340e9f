//! Records of kept calls in the platform's store, for both daemons.

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

/// How long a record is kept at least. A key that comes again later is a new call.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Records written within this time share one lease, so that leases cost next to no calls.
pub const SHARED: Duration = Duration::from_secs(3600);

/// Reads and writes records; one attempt a call, since the decisions in `contract` do the rest.
pub struct Records {
    client: Client,
    lease: Mutex<Option<(Lease, Instant)>>,
}

impl Records {
    /// Makes records over a client.
    pub fn new(client: Client) -> Self {
        Self {
            client,
            lease: Mutex::new(None),
        }
    }

    /// Writes a record if its revision is still `expect`; 0 is "absent".
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
                Ok(Put::Done { revision }) => Write::Applied(revision),
                Ok(Put::Conflict { entry: None }) => Write::Conflict(None),
                Ok(Put::Conflict { entry: Some(entry) }) => match standing(&entry) {
                    Some(standing) => Write::Conflict(Some(standing)),
                    None => Write::Refused,
                },
                Err(Error::Unanswered | Error::Malformed(_)) => Write::Unanswered,
                // The store forgot the lease, after a restart or a long pause of ours.
                Err(Error::UnknownLease) if !renewed => {
                    renewed = true;
                    self.forget(lease).await;
                    continue;
                }
                Err(_) => Write::Refused,
            };
        }
    }

    /// Reads a record.
    pub async fn read(&self, key: &str) -> Read {
        match self.client.get(key).await {
            Ok(None) => Read::Absent,
            Ok(Some(entry)) => standing(&entry).map_or(Read::Failed, Read::Found),
            Err(_) => Read::Failed,
        }
    }

    /// The lease of this hour.
    async fn lease(&self) -> Result<Lease, Error> {
        let mut held = self.lease.lock().await;
        if let Some((lease, since)) = *held
            && since.elapsed() < SHARED
        {
            return Ok(lease);
        }
        let since = Instant::now();
        let lease = self.client.grant_lease(RETENTION + SHARED).await?;
        *held = Some((lease, since));
        Ok(lease)
    }

    async fn forget(&self, lapsed: Lease) {
        let mut held = self.lease.lock().await;
        if held.is_some_and(|(lease, _)| lease == lapsed) {
            *held = None;
        }
    }
}

fn standing(entry: &Entry) -> Option<Stored> {
    Some(Stored {
        record: Record::decode(&entry.value)?,
        revision: entry.revision,
    })
}
