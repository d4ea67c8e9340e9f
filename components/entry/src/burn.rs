//! Counting answers for the report on service-level burn.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
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

use crate::{
    answers::Ask,
    state::State, //
};

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

    /// The answer ended with `count` tokens.
    pub(crate) fn ended(&self, state: &Arc<State>, ask: &Ask, whole: bool, count: usize) {
        let between = self.first.filter(|_| count > 1).map(|(_, at)| {
            let gaps = u32::try_from(count - 1).unwrap_or(u32::MAX);
            at.elapsed() / gaps
        });
        let request = Request {
            service: &ask.target.service,
            route: &ask.target.route,
            team: &ask.team,
            version: &ask.target.version,
            first: self.first.map(|(first, _)| first),
            between,
            whole,
        };
        let mut ledger = state.book.0.lock().expect("no panic while held");
        ledger.count(&request, state.now());
    }
}
