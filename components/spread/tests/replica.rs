//! Several boards joined in memory: outages, silent watches, deaths, cuts, pauses, restarts.

use std::time::Duration;

use rstest::rstest;
use spread::{
    Event,
    Fact,
    Key,
    Message, //
};

use common::mesh::{
    Fault,
    Mesh, //
};

mod common {
    pub mod mesh;
}

const SECOND: Duration = Duration::from_secs(1);

/// Time within which an accepted document must be in force everywhere.
const BOUND: Duration = Duration::from_secs(15);

fn weigh(_: &Message) -> usize {
    1
}

/// Hosts that all hold revision 1.
fn settled(data_centres: usize, each: usize, seed: u64) -> Mesh {
    let mut mesh = Mesh::new(data_centres, each, seed, weigh);
    mesh.write(1, "a: 1\nb: 1\nc: 1\n");
    mesh.start_all();
    let ready = mesh.until(BOUND, |mesh| mesh.all_ready() && mesh.everywhere(1));
    assert!(ready.is_some(), "all hosts become ready with the store");
    mesh.run(5 * SECOND);
    mesh
}

#[rstest]
fn a_document_is_in_force_everywhere_within_a_second(#[values(1, 2, 3)] seed: u64) {
    let mut mesh = settled(3, 4, seed);
    assert_eq!(mesh.watching(), 6, "two readers a data centre");
    mesh.write(2, "a: 1\nb: 2\nc: 1\n");
    let took = mesh.until(BOUND, |mesh| mesh.everywhere(2));
    assert!(took.is_some_and(|took| took < SECOND), "{took:?}");
    for node in mesh.nodes.values() {
        let edition = node
            .board
            .as_ref()
            .and_then(|board| board.document("production"));
        assert_eq!(edition.map(|e| e.text.as_str()), Some("a: 1\nb: 2\nc: 1\n"));
    }
}

#[rstest]
fn a_document_is_in_force_although_a_third_of_the_messages_is_lost(
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut mesh = settled(3, 4, seed);
    mesh.loss = 0.3;
    mesh.write(2, "a: 2\n");
    let took = mesh.until(BOUND, |mesh| mesh.everywhere(2));
    assert!(took.is_some(), "some host never got the document");
}

// Something between the readers and the store lost track of every connection that waits. Nobody
// hears of a new document, although the store is well.
#[rstest]
fn silent_watches_delay_a_document_but_do_not_hide_it(#[values(1, 2, 3)] seed: u64) {
    let mut mesh = settled(2, 4, seed);
    mesh.fault(Fault::SilentWatches);
    mesh.write(2, "a: 2\n");
    let took = mesh.until(BOUND, |mesh| mesh.everywhere(2));
    assert!(took.is_some(), "no watch was begun anew");
}

// Both readers of each data centre die, their watches with them, and a document is written.
#[rstest]
fn other_entries_take_over_from_dead_readers(#[values(1, 2, 3)] seed: u64) {
    let mut mesh = settled(2, 4, seed);
    for host in mesh.hosts() {
        let now = mesh.now;
        let reads = mesh.nodes[&host]
            .board
            .as_ref()
            .is_some_and(|board| board.is_reader(now));
        if reads {
            mesh.kill(&host);
        }
    }
    assert_eq!(mesh.watching(), 0);
    mesh.write(2, "a: 2\n");
    let took = mesh.until(BOUND, |mesh| mesh.everywhere(2));
    assert!(took.is_some(), "nobody watches any more");
}

// The readers' own way to the store is broken, while other entries of the data centre reach it.
#[test]
fn entries_that_reach_the_store_take_over_from_those_that_do_not() {
    let mut mesh = settled(1, 5, 1);
    let now = mesh.now;
    let readers = mesh.nodes["dc0-0"]
        .board
        .as_ref()
        .map(|board| board.readers(now));
    mesh.storeless = readers.expect("the host is up").into_iter().collect();
    mesh.run(20 * SECOND);
    mesh.write(2, "a: 2\n");
    let took = mesh.until(BOUND, |mesh| mesh.everywhere(2));
    assert!(took.is_some_and(|took| took < SECOND), "{took:?}");
}

