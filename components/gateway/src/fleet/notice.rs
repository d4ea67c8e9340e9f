//! What servers say of themselves in their answers.

use std::time::Duration;

use events::{
    forwarding,
    note, //
};
use names::{
    Clock,
    Server,
    Service, //
};
use routing::placement::Said;

use crate::{
    clock,
    fleet::{
        Fleet,
        Target, //
    },
    meter, //
};

impl Fleet {
    /// Records what a server said in an answer to a request that was sent at `sent_at`.
    pub fn record_said(&mut self, target: &Target, said: Said, sent_at: Clock) {
        let server = &target.server;
        let current = self.incarnation(server);
        let is_known = current != 0 && target.incarnation != 0;
        if is_known && current != target.incarnation {
            // The answer is of an earlier run.
            return;
        }
        let now = clock::now();
        let news = self
            .placement
            .record_said(now, sent_at, server, said, &mut self.rng);
        if news.leaving {
            meter::server_notice("leaving");
            note!(forwarding::SERVER_LEAVES, server = server.as_str());
        }
        if news.backoff {
            meter::server_notice("backoff");
            let time = said.backoff.unwrap_or_default();
            note!(
                forwarding::SERVER_BACKS_OFF,
                server = server.as_str(),
                ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
            );
        }
    }

    /// Returns whether a server wants requests from this process now.
    pub fn wants_requests(&self, server: &Server) -> bool {
        self.placement.wants_requests(clock::now(), server)
    }

    /// Returns when a caller should return if all servers of a service want no requests now.
    pub fn backoff_retry_after(&mut self, service: &Service) -> Option<Duration> {
        let now = clock::now();
        self.placement.backing_off_until(now, service)?;
        Some(self.placement.retry_after(now, service, &mut self.rng))
    }
}
