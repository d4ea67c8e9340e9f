//! Counting answers for the report on service-level burn.

use std::{
    sync::Mutex,
    time::Duration, //
};

use environment::Document;
use names::Clock;
use report::{
    Burn,
    Ledger,
    burn::{
        Level,
        Request, //
    }, //
};
use tokio::time::Instant;
/// Counters of this entry.
#[derive(Default)]
pub(crate) struct Book(Mutex<Ledger>);

impl Book {
    /// Takes the levels of a document.
    pub(crate) fn set_levels(&self, document: &Document) {
        let levels = document.levels.iter().map(|level| {
            let measured = Level {
                first: level.first,
                between: level.between,
                objective: level.objective,
            };
            (level.service.clone(), measured)
        });
        let mut ledger = self.0.lock().expect("no panic while held");
        ledger.set_levels(levels.collect());
    }

    /// Counts a request.
    pub(crate) fn count(&self, request: &Request<'_>, now: Clock) {
        self.0
            .lock()
            .expect("no panic while held")
            .count(request, now);
    }

    /// The report as of now.
    pub(crate) fn report(&self, now: Clock) -> Burn {
        self.0.lock().expect("no panic while held").report(now)
    }
}

/// Times of one answer.
#[derive(Default)]
pub(crate) struct Meter {
    first: Option<(Duration, Instant)>,
}

impl Meter {
    /// Tokens came.
    pub(crate) fn tokens(&mut self, begun: Instant) {
        if self.first.is_none() {
            self.first = Some((begun.elapsed(), Instant::now()));
        }
    }

    /// Time until the first token, and mean time between tokens, of an answer that ends now with
    /// `count` tokens.
    pub(crate) fn times(&self, count: usize) -> (Option<Duration>, Option<Duration>) {
        let between = self.first.filter(|_| count > 1).map(|(_, at)| {
            let gaps = u32::try_from(count - 1).unwrap_or(u32::MAX);
            at.elapsed() / gaps
        });
        (self.first.map(|(first, _)| first), between)
    }
}
