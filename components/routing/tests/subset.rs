//! The links of an entry: bounded, near first, even over the fleet, steady under change.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use routing::subset::{
    Candidate,
    choose, //
};

const DATA_CENTRES: usize = 20;
const MOST: usize = 128;

fn fleet(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            host: format!("sidecar-{number}"),
            data_centre: format!("dc{}", number % DATA_CENTRES),
        })
        .collect()
}

#[test]
fn a_small_fleet_is_linked_whole() {
    let fleet = fleet(28);
    assert_eq!(
        choose(&"entry".into(), &"dc0".into(), &fleet, MOST).len(),
        28
    );
}

#[test]
fn a_large_fleet_is_linked_up_to_the_bound_with_the_own_data_centre_first() {
    let fleet = fleet(2000);
    let chosen = choose(&"entry".into(), &"dc0".into(), &fleet, MOST);
    assert_eq!(chosen.len(), MOST);
    let chosen: BTreeSet<_> = chosen.into_iter().collect();
    let near = fleet
        .iter()
        .filter(|one| one.data_centre == "dc0" && chosen.contains(&one.host))
        .count();
    assert_eq!(near, MOST * 7 / 10);
}

/// Without an even spread some sidecars would have so many links that heartbeats eat their budget,
/// and a few would have none and stand idle.
#[test]
fn every_sidecar_is_linked_about_as_often_as_every_other() {
    let fleet = fleet(2000);
    let mut links: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..340 {
        let entry = format!("entry-{number}");
        let data_centre = format!("dc{}", number % DATA_CENTRES);
        for host in choose(&entry, &data_centre, &fleet, MOST) {
            *links.entry(host).or_default() += 1;
        }
    }
    assert_eq!(links.len(), fleet.len());
    let most = links.values().max().copied().unwrap_or_default();
    let least = links.values().min().copied().unwrap_or_default();
    assert!(most <= 3 * least, "{least} to {most}");
}

/// A host fails and another comes. If that moved many links, each of 32 failures a day would make
/// a storm of handshakes.
#[test]
fn one_host_that_goes_moves_one_link() {
    let fleet = fleet(2000);
    let before: BTreeSet<_> = choose(&"entry".into(), &"dc0".into(), &fleet, MOST)
        .into_iter()
        .collect();
    for gone in before.iter().take(10) {
        let rest: Vec<_> = fleet
            .iter()
            .filter(|one| one.host != *gone)
            .cloned()
            .collect();
        let after: BTreeSet<_> = choose(&"entry".into(), &"dc0".into(), &rest, MOST)
            .into_iter()
            .collect();
        assert_eq!(after.difference(&before).count(), 1);
    }
}
