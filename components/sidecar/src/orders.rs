//! Orders to the engine beside this sidecar: the driver of [`orders::sequencer`].
//!
//! An order is a value of the platform's store; its revision is the fencing token. This sidecar
//! watches the key of its server and is the only one that passes orders on.

use std::{
    sync::Arc,
    time::Duration, //
};

use events::orders as order_events;
use names::Revision;
use orders::{
    Order, key,
    order::Fenced,
    sequencer::{
        Action,
        Answer,
        Event,
        Sequencer,
        Settings, //
    },
};
use reqwest::{
    Client,
    StatusCode, //
};
use serde::Deserialize;
use settings::sidecar::Kind;
use store::{
    Client as Platform,
    store::Entry, //
};
use tokio::{
    sync::mpsc,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::state::State;

/// Events that wait for the sequencer.
const WAITING: usize = 16;

/// Pause after a failed reading of the store.
const PAUSE: Duration = Duration::from_millis(500);

/// Longest wait of a watch at the store. One waiting watch a sidecar counts as one read each time.
const WATCH: Duration = Duration::from_secs(20);

/// An engine that refuses an order for its number says the highest one it took.
#[derive(Deserialize)]
struct Conflict {
    highest: u64,
}

/// Passes orders on until the sidecar ends.
pub(crate) async fn follow(state: Arc<State>, ended: CancellationToken) {
    if state.shared.settings.server.kind != Kind::Engine {
        return;
    }
    let times = &state.shared.settings.times;
    let Ok(platform) = Platform::new(&state.shared.settings.platform, times.platform) else {
        return;
    };
    let (events, mut incoming) = mpsc::channel(WAITING);
    let driver = Driver {
        client: Client::new(),
        slow: times.platform,
        state: state.clone(),
        events,
    };
    let settings = Settings {
        checks_fence: state.shared.settings.server.checks_fence,
        settle_time: times.settle,
        ..Settings::default()
    };
    let mut sequencer = Sequencer::new(settings);
    let watching = watch(
        platform,
        key(&state.shared.settings.server.name),
        &driver.events,
    );
    tokio::pin!(watching);
    let mut event = Some(Event::Started);
    loop {
        if let Some(event) = event.take() {
            for action in sequencer.handle(event, state.shared.now()) {
                driver.act(action);
            }
        }
        event = tokio::select! {
            () = ended.cancelled() => return,
            () = &mut watching => return,
            event = incoming.recv() => event,
        };
    }
}

/// Reads the newest order, tells its number, and follows its changes. While the store is out the
/// sequencer knows no number and lets nothing through.
async fn watch(platform: Platform, key: String, events: &mpsc::Sender<Event>) {
    let mut after = None;
    loop {
        let step = match after {
            None => read(&platform, &key, events).await,
            Some(after) => change(&platform, &key, after, events).await,
        };
        after = step.ok();
        if after.is_none() {
            sleep(PAUSE).await;
        }
    }
}

async fn read(
    platform: &Platform,
    key: &str,
    events: &mpsc::Sender<Event>,
) -> Result<Revision, store::Error> {
    let listing = platform.list(key).await?;
    let entry = listing.entries.into_iter().find(|entry| entry.key == key);
    let newest = entry.as_ref().map_or(0, |entry| entry.revision);
    give(events, Event::NewestRead(newest)).await;
    if let Some(Entry {
        value, revision, ..
    }) = entry
    {
        order(revision, &value, events).await;
    }
    Ok(listing.revision)
}

async fn change(
    platform: &Platform,
    key: &str,
    after: Revision,
    events: &mpsc::Sender<Event>,
) -> Result<Revision, store::Error> {
    let change = platform.watch(key, after, WATCH).await?;
    for event in change.events {
        if event.key != key {
            continue;
        }
        if let Some(value) = event.value {
            order(event.revision, &value, events).await;
        }
    }
    Ok(change.revision)
}

async fn order(fence: Revision, value: &str, events: &mpsc::Sender<Event>) {
    match serde_json::from_str::<Order>(value) {
        Ok(order) => give(events, Event::Order(Fenced { fence, order })).await,
        Err(error) => {
            events::emit!(order_events::UNREADABLE, "fence={fence} reason=\"{error}\"");
        }
    }
}

struct Driver {
    client: Client,
    /// An order that takes longer is reported as slow.
    slow: Duration,
    state: Arc<State>,
    events: mpsc::Sender<Event>,
}

impl Driver {
    fn act(&self, action: Action) {
        let events = self.events.clone();
        match action {
            // The watch reads the store until it succeeds.
            Action::ReadStore => {}
            Action::Wait(time) => {
                tokio::spawn(async move {
                    sleep(time).await;
                    give(&events, Event::TimerFired).await;
                });
            }
            Action::Send(order) => {
                let address = &self.state.shared.settings.server.address;
                let request = self.client.post(format!("{address}/orders")).json(&order);
                tokio::spawn(send(request, order.fence, self.slow, events));
            }
            Action::Answer { fence, answer } => self.report(fence, answer),
        }
    }

    fn report(&self, fence: Revision, answer: Answer) {
        let server = &self.state.shared.settings.server.name;
        let event = match answer {
            Answer::Applied => order_events::APPLIED,
            Answer::Unknown => order_events::UNKNOWN,
            Answer::Old { .. } | Answer::Refused | Answer::StoreOut { .. } => order_events::REFUSED,
        };
        events::emit!(event, "server={server} fence={fence} answer={answer:?}");
    }
}

/// Sends an order. Its connection stays open until the server answers or closes it: a time-out
/// would prove nothing about the order's effect.
async fn send(
    request: reqwest::RequestBuilder,
    fence: Revision,
    slow: Duration,
    events: mpsc::Sender<Event>,
) {
    let answer = request.send();
    tokio::pin!(answer);
    let answer = match timeout(slow, &mut answer).await {
        Ok(answer) => answer,
        Err(_) => {
            give(&events, Event::TimedOut(fence)).await;
            answer.await
        }
    };
    let event = match answer {
        Ok(answer) if answer.status().is_success() => Event::Applied(fence),
        Ok(answer) if answer.status() == StatusCode::CONFLICT => {
            let conflict = answer.json::<Conflict>().await;
            Event::Refused {
                fence,
                highest: conflict.map_or(0, |conflict| conflict.highest),
            }
        }
        Ok(_) => Event::Refused { fence, highest: 0 },
        Err(_) => Event::Closed(fence),
    };
    give(&events, event).await;
}

async fn give(events: &mpsc::Sender<Event>, event: Event) {
    // The sequencer is gone when the sidecar ends.
    let _ = events.send(event).await;
}
