//! Selection of the links of an entry: their number, preference for the local data centre, balance
//! over the fleet and stability under changes.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use routing::subset::{
    Candidate,
    choose, //
};

const DATA_CENTRES: usize = 20;
const MAX_LINKS: usize = 128;

fn fleet(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            host: format!("sidecar-{number}"),
            data_centre: format!("dc{}", number % DATA_CENTRES),
        })
        .collect()
}

#[test]
fn links_to_all_sidecars_of_a_small_fleet() {
    let fleet = fleet(28);
    assert_eq!(
        choose(&"entry".into(), &"dc0".into(), &fleet, MAX_LINKS).len(),
        28
    );
}

#[test]
fn prefers_the_local_data_centre_within_the_link_limit() {
    let fleet = fleet(2000);
    let chosen = choose(&"entry".into(), &"dc0".into(), &fleet, MAX_LINKS);
    assert_eq!(chosen.len(), MAX_LINKS);
    let chosen: BTreeSet<_> = chosen.into_iter().collect();
    let local = fleet
        .iter()
        .filter(|candidate| candidate.data_centre == "dc0" && chosen.contains(&candidate.host))
        .count();
    assert_eq!(local, MAX_LINKS * 7 / 10);
}

/// Guards against an uneven distribution of links: some sidecars would have so many that heartbeats
/// use up their budget, while others had none and stayed idle.
#[test]
fn distributes_links_evenly_over_the_sidecars() {
    let fleet = fleet(2000);
    let mut links: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..340 {
        let entry = format!("entry-{number}");
        let data_centre = format!("dc{}", number % DATA_CENTRES);
        for host in choose(&entry, &data_centre, &fleet, MAX_LINKS) {
            *links.entry(host).or_default() += 1;
        }
    }
    assert_eq!(links.len(), fleet.len());
    let highest = links.values().max().copied().unwrap_or_default();
    let lowest = links.values().min().copied().unwrap_or_default();
    assert!(highest <= 3 * lowest, "{lowest} to {highest}");
}

/// Guards against a change of one host that moves many links: each of 32 failures a day would cause
/// a storm of handshakes.
#[test]
fn removing_one_host_moves_one_link() {
    let fleet = fleet(2000);
    let before: BTreeSet<_> = choose(&"entry".into(), &"dc0".into(), &fleet, MAX_LINKS)
        .into_iter()
        .collect();
    for removed in before.iter().take(10) {
        let rest: Vec<_> = fleet
            .iter()
            .filter(|candidate| candidate.host != *removed)
            .cloned()
            .collect();
        let after: BTreeSet<_> = choose(&"entry".into(), &"dc0".into(), &rest, MAX_LINKS)
            .into_iter()
            .collect();
        assert_eq!(after.difference(&before).count(), 1);
    }
}
