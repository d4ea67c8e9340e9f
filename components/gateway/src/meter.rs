//! Metrics of the data path. Names, units and labels are listed in docs/operators/metrics.md.
//! Labels take few values, whatever callers send.

use std::time::Duration;

use metrics::{
    counter,
    gauge,
    histogram, //
};
use names::Service;

use crate::requests::{
    Closer,
    Work, //
};

/// Counts a finished request by outcome, and records its duration.
pub fn outcome(outcome: &'static str, time: Duration) {
    counter!("medlarhatch_requests_total", "outcome" => outcome).increment(1);
    histogram!("medlarhatch_request_seconds", "outcome" => outcome).record(time);
}

/// Counts an answer that a caller didn't get whole, by who ended it and what its server did.
pub fn answer_cut(closer: Closer, work: Work) {
    counter!("medlarhatch_answers_cut_total", "by" => closer.name(), "work" => work.name())
        .increment(1);
}

/// Counts a request that the gateway rejected.
pub fn refused(reason: &'static str) {
    counter!("medlarhatch_refusals_total", "reason" => reason).increment(1);
}

/// Records how long a stream waited for an engine, by the place of its rank in its service.
pub fn waited(place: u8, time: Duration) {
    histogram!("medlarhatch_wait_seconds", "place" => label(place)).record(time);
}

/// Counts a stream that was refused, as more waited than can be served.
pub fn overloaded(place: u8) {
    counter!("medlarhatch_overloaded_total", "place" => label(place)).increment(1);
}

/// Returns the label of a place.
fn label(place: u8) -> &'static str {
    const PLACES: [&str; 10] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];
    PLACES.get(usize::from(place)).copied().unwrap_or("more")
}

/// Counts a send to a backend server by its result.
pub fn send(ending: &'static str) {
    counter!("medlarhatch_sends_total", "ending" => ending).increment(1);
}

/// Counts a lost run by reason.
pub fn loss(reason: &'static str) {
    counter!("medlarhatch_losses_total", "reason" => reason).increment(1);
}

/// Counts a retry by whether the budget of its service granted it.
pub fn retry(service: &Service, result: &'static str) {
    let service = service.to_string();
    counter!("medlarhatch_retries_total", "service" => service, "result" => result).increment(1);
}

/// Sets how many retries of a service are left over all processes, by what this one knows.
pub fn retries_left(service: &Service, left: f64) {
    gauge!("medlarhatch_retries_left", "service" => service.to_string()).set(left);
}

/// Counts a send beyond the first one of a request by its reason.
pub fn repeat(service: &Service, reason: &'static str) {
    let service = service.to_string();
    counter!("medlarhatch_repeats_total", "service" => service, "reason" => reason).increment(1);
}

/// Counts a connection that was closed as its server sent too much, by the exceeded bound.
pub fn excess(bound: &'static str) {
    counter!("medlarhatch_excesses_total", "bound" => bound).increment(1);
}

/// Counts a connection of a caller that yielded, by what it did and what the process lacked.
pub fn connection_yielded(stage: &'static str, need: &'static str) {
    counter!("medlarhatch_connections_yielded_total", "stage" => stage, "need" => need)
        .increment(1);
}

/// Counts a connection that was closed at once, as the process had no room for it.
pub fn connection_refused() {
    counter!("medlarhatch_connections_refused_total").increment(1);
}

/// Counts a request that was held back, as its caller hadn't read the refusal of the one ahead of it.
pub fn request_held_back() {
    counter!("medlarhatch_requests_held_back_total").increment(1);
}

/// Counts a server that began to leave, or to want no requests, by what it said.
pub fn server_notice(notice: &'static str) {
    counter!("medlarhatch_server_notices_total", "notice" => notice).increment(1);
}

/// Counts a server that crashed before a run survived its start.
pub fn server_crash() {
    counter!("medlarhatch_server_crashes_total").increment(1);
}

/// Counts a server that stopped answering before a run survived its start.
pub fn server_silence() {
    counter!("medlarhatch_server_silences_total").increment(1);
}

/// Counts a stream that was resumed, and records the caller's wait for the next event.
pub fn resumed(from: &'static str, gap: Duration) {
    counter!("medlarhatch_resumes_total", "from" => from).increment(1);
    histogram!("medlarhatch_resume_seconds").record(gap);
}

/// Records the time from a request to the first event of its stream.
pub fn first_event(time: Duration) {
    histogram!("medlarhatch_first_event_seconds").record(time);
}

/// Records the longest time between two events of a stream.
pub fn event_gap(time: Duration) {
    histogram!("medlarhatch_event_gap_seconds").record(time);
}

/// Sets the bound of a plain service that is over capacity.
pub fn overload_bound(service: &Service, bound: f64) {
    gauge!("medlarhatch_overload_bound", "service" => service.to_string()).set(bound);
}

/// Counts a decision on a request of a plain service that is over capacity.
pub fn overload_decision(decision: &'static str, service: &Service, rank: u8) {
    let service = service.to_string();
    let rank = rank.to_string();
    counter!(
        "medlarhatch_overload_requests_total",
        "decision" => decision, "service" => service, "rank" => rank
    )
    .increment(1);
}

/// Sets the numbers of servers that are slower and faster than the others of their service.
pub fn unusual_speeds(slower: usize, faster: usize) {
    gauge!("medlarhatch_servers_unusual", "speed" => "slower").set(slower as f64);
    gauge!("medlarhatch_servers_unusual", "speed" => "faster").set(faster as f64);
}

/// Values of the gauges.
pub struct Gauges {
    /// Open connections of callers.
    pub connections: usize,
    /// Bytes that callers make the process hold.
    pub held_bytes: usize,
    /// Bytes of the bodies of requests that the process holds.
    pub body_bytes: usize,
    /// Requests in progress.
    pub running: usize,
    /// Requests in progress by the name of their stage.
    pub by_stage: [(&'static str, usize); 5],
    /// Version of the current document.
    pub document: u64,
    /// Time since the document was last confirmed.
    pub age: Option<Duration>,
}

impl Gauges {
    /// Sets the gauges.
    pub fn set(&self) {
        gauge!("medlarhatch_connections").set(self.connections as f64);
        gauge!("medlarhatch_held_bytes").set(self.held_bytes as f64);
        gauge!("medlarhatch_body_bytes").set(self.body_bytes as f64);
        gauge!("medlarhatch_running").set(self.running as f64);
        for (stage, count) in self.by_stage {
            gauge!("medlarhatch_requests_in_progress", "stage" => stage).set(count as f64);
        }
        gauge!("medlarhatch_document_version").set(self.document as f64);
        let age = self.age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        gauge!("medlarhatch_document_age_seconds").set(age);
    }
}
