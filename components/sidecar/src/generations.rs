//! The generations that a sidecar holds, and the streams that read them.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use answer::{
    Finish,
    log::Log, //
};
use contract::poison;
use events::answers;
use names::Index;
use settings::{
    Sidecar,
    sidecar::Kind, //
};
use tokio::sync::watch;
use wire::{
    Frame,
    Stream,
    Tokens,
    frame::{
        Attach,
        End,
        Reason,
        Refused,
        Start, //
    },
    stream::{
        Receiver,
        Sender, //
    }, //
};

use crate::{
    concurrency::Counter,
    context::Context,
    engine::Engine,
    generation::{
        Generation,
        Key, //
    },
    inflight::Refusal, //
};

/// Maximum number of tokens in one frame.
const MAX_BATCH_TOKENS: usize = 256;

/// Retry delay of refusals for which no other delay applies, such as that of a full sidecar.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay of requests refused because the sidecar is leaving: another sidecar can be tried at
/// once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Generations that run at the engine, and ended ones whose log is held for the grace time.
pub struct Generations {
    engine: Engine,
    by_key: Arc<Mutex<HashMap<Key, Arc<Generation>>>>,
    concurrency: Counter,
}

impl Generations {
    pub(crate) fn new(settings: &Sidecar, concurrency: Counter) -> Self {
        Self {
            engine: Engine::new(&settings.server.address, settings.times.stall),
            by_key: Arc::default(),
            concurrency,
        }
    }

    /// Starts a generation and streams its tokens, or refuses it.
    pub(crate) async fn start(&self, context: &Context, start: Start, mut stream: Stream) {
        match self.begin(context, start).await {
            Ok(generation) => {
                if stream.send(&Frame::Started).await.is_ok() {
                    let from = generation.subscribe().borrow().next();
                    stream_tokens(generation, from, stream).await;
                }
            }
            Err(refused) => {
                // The send fails only if the entry has disconnected.
                let _ = stream.send(&Frame::Refused(refused)).await;
                stream.sender.finish();
                stream.sender.stopped().await;
            }
        }
    }

    /// Streams the tokens of a generation, if this sidecar holds it.
    pub(crate) async fn attach(&self, attach: Attach, mut stream: Stream) {
        let key = Key {
            request: attach.request,
            epoch: attach.epoch,
            nonce: attach.nonce,
        };
        let found = self
            .by_key
            .lock()
            .expect("no panic while held")
            .get(&key)
            .cloned();
        let Some(generation) = found else {
            let _ = stream.send(&Frame::Missing).await;
            stream.sender.finish();
            stream.sender.stopped().await;
            return;
        };
        if stream.send(&Frame::Started).await.is_ok() {
            stream_tokens(generation, attach.from, stream).await;
        }
    }

    async fn begin(&self, context: &Context, start: Start) -> Result<Arc<Generation>, Refused> {
        let limits = &context.settings.limits;
        if context.leaving.is_cancelled() {
            return Err(refused(Reason::Leaving, LEAVING_RETRY_AFTER));
        }
        if context.settings.server.kind != Kind::Engine {
            return Err(refused(Reason::Invalid, DEFAULT_RETRY_AFTER));
        }
        let Some(permit) = self.concurrency.acquire(limits.runs) else {
            return Err(refused(Reason::Full, DEFAULT_RETRY_AFTER));
        };
        if self.bytes() >= limits.logs as usize {
            return Err(refused(Reason::Full, DEFAULT_RETRY_AFTER));
        }
        let generation = Generation::new(&start.delivered, limits.log as usize)
            .map_err(|_| refused(Reason::Invalid, DEFAULT_RETRY_AFTER))?;
        if let Some(facts) = &start.suspects {
            context.suspects.merge(facts);
        }
        let fingerprint = poison::generation_fingerprint(
            &start.team,
            &start.service,
            &start.model,
            &start.prompt,
        );
        let guard = context
            .inflight
            .admit(fingerprint)
            .await
            .map_err(admission_refusal)?;
        let lines = self.engine.generate(&start).await?;
        let generation = Arc::new(generation);
        let key = Key {
            request: start.request,
            epoch: start.epoch,
            nonce: start.nonce,
        };
        self.insert(key.clone(), generation.clone());
        let by_key = self.by_key.clone();
        let grace = context.settings.times.grace;
        let task_generation = generation.clone();
        tokio::spawn(async move {
            let finish = task_generation.fill(lines, grace, &guard).await;
            if matches!(finish, Finish::Stop | Finish::Length) {
                guard.record_completion();
            }
            drop(guard);
            drop(permit);
            report_breakage(&key, &finish);
            // An entry that lost its link may reconnect and read the rest.
            task_generation.wait_unused(grace).await;
            by_key.lock().expect("no panic while held").remove(&key);
        });
        Ok(generation)
    }

