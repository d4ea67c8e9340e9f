//! Pace of one stream's events.

use names::Clock;

/// Number of times between events that make one observation.
const WINDOW: usize = 32;

/// Times between the events of a stream. Their median is hardly changed by a pause or by events
/// that arrive together.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    last: Option<Clock>,
    times: Vec<f64>,
}

impl Pace {
    /// Records events that arrived together. `alone` tells whether the server processes no prompt,
    /// which would delay them. Returns the median time between two events, in seconds, once enough
    /// are known.
    pub fn record(&mut self, now: Clock, events: u32, alone: bool) -> Option<f64> {
        let last = self.last.replace(now)?;
        if !alone || events == 0 {
            return None;
        }
        let time = now.saturating_sub(last).as_secs_f64() / f64::from(events);
        self.times.push(time);
        if self.times.len() < WINDOW {
            return None;
        }
        let (_, median, _) = self
            .times
            .select_nth_unstable_by(WINDOW / 2, f64::total_cmp);
        let median = *median;
        self.times.clear();
        Some(median)
    }
}
