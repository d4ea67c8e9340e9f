//! Chooses a replica whose link is up.

use std::time::Duration;

use crate::{
    pool::{
        Criteria,
        MIN_RETRY_AFTER,
        Replica, //
    },
    state::State, //
};

/// Maximum number of choices until one has a link that is up.
const MAX_CHOICES: usize = 8;

impl State {
    /// Chooses a replica whose link is up.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry when there is no such replica.
    pub(crate) fn choose_replica(&self, criteria: &Criteria<'_>) -> Result<Replica, Duration> {
        let mut avoid = criteria.avoid.to_vec();
        for _ in 0..MAX_CHOICES {
            let server = self.pool.choose(&Criteria {
                avoid: &avoid,
                ..*criteria
            })?;
            let Some((peer, connection)) = self.fleet.peer_of(&server) else {
                // The link has just closed, and the pool is not updated yet.
                avoid.push(server);
                continue;
            };
            let dispatch = self
                .pool
                .start(&server, criteria.prefix, peer.work_counter());
            return Ok(Replica {
                peer,
                connection,
                server,
                dispatch,
            });
        }
        Err(MIN_RETRY_AFTER)
    }
}
