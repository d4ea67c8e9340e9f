//! The choice of a replica whose link is up.

use std::time::Duration;

use crate::{
    pool::{
        COME_BACK,
        Replica,
        Wish, //
    },
    state::State, //
};

/// Choices that are tried until one has a link that is up.
const TRIES: usize = 8;

impl State {
    /// Chooses a replica whose link is up, or says when to come back.
    pub(crate) fn replica(&self, wish: &Wish<'_>) -> Result<Replica, Duration> {
        let mut avoid = wish.avoid.to_vec();
        for _ in 0..TRIES {
            let server = self.pool.choose(&Wish {
                avoid: &avoid,
                ..*wish
            })?;
            let Some((peer, joined)) = self.fleet.beside(&server) else {
                // Its link closed a moment ago, and the pool has not been told yet.
                avoid.push(server);
                continue;
            };
            let sent = self.pool.send(&server, wish.prefix, peer.counter());
            return Ok(Replica {
                peer,
                joined,
                server,
                sent,
            });
        }
        Err(COME_BACK)
    }
}
