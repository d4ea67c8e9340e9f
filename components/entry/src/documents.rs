//! The document in force in this entry.

use std::{
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwapOption;
use environment::Document;
use events::documents;
use names::Revision;
use tokio::{
    sync::watch,
    time::sleep, //
};

use crate::state::State;

/// Pause after a failed reading of the store.
const PAUSE: Duration = Duration::from_millis(500);

/// The document in force, if any.
pub(crate) struct Documents {
    held: ArcSwapOption<Held>,
    revision: watch::Sender<Revision>,
}

/// A document with its revision.
pub(crate) struct Held {
    pub(crate) revision: Revision,
    pub(crate) text: String,
    pub(crate) document: Document,
}

impl Default for Documents {
    fn default() -> Self {
        Self {
            held: ArcSwapOption::empty(),
            revision: watch::Sender::new(0),
        }
    }
}

/// Key of an environment's document in the platform's store.
pub(crate) fn key(environment: &str) -> String {
    format!("env/{environment}")
}

impl Documents {
    /// The document in force.
    pub(crate) fn current(&self) -> Option<Arc<Held>> {
        self.held.load_full()
    }

    /// Changes of the revision in force.
    pub(crate) fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Takes a document unless it is older than the one in force.
    fn take(&self, revision: Revision, text: String) {
        if *self.revision.borrow() >= revision {
            return;
        }
        match environment::parse(&text) {
            Ok(document) => {
                self.held.store(Some(Arc::new(Held {
                    revision,
                    text,
                    document,
                })));
                events::emit!(documents::IN_FORCE, "revision={revision}");
                self.revision.send_replace(revision);
            }
            Err(error) => {
                events::emit!(
                    documents::UNREADABLE,
                    "revision={revision} reason=\"{error}\""
                );
            }
        }
    }
}

/// Reads the document and watches it for changes.
pub(crate) async fn follow(state: Arc<State>) {
    let key = key(&state.settings.environment);
    let mut after = None;
    let mut out = false;
    loop {
        let step = tokio::select! {
            () = state.ended.cancelled() => return,
            step = read(&state, &key, after) => step,
        };
        match step {
            Ok(revision) => {
                after = Some(revision);
                out = false;
            }
            Err(error) => {
                if !out {
                    events::emit!(documents::STORE_OUT, "reason=\"{error}\"");
                }
                out = true;
                after = None;
                sleep(PAUSE).await;
            }
        }
    }
}

async fn read(
    state: &State,
    key: &str,
    after: Option<Revision>,
) -> Result<Revision, platform::Error> {
    let Some(after) = after else {
        let listing = state.platform.list(key).await?;
        for entry in listing.entries {
            if entry.key == key {
                state.documents.take(entry.revision, entry.value);
            }
        }
        return Ok(listing.revision);
    };
    let change = state
        .platform
        .watch(key, after, state.settings.times.watch)
        .await?;
    for event in change.events {
        if event.key != key {
            continue;
        }
        if let Some(value) = event.value {
            state.documents.take(event.revision, value);
        }
    }
    Ok(change.revision)
}
