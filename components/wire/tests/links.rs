//! Links between processes: greeting names are proved, foreign certificates refused, silence seen.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use assert_matches::assert_matches;
use keys::Authority;
use settings::Keys;
use tokio::time::timeout;
use wire::{
    Error,
    Frame,
    Link,
    Node,
    frame::Heartbeat, //
};

const SILENCE: Duration = Duration::from_millis(400);
const LIMIT: Duration = Duration::from_secs(10);

fn node(keys: &Keys) -> Node {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Node::bind(any, keys, SILENCE).expect("a free port")
}

fn keys(authority: &Authority, host: &str) -> Keys {
    authority.issue(host).expect("keys can be made")
}

async fn join(
    dialling: &Node,
    answering: &Node,
    host: &str,
) -> (Result<Link, Error>, Option<Link>) {
    let address = answering.address().expect("bound");
    let (dialled, answered) = tokio::join!(dialling.dial(address, host), async {
        let incoming = timeout(LIMIT, answering.accept()).await.ok()??;
        incoming.accept().await.ok()
    });
    (dialled, answered)
}

#[tokio::test]
async fn both_ends_know_each_other_by_certificate() {
    let authority = Authority::new().expect("an authority");
    let a = node(&keys(&authority, "entry-a"));
    let b = node(&keys(&authority, "draft-a"));
    let (dialled, answered) = join(&a, &b, "draft-a").await;
    let answered = answered.expect("a link");
    dialled
        .expect("a link")
        .verify_host(&"draft-a".into())
        .expect("its own name");
    answered
        .verify_host(&"entry-a".into())
        .expect("its own name");
    // A process that claims another host's name could announce that host as leaving.
    assert_matches!(
        answered.verify_host(&"entry-b".into()),
        Err(Error::Foreign(_))
    );
}

/// A process with a certificate of another system's authority dials, or is dialled by mistake.
/// Without the check it could take this system's prompts; the operator sees MH0202.
#[tokio::test]
async fn a_foreign_certificate_is_refused_by_both_sides() {
    let ours = node(&keys(&Authority::new().expect("an authority"), "draft-a"));
    let foreign = node(&keys(&Authority::new().expect("an authority"), "entry-a"));
    let (dialled, answered) = join(&foreign, &ours, "draft-a").await;
    assert_matches!(dialled, Err(Error::Foreign(_)));
    assert!(answered.is_none());
}

#[tokio::test]
async fn a_certificate_for_another_name_is_refused_by_the_side_that_dials() {
    let authority = Authority::new().expect("an authority");
    let a = node(&keys(&authority, "entry-a"));
    let b = node(&keys(&authority, "draft-b"));
    let (dialled, _) = join(&a, &b, "draft-a").await;
    assert_matches!(dialled, Err(Error::Foreign(_)));
}

/// A peer is stopped, or something between the two ends forgets the connection: nothing comes any
/// more and nothing says so. Without a limit the caller's answer would hang for ever.
#[tokio::test]
async fn a_link_without_heartbeats_is_lost_after_the_silence() {
    let authority = Authority::new().expect("an authority");
    let a = node(&keys(&authority, "entry-a"));
    let b = node(&keys(&authority, "draft-a"));
    let (dialled, _answered) = join(&a, &b, "draft-a").await;
    let link = dialled.expect("a link");
    timeout(LIMIT, link.closed()).await.expect("lost in time");
    assert!(link.is_closed());
}

#[tokio::test]
async fn frames_arrive_in_order_on_a_stream_and_its_end_is_seen() {
    let authority = Authority::new().expect("an authority");
    let a = node(&keys(&authority, "entry-a"));
    let b = node(&keys(&authority, "draft-a"));
    let (dialled, answered) = join(&a, &b, "draft-a").await;
    let (link, peer) = (dialled.expect("a link"), answered.expect("a link"));
    let mut stream = link.open().await.expect("a stream");
    for leaving in [false, true, false] {
        let heartbeat = Heartbeat {
            leaving,
            ..Heartbeat::default()
        };
        stream
            .send(&Frame::Heartbeat(heartbeat))
            .await
            .expect("sent");
    }
    stream.sender.finish();
    let mut other = peer.accept().await.expect("the stream");
    let mut seen = Vec::new();
    while let Some(frame) = other.receive().await.expect("a frame or the end") {
        assert_matches!(frame, Frame::Heartbeat(heartbeat) => seen.push(heartbeat.leaving));
    }
    assert_eq!(seen, [false, true, false]);
}