// A data centre loses its links to the others and to the store for an hour, in which documents are
// written and a version is vetoed. Once it is joined again it must not serve by the old ones.
#[rstest]
fn a_data_centre_that_was_cut_off_catches_up(#[values(1, 2)] seed: u64) {
    let mut mesh = settled(3, 3, seed);
    mesh.cut.insert("dc1".into());
    mesh.storeless.insert("dc1".into());
    mesh.run(60 * SECOND);
    mesh.write(2, "a: 2\n");
    mesh.write(3, "a: 3\n");
    let veto = Key::Veto("production".into(), "m".into());
    let fact = Fact {
        weight: 1,
        until: None,
        body: b"fails".to_vec(),
    };
    let event = Event::AddFact {
        key: veto.clone(),
        fact,
    };
    mesh.event("dc0-0", event);
    mesh.run(3600 * SECOND);
    assert_eq!(mesh.nodes["dc1-0"].revision(), 1);
    assert_eq!(mesh.nodes["dc2-0"].revision(), 3);
    assert!(
        mesh.nodes["dc1-0"]
            .board
            .as_ref()
            .is_some_and(spread::Replica::is_ready)
    );
    mesh.cut.clear();
    mesh.storeless.clear();
    let took = mesh.until(BOUND, |mesh| {
        let mut nodes = mesh.nodes.values();
        mesh.everywhere(3)
            && nodes.all(|node| {
                node.board
                    .as_ref()
                    .is_some_and(|b| b.facts().get(&veto).is_some())
            })
    });
    assert!(took.is_some(), "the data centre stayed behind");
}

// A data centre reaches the others but not the store.
#[test]
fn a_data_centre_without_the_store_learns_from_the_others() {
    let mut mesh = settled(3, 3, 1);
    mesh.storeless.insert("dc1".into());
    mesh.write(2, "a: 2\n");
    let took = mesh.until(BOUND, |mesh| mesh.everywhere(2));
    assert!(took.is_some(), "the data centre stayed behind");
}

// A version is bad. As long as one entry hasn't heard of it, callers are sent to that version.
#[rstest]
fn a_veto_reaches_everybody_at_once(#[values(0.0, 0.3)] loss: f64) {
    let mut mesh = settled(3, 4, 1);
    mesh.fault(Fault::Out);
    mesh.loss = loss;
    let key = Key::Veto("production".into(), "m".into());
    let fact = Fact {
        weight: 1,
        until: None,
        body: Vec::new(),
    };
    mesh.event(
        "dc1-2",
        Event::AddFact {
            key: key.clone(),
            fact,
        },
    );
    let took = mesh.until(BOUND, |mesh| {
        let mut nodes = mesh.nodes.iter().filter(|(host, _)| *host != "dc1-2");
        nodes.all(|(_, node)| node.known.contains(&key))
    });
    let bound = if loss > 0.0 { BOUND } else { SECOND / 10 };
    assert!(took.is_some_and(|took| took < bound), "{took:?}");
}

// An entry's process is replaced while the store is out. It must not serve by nothing, nor by less
// than its neighbours.
#[rstest]
#[case(Fault::Out)]
#[case(Fault::Silent)]
fn a_process_started_in_an_outage_asks_its_neighbours(#[case] fault: Fault) {
    let mut mesh = settled(1, 4, 1);
    mesh.fault(fault);
    mesh.kill("dc0-1");
    mesh.run(SECOND);
    mesh.start("dc0-1");
    let took = mesh.until(BOUND, |mesh| mesh.nodes["dc0-1"].ready.is_some());
    assert!(took.is_some(), "it never became ready");
    assert_eq!(mesh.nodes["dc0-1"].revision(), 1);
}

// All entries are started anew while the store is out: nobody knows which document is the newest.
#[test]
fn fresh_processes_do_not_vouch_for_each_other() {
    let mut mesh = settled(1, 4, 1);
    mesh.fault(Fault::Out);
    for host in mesh.hosts() {
        mesh.kill(&host);
    }
    mesh.start_all();
    let ready = |mesh: &Mesh| mesh.nodes.values().any(|node| node.ready.is_some());
    assert_eq!(mesh.until(120 * SECOND, ready), None);
    mesh.fault(Fault::None);
    assert!(
        mesh.until(BOUND, |mesh| mesh.all_ready() && mesh.everywhere(1))
            .is_some()
    );
}

