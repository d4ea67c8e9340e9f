//! Tests of the choice of holders and of the holders' table.

use std::time::Duration;

use answer::pointer::{
    Candidate,
    Pointer,
    Settings,
    Table,
    holders, //
};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn candidates(data_centres: u32, per_data_centre: u32) -> Vec<Candidate> {
    let mut all = Vec::new();
    for data_centre in 0..data_centres {
        for server in 0..per_data_centre {
            all.push(Candidate {
                host: format!("s{data_centre}-{server}"),
                data_centre: format!("dc{data_centre}"),
            });
        }
    }
    all
}

fn pointer(epoch: u32, nonce: u64) -> Pointer {
    Pointer {
        host: format!("host-of-{nonce}"),
        server: format!("server-of-{nonce}"),
        version: "v1".into(),
        epoch,
        nonce,
    }
}

/// Guards against the loss of both holders with one data centre: every retry through another entry
/// would then restart its answer.
#[test]
fn holders_are_in_two_data_centres() {
    let all = candidates(3, 4);
    for request in 0..500 {
        let both = holders(&format!("team/{request}"), &all);
        assert_eq!(both.len(), 2);
        assert_ne!(both[0].data_centre, both[1].data_centre);
    }
}

#[rstest]
#[case::no_candidate(0, 0, 0)]
#[case::one_sidecar(1, 1, 1)]
#[case::one_data_centre(1, 3, 2)]
fn few_candidates_still_yield_holders(
    #[case] data_centres: u32,
    #[case] per_data_centre: u32,
    #[case] expected: usize,
) {
    assert_eq!(
        holders("r", &candidates(data_centres, per_data_centre)).len(),
        expected
    );
}

/// Guards against pointers that move when another host leaves: all running answers would lose
/// theirs at once.
#[test]
fn a_host_that_leaves_moves_only_its_own_pointers() {
    let all = candidates(3, 4);
    let fewer: Vec<Candidate> = all[1..].to_vec();
    for request in 0..500 {
        let request = format!("team/{request}");
        let before = holders(&request, &all);
        if before.contains(&&all[0]) {
            continue;
        }
        assert_eq!(holders(&request, &fewer), before);
    }
}

#[test]
fn pointers_are_distributed_over_the_sidecars() {
    let all = candidates(3, 4);
    let mut first = vec![0; all.len()];
    for request in 0..12_000 {
        let both = holders(&format!("team/{request}"), &all);
        let index = all
            .iter()
            .position(|one| one == both[0])
            .expect("is listed");
        first[index] += 1;
    }
    assert!(
        first.iter().all(|share| (800..1200).contains(share)),
        "{first:?}"
    );
}

/// Guards against a delayed put of the first epoch that arrives after the second epoch's: a retry
/// would attach to a cancelled run.
#[test]
fn a_late_put_of_an_older_epoch_is_dropped() {
    let mut table = Table::new(Settings::default());
    table.put(SECOND, "r".into(), pointer(2, 20));
    table.put(SECOND * 2, "r".into(), pointer(1, 10));
    assert_eq!(table.get(SECOND * 2, "r"), Some(&pointer(2, 20)));
}

#[test]
fn removing_a_replaced_run_keeps_its_successor() {
    let mut table = Table::new(Settings::default());
    table.put(SECOND, "r".into(), pointer(2, 20));
    table.remove("r", 10);
    assert_eq!(table.len(), 1);
    table.remove("r", 20);
    assert!(table.is_empty());
}

#[test]
fn pointers_expire_after_their_last_put() {
    let settings = Settings {
        max_pointers: 10,
        ttl: SECOND * 10,
    };
    let mut table = Table::new(settings);
    table.put(SECOND, "old".into(), pointer(1, 1));
    table.put(SECOND, "renewed".into(), pointer(1, 2));
    table.put(SECOND * 8, "renewed".into(), pointer(1, 2));
    assert_eq!(table.get(SECOND * 11, "old"), None);
    assert_eq!(table.get(SECOND * 11, "renewed"), Some(&pointer(1, 2)));
    assert_eq!(table.get(SECOND * 18, "renewed"), None);
    assert!(table.is_empty());
}

/// Guards against a table that grows without bound when many answers run at once.
#[test]
fn a_full_table_evicts_the_oldest() {
    let settings = Settings {
        max_pointers: 3,
        ttl: SECOND * 10,
    };
    let mut table = Table::new(settings);
    for nonce in 0..50 {
        table.put(
            SECOND,
            format!("r{}", nonce % 5),
            pointer(nonce as u32, nonce),
        );
        assert!(table.len() <= 3);
    }
    assert_eq!(table.get(SECOND, "r4"), Some(&pointer(49, 49)));
    assert_eq!(table.get(SECOND, "r1"), None);
}
