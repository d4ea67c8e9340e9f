//! Writes whose answer was lost, and reads that are retried.
//!
//! A write that got no answer may have taken effect, may never do so, or may still do so: it can
//! be held up on its way. Reading the key tells the first case by the value, which must hold a
//! nonce. That the value is not there tells nothing by itself, as the write may land right after
//! the read. A second write of the same value under the same condition decides it: only one of the
//! two can find the condition met.

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

/// First wait between tries; it doubles, with jitter.
const FIRST: Duration = Duration::from_millis(20);

/// Longest wait between tries.
const LONGEST: Duration = Duration::from_secs(1);

/// What one look at the key says about a write.
enum Look {
    Won(Revision),
    Lost(Option<Entry>),
    /// The condition still holds: the write may yet land.
    Open,
    /// The key has moved on, and what was between is not known.
    Passed,
}

impl Client {
    /// Reads a key, with retries until the deadline.
    ///
    /// # Errors
    ///
    /// The [`Error`] of the last try that came to an end by itself; [`Error::Unanswered`] if none
    /// did.
    pub async fn get_until(&self, key: &str, deadline: Instant) -> Result<Option<Entry>, Error> {
        let mut last = Error::Unanswered;
        for wait in backoff().build() {
            match timeout_at(deadline, self.get(key)).await {
                Ok(Ok(entry)) => return Ok(entry),
                Ok(Err(error)) if error.passing() => last = error,
                Ok(Err(error)) => return Err(error),
                Err(_) => return Err(last),
            }
            // A sleep past the deadline would only hide the reason.
            if Instant::now() + wait >= deadline {
                return Err(last);
            }
            sleep(wait).await;
        }
        Err(last)
    }

    /// Writes a key and finds out what came of it, also when the answer is lost.
    ///
    /// The value must be one that no other write has, by a nonce in it. With [`Expect::Any`] a
    /// lost answer can only be settled as won.
    ///
    /// May be called again with the same value after [`Settled::Unknown`]. Ends within the
    /// client's patience and one time-out.
    ///
    /// # Errors
    ///
    /// Errors of the first try that say that it had no effect: [`Error::Unavailable`],
    /// [`Error::RateLimited`], [`Error::TooLarge`], and [`Error::UnknownLease`].
    pub async fn settle(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
        lease: Option<Lease>,
    ) -> Result<Settled, Error> {
        let deadline = Instant::now() + self.settle_timeout;
        let mut wait = FIRST;
        let mut first = true;
        loop {
            let look = match self.put(key, value, expect, lease).await {
                Ok(Write::Done { revision }) => Look::Won(revision),
                Ok(Write::Conflict { entry }) => self.judge(key, value, expect, entry).await,
                Err(Error::Unanswered | Error::Malformed(_)) => {
                    self.look(key, value, expect, deadline).await
                }
                Err(error) if first => return Err(error),
                Err(error) if error.passing() => Look::Open,
                Err(_) => Look::Passed,
            };
            first = false;
            match look {
                Look::Won(revision) => return Ok(Settled::Applied { revision }),
                Look::Lost(entry) => return Ok(Settled::Conflict { entry }),
                Look::Passed => return Ok(Settled::Unknown),
                Look::Open => {}
            }
            if Instant::now() + wait >= deadline {
                return Ok(Settled::Unknown);
            }
            sleep(wait).await;
            wait = (wait * 2).min(LONGEST);
        }
    }

    async fn look(&self, key: &str, value: &str, expect: Expect, deadline: Instant) -> Look {
        match self.get_until(key, deadline).await {
            Ok(entry) => self.judge(key, value, expect, entry).await,
            Err(_) => Look::Passed,
        }
    }

    /// Says what the key as it stands tells about the write.
    async fn judge(&self, key: &str, value: &str, expect: Expect, entry: Option<Entry>) -> Look {
        if let Some(entry) = &entry
            && entry.value == value
        {
            return Look::Won(entry.revision);
        }
        let stands = entry.as_ref().map(|entry| entry.revision);
        match (expect, stands) {
            (Expect::Any, _) => Look::Passed,
            (Expect::Absent, None) => Look::Open,
            // Only its creator changes such a key, so this one's creator is another.
            (Expect::Absent, Some(_)) => Look::Lost(entry),
            (Expect::Revision(expected), Some(stands)) if stands == expected => Look::Open,
            (Expect::Revision(expected), _) => self.history(key, value, expected, entry).await,
        }
    }

    /// Looks for the write among the changes since the revision that it expected: it may have
    /// taken effect and have been overwritten since.
    async fn history(
        &self,
        key: &str,
        value: &str,
        expected: Revision,
        entry: Option<Entry>,
    ) -> Look {
        let Ok(change) = self.watch(key, expected, Duration::ZERO).await else {
            return Look::Passed;
        };
        for event in &change.events {
            if event.key == key && event.value.as_deref() == Some(value) {
                return Look::Won(event.revision);
            }
        }
        // Revisions only grow, so the condition can't be met again.
        Look::Lost(entry)
    }
}

fn backoff() -> ExponentialBuilder {
    ExponentialBuilder::new()
        .with_min_delay(FIRST)
        .with_max_delay(LONGEST)
        .with_jitter()
        .without_max_times()
}
