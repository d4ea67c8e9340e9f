//! The store's record of a move: read, written, and told to the other entries.

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
        KEPT,
        on, //
    },
    state::State, //
};

pub(super) async fn read(state: Arc<State>, name: Move) {
    let key = key(&state.settings.environment, &name);
    let answer = match state.platform.get(&key).await {
        Ok(entry) => standing(entry),
        Err(_) => Answer::Failed,
    };
    tell_record(&state, &name, &answer);
    on(&state, &name, Event::Stored(answer));
}

pub(super) async fn write(state: Arc<State>, name: Move, record: Box<Record>, expect: Revision) {
    let key = key(&state.settings.environment, &name);
    let value = serde_json::to_string(&record).expect("a record has a JSON form");
    let expect = match expect {
        0 => Expect::Absent,
        revision => Expect::Revision(revision),
    };
    let answer = match state.platform.put(&key, &value, expect, None).await {
        Ok(Write::Done { revision }) => Answer::Current {
            revision,
            record: Some(record),
        },
        Ok(Write::Conflict { entry }) => standing(entry),
        Err(_) => Answer::Failed,
    };
    tell_record(&state, &name, &answer);
    on(&state, &name, Event::Stored(answer));
}

fn standing(entry: Option<store::store::Entry>) -> Answer {
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

/// Tells every entry what the store keeps of a move.
///
/// Only the entry that wrote the record, and those that read it, know that it stands. The others
/// would each write it again when their turn comes.
fn tell_record(state: &State, name: &Move, answer: &Answer) {
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
        until: Some(since + KEPT),
        body: serde_json::to_vec(record).expect("a record has a JSON form"),
    };
    state.documents.learn(key, fact);
}
