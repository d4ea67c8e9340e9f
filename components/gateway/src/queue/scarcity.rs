//! Order of the streams of a service that differ in rank or objective.

use std::time::Duration;

use admission::scarcity::{
    Class,
    Room,
    Scarcity,
    Standing, //
};
use environment::index::Urgencies;
use names::Clock;
use routing::placement::Work;

use super::Size;

/// Urgency of the last rank, in the terms of [`crate::protocol::Dispatch::urgency`].
const MAX_URGENCY: u8 = 9;

/// Returns the place of a stream, or `None` where all streams of its service are alike.
pub fn standing(urgencies: Option<&Urgencies>, rank: u8) -> Option<Standing> {
    let urgencies = urgencies.filter(|urgencies| urgencies.differ())?;
    Some(Standing {
        rank,
        is_first: urgencies.has_after(rank),
        place: u8::try_from(urgencies.place(rank)).unwrap_or(u8::MAX),
        shortest_objective: urgencies.shortest_objective()?,
    })
}

/// Returns the urgency that engines are told; 0 goes first.
pub fn urgency(standing: &Standing) -> u8 {
    standing.place.min(MAX_URGENCY)
}

/// State of a service whose streams differ.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ranked {
    scarcity: Scarcity,
    /// Sizes of the streams of every rank but the last, and of the last.
    sizes: [Option<Size>; 2],
}

impl Ranked {
    /// Records the arrival of a stream, and returns the time reserved for its engine.
    pub(super) fn arrive(
        &mut self,
        now: Clock,
        standing: &Standing,
        work: Work,
        objective: Duration,
    ) -> Duration {
        self.scarcity.arrive(now, standing, objective);
        let size = &mut self.sizes[usize::from(!standing.is_first)];
        let size = size.get_or_insert_with(|| Size::new(work, standing.promised()));
        size.update(work);
        let relative = work.prefill_tokens as f64 / size.prefill_tokens.max(1.0);
        standing.engine_time(relative, objective)
    }

    /// Returns the room of this process, one of `processes`. `room` returns the engines' room for
    /// work within a time; `draw` is a random number from 0 to 1.
    pub fn room(
        &self,
        now: Clock,
        processes: u32,
        room: impl Fn(Work, Duration) -> u32,
        draw: f64,
    ) -> Room {
        let [first, others] = self.sizes;
        let class_room = |class: Class, within: Duration| {
            let size = match class {
                Class::First => first.or(others),
                Class::Others => others.or(first),
            };
            size.map_or(0, |size| room(size.work(), within))
        };
        self.scarcity.room(now, processes, class_room, draw)
    }

    /// Returns whether there is less than one place for each of the processes, whatever the time
    /// until prompts are processed. `room` returns the engines' room for work without a bound on
    /// that time.
    pub fn is_memory_full(&self, processes: u32, room: impl Fn(Work) -> u32) -> bool {
        let [first, others] = self.sizes;
        others
            .or(first)
            .is_none_or(|size| room(size.work()) < processes)
    }
}
