//! Selection of the sidecars that an entry keeps a link to.
//!
//! Each link costs periodic heartbeats on both sides. With a link from each of 340 entries to each
//! of 2,000 sidecars, the heartbeats alone would cost many times the control budget of a node.
//! Above a limit, an entry therefore links to a subset of the sidecars: first those of its own data
//! centre, then others, spread evenly over the fleet by rendezvous hashing. It dials any other
//! sidecar on demand.

use names::{
    DataCentre,
    Host, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum share, in tenths, of the links that go to the local data centre. The remaining links let
/// a response continue when the local data centre is lost.
const LOCAL_SHARE_TENTHS: usize = 7;

/// A sidecar that an entry can link to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Host of the sidecar.
    pub host: Host,
    /// Data centre of the sidecar.
    pub data_centre: DataCentre,
}

/// Chooses at most `max_links` hosts for the entry `own` in `data_centre`. The choice depends only
/// on the names, so that it changes little when hosts join or leave, and each sidecar gets about
/// the same number of links.
pub fn choose(
    own: &Host,
    data_centre: &DataCentre,
    candidates: &[Candidate],
    max_links: usize,
) -> Vec<Host> {
    if candidates.len() <= max_links {
        return candidates
            .iter()
            .map(|candidate| candidate.host.clone())
            .collect();
    }
    let is_local = |candidate: &&Candidate| candidate.data_centre == *data_centre;
    let mut local: Vec<&Candidate> = candidates.iter().filter(is_local).collect();
    let mut remote: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| !is_local(candidate))
        .collect();
    local.sort_by_key(|candidate| score(own, &candidate.host));
    remote.sort_by_key(|candidate| score(own, &candidate.host));
    local.truncate(
        (max_links * LOCAL_SHARE_TENTHS / 10).max(max_links.saturating_sub(remote.len())),
    );
    remote.truncate(max_links - local.len());
    let chosen = local.into_iter().chain(remote);
    chosen.map(|candidate| candidate.host.clone()).collect()
}

fn score(own: &str, host: &str) -> u64 {
    xxh3_64(format!("{own}\n{host}").as_bytes())
}
