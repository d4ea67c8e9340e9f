//! Which sidecars an entry keeps a link to.
//!
//! A link costs heartbeats on both sides all the time. With a link from each of 340 entries to each
//! of 2,000 sidecars the heartbeats alone would be many times what a node may spend on control. So
//! beyond a bound an entry keeps links to a part of the sidecars only: those of its own data centre
//! first, then others, spread evenly over the fleet by rendezvous hashing. Any other sidecar is
//! dialled when it is needed.

use names::{
    DataCentre,
    Host, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Of the bound, the share that the own data centre may take, in tenths: the others need some too,
/// so that an answer can go on when the own data centre is lost.
const NEAR_TENTHS: usize = 7;

/// A sidecar that could be linked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its host.
    pub host: Host,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// Chooses at most `most` hosts. The choice depends only on the names, so that it changes little
/// when hosts come and go, and each sidecar gets about as many links as every other one.
pub fn choose(
    own: &Host,
    data_centre: &DataCentre,
    candidates: &[Candidate],
    most: usize,
) -> Vec<Host> {
    if candidates.len() <= most {
        return candidates
            .iter()
            .map(|candidate| candidate.host.clone())
            .collect();
    }
    let is_near = |candidate: &&Candidate| candidate.data_centre == *data_centre;
    let mut near: Vec<&Candidate> = candidates.iter().filter(is_near).collect();
    let mut far: Vec<&Candidate> = candidates.iter().filter(|one| !is_near(one)).collect();
    near.sort_by_key(|candidate| rank(own, &candidate.host));
    far.sort_by_key(|candidate| rank(own, &candidate.host));
    near.truncate((most * NEAR_TENTHS / 10).max(most.saturating_sub(far.len())));
    far.truncate(most - near.len());
    let chosen = near.into_iter().chain(far);
    chosen.map(|candidate| candidate.host.clone()).collect()
}

fn rank(own: &str, host: &str) -> u64 {
    xxh3_64(format!("{own}\n{host}").as_bytes())
}
