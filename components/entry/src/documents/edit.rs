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

/// Pause before a call to the store is repeated; it grows by as much each time.
const PAUSE: Duration = Duration::from_millis(100);

/// Reads what the store holds. A text that somebody wrote by other means is a document without a
/// history.
pub(crate) fn open(entry: &Entry) -> Stored {
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

/// Reads a document from the store; none when there is none.
pub(crate) async fn stored(platform: &Client, environment: &str) -> Result<Option<Stored>, Error> {
    let entry = platform.get(&key(environment)).await?;
    Ok(entry.as_ref().map(open))
}

/// Makes an edit. It ends within a few times the platform's time limit.
pub(crate) async fn make(platform: &Client, draft: Draft) -> Outcome {
    let (mut edit, mut step) = Edit::new(draft);
    let mut failures = 0;
    loop {
        let answer = match &step {
            Step::Done(outcome) => return outcome.clone(),
            Step::Read(environment) => match stored(platform, environment).await {
                Ok(stored) => Answer::Read(stored),
                Err(_) => Answer::Refused,
            },
            Step::Write {
                environment,
                expect,
                envelope,
            } => write(platform, environment, *expect, envelope).await,
        };
        if matches!(answer, Answer::Refused | Answer::Silent) {
            failures += 1;
            sleep(PAUSE * failures).await;
        }
        step = edit.answer(answer);
    }
}

async fn write(platform: &Client, environment: &str, expect: u64, envelope: &Envelope) -> Answer {
    let Ok(value) = serde_json::to_string(envelope) else {
        return Answer::Refused;
    };
    let expect = match expect {
        0 => Expect::Absent,
        revision => Expect::Revision(revision),
    };
    match platform.put(&key(environment), &value, expect, None).await {
        Ok(Write::Done { revision }) => Answer::Written(revision),
        Ok(Write::Conflict { entry }) => Answer::Conflict(entry.as_ref().map(open)),
        Err(Error::TooLarge) => Answer::Large,
        Err(Error::Unavailable | Error::RateLimited { .. }) => Answer::Refused,
        // All that is left may have taken effect.
        Err(_) => Answer::Silent,
    }
}
