//! Evidence merges in any order and any number of times, and never exceeds what happened.

use moves::{
    Level,
    Side,
    evidence::{
        Cause,
        Cells,
        Death,
        Evidence,
        Key,
        Pair,
        Source, //
    },
    sketch::{
        MAX_HASHES,
        Sketch, //
    }, //
};

fn entry(number: u64) -> Source {
    Source::Entry {
        host: format!("entry-{number}"),
        incarnation: number,
    }
}

fn key(slot: u16) -> Key {
    Key {
        slot,
        level: Level::ZERO.next(),
        route: "chat".into(),
    }
}

fn cells(requests: u32, failed: u32) -> Cells {
    let mut pair = Pair::default();
    pair.new.requests = requests;
    pair.new.failed = failed;
    for hash in 0..failed {
        pair.new.failures.add(hash);
    }
    [(key(0), pair)].into()
}

/// Guards against double counting: gossip repeats and reorders its messages, and one failure would
/// look like many.
#[test]
fn outdated_and_repeated_copies_change_nothing() {
    let steps = [cells(1, 0), cells(5, 1), cells(9, 2)];
    let mut in_order = Evidence::default();
    for step in &steps {
        in_order.merge_cells(&entry(1), step);
    }
    let mut reordered = Evidence::default();
    for index in [2, 0, 1, 2, 1, 0] {
        reordered.merge_cells(&entry(1), &steps[index]);
    }
    assert_eq!(in_order, reordered);
    assert_eq!(in_order.total(&"a".into()), steps[2]);
}

/// Two entries of a data centre send its sum, and one of them lacks counts of the other.
#[test]
fn sums_of_a_data_centre_are_never_counted_twice() {
    let centre = Source::Centre("b".into());
    let mut partial = Evidence::default();
    partial.merge_cells(&entry(1), &cells(5, 1));
    let mut whole = partial.clone();
    whole.merge_cells(&entry(2), &cells(7, 0));
    let mut here = Evidence::default();
    here.merge_cells(&centre, &whole.summary());
    here.merge_cells(&centre, &partial.summary());
    assert_eq!(here.total(&"a".into())[&key(0)].new.requests, 12);
    // Where the entries are known individually, their data centre's sum is left out.
    here.merge_cells(&entry(1), &cells(5, 1));
    here.merge_cells(&entry(2), &cells(7, 0));
    assert_eq!(here.total(&"b".into())[&key(0)].new.requests, 12);
    assert_eq!(here.total_of(&"b".into(), &key(0)).new.requests, 12);
}

/// Every entry with a request on the server reports its death, and one of them finds the cause
/// later.
#[test]
fn a_death_counts_once_and_keeps_its_cause() {
    let death = Death {
        server: "s".into(),
        incarnation: 7,
        side: Side::New,
        slot: 3,
        level: Level::FULL,
        cause: Cause::Unexplained,
    };
    let mut explained = death.clone();
    explained.cause = Cause::HostLoss;
    let mut evidence = Evidence::default();
    assert!(evidence.merge_death(&death));
    assert!(evidence.merge_death(&explained));
    assert!(!evidence.merge_death(&death));
    let causes: Vec<_> = evidence.deaths().map(|death| death.cause).collect();
    assert_eq!(causes, [Cause::HostLoss]);
}

#[test]
fn a_sketch_counts_distinct_requests_up_to_its_capacity() {
    let mut sketch = Sketch::default();
    for hash in [3, 3, 5, 3] {
        sketch.add(hash);
    }
    assert_eq!(sketch.distinct(4), 2);
    for hash in 0..100 {
        sketch.add(hash);
    }
    assert_eq!(sketch.distinct(104), 104);
    assert!(sketch.contains(MAX_HASHES as u32 - 1) && !sketch.contains(MAX_HASHES as u32));
}
