//! Orders to the engine behind this sidecar: the driver of [`orders::sequencer`].
//!
//! An order is a value in the platform's store; its revision is the fencing token. This sidecar
//! watches the key of its server and is the only process that forwards orders to it.

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

/// Capacity of the channel of events to the state machine.
const EVENT_CHANNEL_CAPACITY: usize = 16;

/// Delay before the next read after a failed call to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest wait of one watch call. The store counts each watch call of a sidecar as one read.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Body of an engine's answer that refuses an order because of its fencing token; reports the
/// highest token that it has accepted.
#[derive(Deserialize)]
struct Conflict {
    highest: u64,
}

/// Forwards orders until the sidecar has stopped.
pub(crate) async fn forward(state: Arc<State>, stopped: CancellationToken) {
    if state.context.settings.server.kind != Kind::Engine {
        return;
    }
    let times = &state.context.settings.times;
    let Ok(platform) = Platform::new(&state.context.settings.platform, times.platform) else {
        return;
    };
    let (events, mut incoming) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let driver = Driver {
        client: Client::new(),
        order_timeout: times.platform,
        state: state.clone(),
        events,
    };
    let settings = Settings {
        checks_fence: state.context.settings.server.checks_fence,
        settle_time: times.settle,
        ..Settings::default()
    };
    let mut sequencer = Sequencer::new(settings);
    let watching = watch(
        platform,
        key(&state.context.settings.server.name),
        &driver.events,
    );
    tokio::pin!(watching);
    let mut event = Some(Event::Started);
    loop {
        if let Some(event) = event.take() {
            for action in sequencer.handle(event, state.context.now()) {
                driver.execute(action);
            }
        }
        event = tokio::select! {
            () = stopped.cancelled() => return,
            () = &mut watching => return,
            event = incoming.recv() => event,
        };
    }
}

/// Reads the newest order, reports its revision, and watches for changes. Until the first read
/// succeeds, the sequencer doesn't know the newest token. While the store is unavailable later, no
/// new order arrives, and failed calls are retried every [`STORE_RETRY_DELAY`].
async fn watch(platform: Platform, key: String, events: &mpsc::Sender<Event>) {
    let mut after = None;
    loop {
        let step = match after {
            None => read_newest(&platform, &key, events).await,
            Some(after) => wait_for_change(&platform, &key, after, events).await,
        };
        after = step.ok();
        if after.is_none() {
            sleep(STORE_RETRY_DELAY).await;
        }
    }
}

async fn read_newest(
    platform: &Platform,
    key: &str,
    events: &mpsc::Sender<Event>,
) -> Result<Revision, store::Error> {
    let listing = platform.list(key).await?;
    let entry = listing.entries.into_iter().find(|entry| entry.key == key);
    let newest = entry.as_ref().map_or(0, |entry| entry.revision);
    notify(events, Event::NewestRead(newest)).await;
    if let Some(Entry {
        value, revision, ..
    }) = entry
    {
        notify_order(revision, &value, events).await;
    }
    Ok(listing.revision)
}

async fn wait_for_change(
    platform: &Platform,
    key: &str,
    after: Revision,
    events: &mpsc::Sender<Event>,
) -> Result<Revision, store::Error> {
    let watched = platform.watch(key, after, WATCH_TIMEOUT).await?;
    for change in watched.events {
        if change.key != key {
            continue;
        }
        if let Some(value) = change.value {
            notify_order(change.revision, &value, events).await;
        }
    }
    Ok(watched.revision)
}

async fn notify_order(fence: Revision, value: &str, events: &mpsc::Sender<Event>) {
    match serde_json::from_str::<Order>(value) {
        Ok(order) => notify(events, Event::Order(Fenced { fence, order })).await,
        Err(error) => {
            events::emit!(order_events::UNREADABLE, "fence={fence} reason=\"{error}\"");
        }
    }
}

/// Executes the actions of the sequencer.
struct Driver {
    client: Client,
    /// Time after which an unanswered order is reported as timed out; its connection stays open.
    order_timeout: Duration,
    state: Arc<State>,
    events: mpsc::Sender<Event>,
}

impl Driver {
    fn execute(&self, action: Action) {
        let events = self.events.clone();
        match action {
            // The watch loop retries the read until it succeeds.
            Action::ReadStore => {}
            Action::Wait(time) => {
                tokio::spawn(async move {
                    sleep(time).await;
                    notify(&events, Event::TimerFired).await;
                });
            }
            Action::Send(order) => {
                let address = &self.state.context.settings.server.address;
                let request = self.client.post(format!("{address}/orders")).json(&order);
                tokio::spawn(send(request, order.fence, self.order_timeout, events));
            }
            Action::Answer { fence, answer } => self.report(fence, answer),
        }
    }

    /// Logs the result of an order.
    fn report(&self, fence: Revision, answer: Answer) {
        let server = &self.state.context.settings.server.name;
        let event = match answer {
            Answer::Applied => order_events::APPLIED,
            Answer::Unknown => order_events::UNKNOWN,
            Answer::Old { .. } | Answer::Refused | Answer::StoreOut { .. } => order_events::REFUSED,
        };
        events::emit!(event, "server={server} fence={fence} answer={answer:?}");
    }
}

/// Sends an order. The connection stays open until the server answers or closes it: a timeout would
/// not show whether the order took effect.
async fn send(
    request: reqwest::RequestBuilder,
    fence: Revision,
    order_timeout: Duration,
    events: mpsc::Sender<Event>,
) {
    let answer = request.send();
    tokio::pin!(answer);
    let answer = match timeout(order_timeout, &mut answer).await {
        Ok(answer) => answer,
        Err(_) => {
            notify(&events, Event::TimedOut(fence)).await;
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
    notify(&events, event).await;
}

async fn notify(events: &mpsc::Sender<Event>, event: Event) {
    // The receiver is dropped when the sidecar stops.
    let _ = events.send(event).await;
}
