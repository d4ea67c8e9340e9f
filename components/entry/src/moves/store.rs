//! Reads and writes the record of a move in the store, and spreads it to the other entries.

use std::{
    sync::Arc,
    time::UNIX_EPOCH, //
};

use moves::{
    outcome::{
        Record,
        key, //
    },
    step::{
        Answer,
        Event, //
    },
};
use names::{
    Move,
    Revision, //
};
use spread::Key;
use store::store::{
    Expect,
    Write, //
};

use crate::{
    moves::{
        FACT_LIFETIME,
        handle, //
    },
    state::State, //
};

/// Reads the record of a move, and passes the result to its mover.
pub(super) async fn read(state: Arc<State>, name: Move) {
    let key = key(&state.settings.environment, &name);
    let answer = match state.platform.get(&key).await {
        Ok(entry) => stored_answer(entry),
        Err(_) => Answer::Failed,
    };
    publish_record(&state, &name, &answer);
    handle(&state, &name, Event::Stored(answer));
}

/// Writes the record of a move if the store still has revision `expect` (0: no record), and passes
/// the result to its mover.
pub(super) async fn write(state: Arc<State>, name: Move, record: Box<Record>, expect: Revision) {
    let key = key(&state.settings.environment, &name);
    let value = serde_json::to_string(&record).expect("a record has a JSON form");
    let expect = match expect {
        0 => Expect::Absent,
        revision => Expect::Revision(revision),
    };
    let answer = match state.platform.put(&key, &value, expect, None).await {
        Ok(Write::Applied { revision }) => Answer::Current {
            revision,
            record: Some(record),
        },
        Ok(Write::Conflict { entry }) => stored_answer(entry),
        Err(_) => Answer::Failed,
    };
    publish_record(&state, &name, &answer);
    handle(&state, &name, Event::Stored(answer));
}

/// Converts the entry of a record in the store; without an entry, the record was never written.
fn stored_answer(entry: Option<store::store::Entry>) -> Answer {
    let Some(entry) = entry else {
        return Answer::Current {
            revision: 0,
            record: None,
        };
    };
    match serde_json::from_str(&entry.value) {
        Ok(record) => Answer::Current {
            revision: entry.revision,
            record: Some(record),
        },
        Err(_) => Answer::Failed,
    }
}

/// Spreads the stored record of a move to all entries.
///
/// Otherwise only the entries that wrote or read the record would know that it exists, and each of
/// the others would write it again in its turn.
fn publish_record(state: &State, name: &Move, answer: &Answer) {
    let Answer::Current {
        revision,
        record: Some(record),
    } = answer
    else {
        return;
    };
    let key = Key::Record(state.settings.environment.clone(), name.clone());
    let since = record.by.duration_since(UNIX_EPOCH).unwrap_or_default();
    let fact = spread::Fact {
        weight: *revision,
        until: Some(since + FACT_LIFETIME),
        body: serde_json::to_vec(record).expect("a record has a JSON form"),
    };
    state.documents.publish(key, fact);
}