    fn insert(&self, key: Key, generation: Arc<Generation>) {
        self.by_key
            .lock()
            .expect("no panic while held")
            .insert(key, generation);
    }

    /// Returns the total size of all token logs in bytes.
    pub fn bytes(&self) -> usize {
        let generations = self.by_key.lock().expect("no panic while held");
        generations
            .values()
            .map(|generation| generation.bytes())
            .sum()
    }
}

/// Sends tokens from an index on until the generation ends or the entry is gone.
async fn stream_tokens(generation: Arc<Generation>, from: Index, stream: Stream) {
    let Stream { sender, receiver } = stream;
    let stream_id = rand::random();
    let log = generation.subscribe();
    generation.record_position(stream_id, from);
    let cancellations = tokio::spawn(read_cancellations(generation.clone(), stream_id, receiver));
    send_tokens(&generation, log, (stream_id, from), sender).await;
    cancellations.abort();
    generation.remove_stream(stream_id);
}

async fn send_tokens(
    generation: &Generation,
    mut log: watch::Receiver<Log>,
    (stream_id, mut next): (u64, Index),
    mut sender: Sender,
) {
    loop {
        let (tokens, end) = {
            let log = log.borrow_and_update();
            let Some(tokens) = log.read(next, MAX_BATCH_TOKENS).map(<[String]>::to_vec) else {
                break;
            };
            let unread = log.next().saturating_sub(next + tokens.len() as Index);
            let finish = if unread == 0 {
                log.finish().cloned()
            } else {
                None
            };
            (tokens, finish.map(|finish| (log.next(), finish)))
        };
        let count = tokens.len();
        if count > 0 {
            let frame = Frame::Tokens(Tokens {
                index: next,
                tokens,
            });
            if sender.send(&frame).await.is_err() {
                return;
            }
            next += count as Index;
            generation.record_position(stream_id, next);
        }
        if let Some((total, finish)) = end {
            if let Some(facts) = generation.suspects()
                && sender
                    .send(&Frame::Suspects(Box::new(facts)))
                    .await
                    .is_err()
            {
                return;
            }
            let usage = generation.usage();
            let frame = Frame::End(End {
                total,
                finish,
                usage,
            });
            if sender.send(&frame).await.is_ok() {
                sender.finish();
                sender.stopped().await;
            }
            return;
        }
        if count == MAX_BATCH_TOKENS {
            continue;
        }
        let gone = tokio::select! {
            changed = log.changed() => changed.is_err(),
            () = sender.stopped() => true,
        };
        if gone {
            return;
        }
    }
    // The requested tokens were dropped from the log to make room.
    if sender.send(&Frame::Missing).await.is_ok() {
        sender.finish();
        sender.stopped().await;
    }
}

/// Cancels the generation for this stream when the entry sends a cancel frame.
async fn read_cancellations(generation: Arc<Generation>, stream_id: u64, mut receiver: Receiver) {
    while let Ok(Some(frame)) = receiver.receive().await {
        if frame == Frame::Cancel {
            generation.cancel(stream_id);
        }
    }
}

fn report_breakage(key: &Key, finish: &Finish) {
    let Finish::Broken(breakage) = finish else {
        return;
    };
    events::emit!(
        answers::BROKEN,
        "request={} epoch={} breakage={breakage:?}",
        key.request,
        key.epoch
    );
}

fn admission_refusal(refusal: Refusal) -> Refused {
    match refusal {
        Refusal::Poisonous(left) => refused(Reason::Poisonous, left),
        Refusal::Deferred => refused(Reason::Apart, DEFAULT_RETRY_AFTER),
    }
}

fn refused(reason: Reason, retry_after: Duration) -> Refused {
    Refused {
        reason,
        retry_after,
    }
}
