//! News for all peers: crashes under requests, and limits on servers' request rates with the demand
//! by which gateways divide them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use contract::poison::evidence::Report;
use names::Service;
use spread::beacon::{
    Beacon,
    MAX_DATAGRAM_BYTES,
    Message,
    RateLimit, //
};
use tokio::time::Instant;

use crate::peers::Peers;

/// Bytes of a datagram that are reserved for the kind and length of a message.
const MESSAGE_OVERHEAD_BYTES: usize = 8;

/// Maximum number of limits on request rates in a message, so that it fits a datagram.
const MAX_RATE_LIMITS_PER_MESSAGE: usize = 64;

/// Shortest interval between two reports of the demand.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest such interval for each peer: in a large fleet the interval grows instead of the traffic.
const DEMAND_INTERVAL_PER_PEER: Duration = Duration::from_millis(10);

impl Peers {
    /// Applies news from a peer; does nothing with any other message.
    pub(super) fn apply_news(&self, message: Message) {
        match message {
            Message::Crashes(reports) => self.shared.suspects.apply(&reports),
            Message::RateLimits(limits) => {
                self.shared.fleet.borrow_mut().apply_rate_limits(&limits);
            }
            Message::Demand(demand) => {
                let services = self.shared.fleet.borrow().rate_limited_services();
                let gateways = self.table.rank().1;
                let demands = &self.shared.demands;
                demands.apply_report(&demand, gateways, !services.is_empty());
                self.update_shares(&services);
            }
            _ => {}
        }
    }

    /// Sends all that is known to a peer that is new or was silent, once it knows this gateway: it
    /// ignores messages from an address that it has no beacon of.
    pub(super) fn inform(&mut self, peer: SocketAddr, beacon: &Beacon) {
        let is_known = beacon
            .echo
            .is_some_and(|echo| echo.incarnation == self.incarnation);
        if is_known && self.informed.insert(beacon.incarnation) {
            self.send_reports(&self.shared.suspects.all_reports(), &[peer]);
            let limits = self.shared.fleet.borrow().all_rate_limits();
            self.send_limits(&limits, &[peer]);
            self.inform_of_speeds(peer);
        }
    }

    /// Sends the demand at this gateway to all peers while servers limit their request rates or a
    /// plain service is over capacity here or at a peer, and updates its part of the limits.
    pub(super) fn report_demand(&mut self) {
        let now = Instant::now();
        let interval = DEMAND_INTERVAL_PER_PEER * self.table.count() as u32;
        let interval = interval.max(MIN_DEMAND_INTERVAL);
        let demands = &self.shared.demands;
        let is_over = demands.overloads.any();
        // Peers are told at once that an overload has begun.
        let is_due = |sent| now.duration_since(sent) >= interval || is_over && !self.told_overload;
        if !self.demand_sent.is_none_or(is_due) {
            return;
        }
        let services = self.shared.fleet.borrow().rate_limited_services();
        if services.is_empty() && !demands.overloads.any_told() {
            self.told_overload = false;
            return;
        }
        self.demand_sent = Some(now);
        self.told_overload = is_over;
        let message = Message::Demand(demands.report(self.incarnation));
        self.broadcast(&message);
        self.update_shares(&services);
    }

    /// Updates the part of this gateway in the limits on the request rates for services.
    fn update_shares(&self, services: &[Service]) {
        let mut fleet = self.shared.fleet.borrow_mut();
        for service in services {
            let share = self.shared.demands.share(service, self.table.rank().1);
            fleet.set_demand_share(service, share);
        }
    }

    /// Sends the news about limits on servers' request rates to all peers.
    pub(super) fn send_rate_limits(&self, is_new: bool) {
        let limits = self.shared.fleet.borrow().due_rate_limits(is_new);
        if !limits.is_empty() {
            self.send_limits(&limits, &self.table.peers());
        }
    }

    /// Sends limits on servers' request rates, in as many datagrams as needed.
    fn send_limits(&self, limits: &[RateLimit], targets: &[SocketAddr]) {
        for limits in limits.chunks(MAX_RATE_LIMITS_PER_MESSAGE) {
            let message = Message::RateLimits(limits.to_vec());
            for target in targets {
                self.send_to(&message, *target);
            }
        }
    }

    /// Sends reports on crashes, in as many datagrams as needed.
    fn send_reports(&self, reports: &[Report], targets: &[SocketAddr]) {
        for reports in chunks_by_size(reports) {
            let message = Message::Crashes(reports);
            for target in targets {
                self.send_to(&message, *target);
            }
        }
    }

    /// Sends the messages about permits that are due.
    pub(super) fn send_trials(&self) {
        let trials = &self.shared.suspects.trials;
        if !trials.has_news() {
            return;
        }
        let live: Vec<_> = self.table.live().collect();
        let peers: Vec<_> = live.iter().map(|(peer, _)| *peer).collect();
        for (arbiter, trial) in trials.due(&peers) {
            let address = live.iter().find(|(peer, _)| *peer == arbiter);
            if let Some((_, address)) = address {
                self.send_to(&Message::Trial(trial), *address);
            }
        }
    }

    /// Sends this gateway's own recent reports on crashes to all peers.
    pub(super) fn send_crash_reports(&self, is_new: bool) {
        let reports = self.shared.suspects.due_reports(is_new);
        if !reports.is_empty() {
            self.send_reports(&reports, &self.table.peers());
        }
    }
}

/// Splits reports so that each chunk fits a datagram.
fn chunks_by_size(reports: &[Report]) -> Vec<Vec<Report>> {
    let mut chunks: Vec<Vec<Report>> = Vec::new();
    let mut room = 0;
    for report in reports {
        let size = postcard::to_stdvec(report).map_or(0, |bytes| bytes.len());
        match chunks.last_mut() {
            Some(chunk) if size <= room => {
                chunk.push(report.clone());
                room -= size;
            }
            _ => {
                chunks.push(vec![report.clone()]);
                room = (MAX_DATAGRAM_BYTES - MESSAGE_OVERHEAD_BYTES).saturating_sub(size);
            }
        }
    }
    chunks
}
