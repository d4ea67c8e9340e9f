//! The generations that a sidecar holds, and the streams that listen to them.

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
    engine::Engine,
    flights::Refusal,
    generation::{
        Generation,
        Key, //
    },
    shared::Shared,
    work::Work, //
};

/// Tokens that one frame carries at most.
const BATCH: usize = 256;

/// Time to come back to a sidecar that is full.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Time to come back after a sidecar that leaves: another one can be asked at once.
const LEAVING_RETRY: Duration = Duration::from_millis(50);

/// The generations that a sidecar holds.
pub struct Generations {
    engine: Engine,
    held: Arc<Mutex<HashMap<Key, Arc<Generation>>>>,
    work: Work,
}

impl Generations {
    pub(crate) fn new(settings: &Sidecar, work: Work) -> Self {
        Self {
            engine: Engine::new(&settings.server.address, settings.times.stall),
            held: Arc::default(),
            work,
        }
    }

    /// Begins a generation and sends its tokens, or says why not.
    pub(crate) async fn start(&self, shared: &Shared, start: Start, mut stream: Stream) {
        match self.begin(shared, start).await {
            Ok(generation) => {
                if stream.send(&Frame::Started).await.is_ok() {
                    let from = generation.listen().borrow().next();
                    send(generation, from, stream).await;
                }
            }
            Err(refused) => {
                // An entry that is gone needs no answer.
                let _ = stream.send(&Frame::Refused(refused)).await;
                stream.sender.finish();
                stream.sender.stopped().await;
            }
        }
    }

    /// Sends the tokens of a generation that is there.
    pub(crate) async fn attach(&self, attach: Attach, mut stream: Stream) {
        let key = Key {
            request: attach.request,
            epoch: attach.epoch,
            nonce: attach.nonce,
        };
        let found = self
            .held
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
            send(generation, attach.from, stream).await;
        }
    }

    async fn begin(&self, shared: &Shared, start: Start) -> Result<Arc<Generation>, Refused> {
        let limits = &shared.settings.limits;
        if shared.leaving.is_cancelled() {
            return Err(refused(Reason::Leaving, LEAVING_RETRY));
        }
        if shared.settings.server.kind != Kind::Engine {
            return Err(refused(Reason::Invalid, FULL_RETRY));
        }
        let Some(piece) = self.work.begin(limits.runs) else {
            return Err(refused(Reason::Full, FULL_RETRY));
        };
        if self.bytes() >= limits.logs as usize {
            return Err(refused(Reason::Full, FULL_RETRY));
        }
        let generation = Generation::new(&start.delivered, limits.log as usize)
            .map_err(|_| refused(Reason::Invalid, FULL_RETRY))?;
        if let Some(facts) = &start.suspects {
            shared.suspects.merge(facts);
        }
        let fingerprint = poison::generation_fingerprint(
            &start.team,
            &start.service,
            &start.model,
            &start.prompt,
        );
        let flying = shared.flights.admit(fingerprint).await.map_err(apart)?;
        let lines = self.engine.generate(&start).await?;
        let generation = Arc::new(generation);
        let key = Key {
            request: start.request,
            epoch: start.epoch,
            nonce: start.nonce,
        };
        self.hold(key.clone(), generation.clone());
        let held = self.held.clone();
        let grace = shared.settings.times.grace;
        let filled = generation.clone();
        tokio::spawn(async move {
            let finish = filled.fill(lines, grace, &flying).await;
            if matches!(finish, Finish::Stop | Finish::Length) {
                flying.ended();
            }
            drop(flying);
            drop(piece);
            note(&key, &finish);
            // An entry that lost its link may still come back for the rest.
            filled.forgotten(grace).await;
            held.lock().expect("no panic while held").remove(&key);
        });
        Ok(generation)
    }

    fn hold(&self, key: Key, generation: Arc<Generation>) {
        self.held
            .lock()
            .expect("no panic while held")
            .insert(key, generation);
    }

    /// Bytes of all logs.
    pub fn bytes(&self) -> usize {
        let held = self.held.lock().expect("no panic while held");
        held.values().map(|generation| generation.bytes()).sum()
    }
}

/// Sends tokens from an index on until the generation ends or the entry is gone.
async fn send(generation: Arc<Generation>, from: Index, stream: Stream) {
    let Stream { sender, receiver } = stream;
    let number = rand::random();
    let log = generation.listen();
    generation.note_sent(number, from);
    let commands = tokio::spawn(obey(generation.clone(), number, receiver));
    pump(&generation, log, (number, from), sender).await;
    commands.abort();
    generation.leave(number);
}

async fn pump(
    generation: &Generation,
    mut log: watch::Receiver<Log>,
    (number, mut next): (u64, Index),
    mut sender: Sender,
) {
    loop {
        let (tokens, end) = {
            let log = log.borrow_and_update();
            let Some(tokens) = log.read(next, BATCH).map(<[String]>::to_vec) else {
                break;
            };
            let rest = log.next().saturating_sub(next + tokens.len() as Index);
            let finish = if rest == 0 {
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
            generation.note_sent(number, next);
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
        if count == BATCH {
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
    // The beginning of the log had to make room.
    if sender.send(&Frame::Missing).await.is_ok() {
        sender.finish();
        sender.stopped().await;
    }
}

/// Takes the entry's word that nobody wants the generation any more.
async fn obey(generation: Arc<Generation>, number: u64, mut receiver: Receiver) {
    while let Ok(Some(frame)) = receiver.receive().await {
        if frame == Frame::Cancel {
            generation.cancel(number);
        }
    }
}

fn note(key: &Key, finish: &Finish) {
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

fn apart(refusal: Refusal) -> Refused {
    match refusal {
        Refusal::Poisonous(left) => refused(Reason::Poisonous, left),
        Refusal::Apart => refused(Reason::Apart, FULL_RETRY),
    }
}

fn refused(reason: Reason, retry_after: Duration) -> Refused {
    Refused {
        reason,
        retry_after,
    }
}