// A reader gets a document, its messages to all others are lost, and it dies. Its successor starts
// in an outage and knows less. Callers would see the old document after the new one.
#[test]
fn a_reader_that_dies_with_a_new_document_had_it_not_in_force() {
    let mut mesh = settled(1, 3, 1);
    for host in mesh.hosts() {
        mesh.deaf.insert(("dc0-0".into(), host.clone()));
    }
    mesh.fault(Fault::Silent);
    let edition = mesh.write(2, "a: 2\n");
    for host in mesh.hosts() {
        if host == "dc0-0" {
            let environment = "production".into();
            mesh.event(
                &host,
                Event::Observed {
                    environment,
                    edition: edition.clone(),
                },
            );
        }
    }
    mesh.run(SECOND / 100);
    let in_force = mesh.nodes["dc0-0"].revision();
    mesh.kill("dc0-0");
    mesh.deaf.clear();
    mesh.start("dc0-0");
    let took = mesh.until(4 * BOUND, |mesh| mesh.nodes["dc0-0"].ready.is_some());
    assert!(took.is_some(), "it never became ready");
    assert!(mesh.nodes["dc0-0"].revision() >= in_force);
}

// An entry's process stands still for a minute, and a document is written meanwhile. The first
// requests after it goes on must not be served by the old one.
#[test]
fn a_paused_process_is_not_ready_before_it_caught_up() {
    let mut mesh = settled(1, 3, 1);
    mesh.pause("dc0-1", true);
    mesh.run(SECOND);
    mesh.write(2, "a: 2\n");
    mesh.run(60 * SECOND);
    mesh.pause("dc0-1", false);
    let ready = |mesh: &Mesh| {
        mesh.nodes["dc0-1"]
            .board
            .as_ref()
            .is_some_and(spread::Replica::is_ready)
    };
    assert!(
        mesh.until(BOUND, ready).is_some(),
        "it never became ready again"
    );
    assert_eq!(mesh.nodes["dc0-1"].revision(), 2);
    assert_eq!(mesh.nodes["dc0-1"].unready, 1);
}

// The only entry is paused while the store is out. It has lost nothing, and nobody could tell it
// more: refusing all requests for the rest of the outage helps nobody.
#[test]
fn a_lone_process_that_was_paused_in_an_outage_serves_on() {
    let mut mesh = settled(1, 1, 1);
    mesh.fault(Fault::Out);
    mesh.pause("dc0-0", true);
    mesh.run(60 * SECOND);
    mesh.pause("dc0-0", false);
    assert!(
        mesh.until(BOUND, |mesh| mesh.nodes["dc0-0"].unready == 1)
            .is_some()
    );
    assert!(
        mesh.until(BOUND, Mesh::all_ready).is_some(),
        "it never became ready again"
    );
}

// The host list is empty from one moment on.
#[test]
fn an_empty_host_list_stops_nothing() {
    let mut mesh = settled(2, 3, 1);
    for host in mesh.hosts() {
        mesh.event(&host, Event::HostList(Vec::new()));
    }
    mesh.run(300 * SECOND);
    mesh.write(2, "a: 2\n");
    let took = mesh.until(BOUND, |mesh| mesh.everywhere(2));
    assert!(took.is_some_and(|took| took < SECOND), "{took:?}");
}

// A long outage: nobody may hammer the store, and the first document after it must be in time.
#[test]
fn an_outage_of_an_hour_is_sat_out() {
    let mut mesh = settled(2, 4, 1);
    mesh.fault(Fault::Out);
    mesh.run(60 * SECOND);
    mesh.reset();
    mesh.run(3600 * SECOND);
    let calls: u64 = mesh.nodes.values().map(|node| node.count.calls).sum();
    assert!(calls <= 8 * 3600 / 2, "{calls} calls in an hour");
    assert!(mesh.all_ready(), "documents stay as they are");
    mesh.fault(Fault::None);
    mesh.write(2, "a: 2\n");
    assert!(mesh.until(BOUND, |mesh| mesh.everywhere(2)).is_some());
}
