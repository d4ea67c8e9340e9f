//! Runs an operator's edit against the platform's store.

use std::time::Duration;

use environment::digest;
use spread::edit::{
    Answer,
    Draft,
    Edit,
    Envelope,
    Outcome,
    Record,
    Step,
    Stored, //
};
use store::{
    Client,
    Error,
    store::{
        Entry,
        Expect,
        Write, //
    }, //
};
use tokio::time::sleep;

use super::key;

/// Delay before a failed call to the store is retried, multiplied by the number of failures.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Decodes a document of the store. A value that isn't an envelope was written by other means, and
/// counts as a document without history.
pub(crate) fn decode(entry: &Entry) -> Stored {
    let envelope = serde_json::from_str(&entry.value).unwrap_or_else(|_| Envelope {
        edit: Record {
            id: String::new(),
            operator: String::new(),
            at: Duration::ZERO,
            replaced: 0,
            digest: digest(&entry.value),
            trial: None,
        },
        text: entry.value.clone(),
        history: Vec::new(),
    });
    Stored {
        revision: entry.revision,
        envelope,
    }
}

/// Reads the document of an environment from the store; returns `None` if there is no such
/// document.
pub(crate) async fn read(platform: &Client, environment: &str) -> Result<Option<Stored>, Error> {
    let entry = platform.get(&key(environment)).await?;
    Ok(entry.as_ref().map(decode))
}

/// Applies an edit. Returns within a few times the timeout of a call to the store.
pub(crate) async fn apply(platform: &Client, draft: Draft) -> Outcome {
    let (mut edit, mut step) = Edit::new(draft);
    let mut failures = 0;
    loop {
        let answer = match &step {
            Step::Done(outcome) => return outcome.clone(),
            Step::Read(environment) => match read(platform, environment).await {
                Ok(stored) => Answer::Read(stored),
                Err(_) => Answer::Refused,
            },
            Step::Write {
                environment,
                expect,
                envelope,
            } => write(platform, environment, *expect, envelope).await,
        };
        if matches!(answer, Answer::Refused | Answer::Unanswered) {
            failures += 1;
            sleep(RETRY_DELAY * failures).await;
        }
        step = edit.answer(answer);
    }
}

/// Writes an envelope if the document still has the expected revision; 0 expects no document.
async fn write(platform: &Client, environment: &str, expect: u64, envelope: &Envelope) -> Answer {
    let Ok(value) = serde_json::to_string(envelope) else {
        return Answer::Refused;
    };
    let expect = match expect {
        0 => Expect::Absent,
        revision => Expect::Revision(revision),
    };
    match platform.put(&key(environment), &value, expect, None).await {
        Ok(Write::Applied { revision }) => Answer::Written(revision),
        Ok(Write::Conflict { entry }) => Answer::Conflict(entry.as_ref().map(decode)),
        Err(Error::TooLarge) => Answer::TooLarge,
        Err(Error::Unavailable | Error::RateLimited { .. }) => Answer::Refused,
        // After any other error, the write may have taken effect.
        Err(_) => Answer::Unanswered,
    }
}
