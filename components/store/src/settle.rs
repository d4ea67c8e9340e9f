//! Resolution of writes whose answer was lost, and retried reads.
//!
//! A write without an answer may have taken effect, may never take effect, or may still do so,
//! since the request can be delayed in transit. Reading the key identifies the first case by the
//! value, which must contain a nonce. An absent value proves nothing, because the write may arrive
//! right after the read. A second write of the same value under the same condition decides: the
//! condition can hold for only one of the two.

use std::time::Duration;

use backon::{
    BackoffBuilder,
    ExponentialBuilder, //
};
use names::Revision;
use tokio::time::{
    Instant,
    sleep,
    timeout_at, //
};

use crate::{
    Client,
    Error,
    store::{
        Entry,
        Expect,
        Lease,
        Settled,
        Write, //
    }, //
};

/// Initial delay between attempts; it doubles after each attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum delay between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// What the current state of the key reveals about a write.
enum Status {
    /// The write took effect at this revision.
    Applied(Revision),
    /// The write took no effect and can't any more.
    Conflict(Option<Entry>),
    /// The condition still holds, so the write may yet take effect.
    Undecided,
    /// The write's effect can't be determined, because the key's history or state is unavailable.
    Unknown,
}

impl Client {
    /// Reads a key, retrying transient errors until the deadline.
    ///
    /// # Errors
    ///
    /// The [`Error`] of the last attempt that completed before the deadline, or
    /// [`Error::Unanswered`] if none did.
    pub async fn get_until(&self, key: &str, deadline: Instant) -> Result<Option<Entry>, Error> {
        let mut last = Error::Unanswered;
        for wait in backoff().build() {
            match timeout_at(deadline, self.get(key)).await {
                Ok(Ok(entry)) => return Ok(entry),
                Ok(Err(error)) if error.is_transient() => last = error,
                Ok(Err(error)) => return Err(error),
                Err(_) => return Err(last),
            }
            // Sleeping past the deadline would only delay the error.
            if Instant::now() + wait >= deadline {
                return Err(last);
            }
            sleep(wait).await;
        }
        Err(last)
    }

    /// Writes a key and determines whether the write took effect, even if its answer is lost.
    ///
    /// The value must contain a nonce that makes it unique among all writes. With [`Expect::Any`],
    /// a lost answer is resolved as [`Settled::Applied`] or [`Settled::Unknown`], never as
    /// [`Settled::Conflict`].
    ///
    /// May be called again with the same value after [`Settled::Unknown`]. Returns within the
    /// client's settle timeout plus the timeout of one call.
    ///
    /// # Errors
    ///
    /// Errors of the first attempt after which the write had no effect: [`Error::Unavailable`],
    /// [`Error::RateLimited`], [`Error::TooLarge`], and [`Error::UnknownLease`].
    pub async fn settle(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
        lease: Option<Lease>,
    ) -> Result<Settled, Error> {
        let deadline = Instant::now() + self.settle_timeout;
        let mut wait = MIN_BACKOFF;
        let mut first = true;
        loop {
            let status = match self.put(key, value, expect, lease).await {
                Ok(Write::Applied { revision }) => Status::Applied(revision),
                Ok(Write::Conflict { entry }) => self.status(key, value, expect, entry).await,
                Err(Error::Unanswered | Error::Malformed(_)) => {
                    self.read_back(key, value, expect, deadline).await
                }
                Err(error) if first => return Err(error),
                Err(error) if error.is_transient() => Status::Undecided,
                Err(_) => Status::Unknown,
            };
            first = false;
            match status {
                Status::Applied(revision) => return Ok(Settled::Applied { revision }),
                Status::Conflict(entry) => return Ok(Settled::Conflict { entry }),
                Status::Unknown => return Ok(Settled::Unknown),
                Status::Undecided => {}
            }
            if Instant::now() + wait >= deadline {
                return Ok(Settled::Unknown);
            }
            sleep(wait).await;
            wait = (wait * 2).min(MAX_BACKOFF);
        }
    }

    async fn read_back(&self, key: &str, value: &str, expect: Expect, deadline: Instant) -> Status {
        match self.get_until(key, deadline).await {
            Ok(entry) => self.status(key, value, expect, entry).await,
            Err(_) => Status::Unknown,
        }
    }

    /// Derives the write's status from the current state of the key.
    async fn status(&self, key: &str, value: &str, expect: Expect, entry: Option<Entry>) -> Status {
        if let Some(entry) = &entry
            && entry.value == value
        {
            return Status::Applied(entry.revision);
        }
        let current = entry.as_ref().map(|entry| entry.revision);
        match (expect, current) {
            (Expect::Any, _) => Status::Unknown,
            (Expect::Absent, None) => Status::Undecided,
            // Only its creator changes such a key, so another writer created this one.
            (Expect::Absent, Some(_)) => Status::Conflict(entry),
            (Expect::Revision(expected), Some(current)) if current == expected => Status::Undecided,
            (Expect::Revision(expected), _) => {
                self.search_history(key, value, expected, entry).await
            }
        }
    }

    /// Searches for the write among the changes since its expected revision, as it may have taken
    /// effect and been overwritten since.
    async fn search_history(
        &self,
        key: &str,
        value: &str,
        expected: Revision,
        entry: Option<Entry>,
    ) -> Status {
        let Ok(change) = self.watch(key, expected, Duration::ZERO).await else {
            return Status::Unknown;
        };
        for event in &change.events {
            if event.key == key && event.value.as_deref() == Some(value) {
                return Status::Applied(event.revision);
            }
        }
        // Revisions only increase, so the condition can't hold again.
        Status::Conflict(entry)
    }
}

fn backoff() -> ExponentialBuilder {
    ExponentialBuilder::new()
        .with_min_delay(MIN_BACKOFF)
        .with_max_delay(MAX_BACKOFF)
        .with_jitter()
        .without_max_times()
}
