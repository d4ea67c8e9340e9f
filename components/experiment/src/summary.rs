//! Results of a simulation, as its callers saw them.

use std::time::Duration;

/// Outcomes of one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Requests; a retry counts as the same request.
    pub requests: u32,
    /// Complete answers in time.
    pub in_time: u32,
    /// Complete answers that were late.
    pub late: u32,
    /// Complete answers that were late, and whose engine was lost meanwhile.
    pub interrupted: u32,
    /// Requests that were refused and not retried any more.
    pub refused: u32,
}

/// Request outcomes of one simulation, and the prefill work that they took.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Requests; a retry counts as the same request.
    pub requests: u32,
    /// Complete answers whose first event and pauses were all within their targets.
    pub in_time: u32,
    /// Complete answers whose first event or a pause missed its target.
    pub late: u32,
    /// Requests that were refused and not retried any more.
    pub refused: u32,
    /// Requests that found no server, or whose deadline passed before the answer was complete.
    pub failed: u32,
    /// Prompt tokens that engines prefilled.
    pub prefilled: f64,
    /// Prefilled tokens that were wasted: lost with an engine, or spent on answers that were not
    /// delivered.
    pub wasted: f64,
    /// Streams interrupted by an engine loss, and how many of them were still in time.
    pub interrupted: (u32, u32),
    /// Duration in which requests arrive.
    pub duration: Duration,
    /// Requests and answers in time, by team.
    pub teams: Vec<(u32, u32)>,
    /// Requests and answers in time, by prompt length: up to the mean, and above it.
    pub sizes: [(u32, u32); 2],
    /// Outcomes by kind of request, if there are several.
    pub kinds: Vec<Outcomes>,
    /// Time from an engine loss to the stream's next event, in seconds.
    pub pauses: Vec<f64>,
}

impl Summary {
    /// Answers in time per second.
    pub fn goodput(&self) -> f64 {
        f64::from(self.in_time) / self.duration.as_secs_f64()
    }

    /// The lowest share of requests answered in time among all teams and prompt lengths, relative
    /// to the share over all requests. Groups with fewer than 20 requests are left out.
    pub fn lowest_share(&self) -> f64 {
        let all = share((self.requests, self.in_time));
        let groups = self.teams.iter().chain(&self.sizes);
        let shares = groups
            .filter(|(requests, _)| *requests >= 20)
            .map(|group| share(*group));
        let lowest = shares.fold(1.0, f64::min);
        if all > 0.0 { lowest / all } else { 0.0 }
    }

    /// Share of the prefilled tokens that was wasted.
    pub fn wasted_share(&self) -> f64 {
        self.wasted / self.prefilled.max(1.0)
    }
}

fn share((requests, in_time): (u32, u32)) -> f64 {
    f64::from(in_time) / f64::from(requests.max(1))
}
