//! Links between processes: host names are verified, foreign certificates refused, silence
//! detected.

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

const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn node(keys: &Keys) -> Node {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    Node::bind(local, keys, IDLE_TIMEOUT).expect("binds to a free port")
}

fn keys(authority: &Authority, host: &str) -> Keys {
    authority.issue(host).expect("issues keys")
}

async fn connect(
    dialer: &Node,
    acceptor: &Node,
    host: &str,
) -> (Result<Link, Error>, Option<Link>) {
    let address = acceptor.address().expect("the socket is bound");
    let (dialled, accepted) = tokio::join!(dialer.dial(address, host), async {
        let incoming = timeout(TEST_TIMEOUT, acceptor.accept()).await.ok()??;
        incoming.accept().await.ok()
    });
    (dialled, accepted)
}

#[tokio::test]
async fn both_sides_verify_each_other_by_certificate() {
    let authority = Authority::new().expect("creates an authority");
    let a = node(&keys(&authority, "entry-a"));
    let b = node(&keys(&authority, "draft-a"));
    let (dialled, accepted) = connect(&a, &b, "draft-a").await;
    let accepted = accepted.expect("a link");
    dialled
        .expect("a link")
        .verify_host(&"draft-a".into())
        .expect("valid for the peer's name");
    accepted
        .verify_host(&"entry-a".into())
        .expect("valid for the peer's name");
    // A process that could claim another host's name could announce that host as leaving.
    assert_matches!(
        accepted.verify_host(&"entry-b".into()),
        Err(Error::Foreign(_))
    );
}

/// A process whose certificate another system's authority signed dials this system, or is dialled,
/// by mistake. Without the check it could receive this system's prompts; operators see MH0202.
#[tokio::test]
async fn a_foreign_certificate_is_refused_by_both_sides() {
    let ours = node(&keys(
        &Authority::new().expect("creates an authority"),
        "draft-a",
    ));
    let foreign = node(&keys(
        &Authority::new().expect("creates an authority"),
        "entry-a",
    ));
    let (dialled, accepted) = connect(&foreign, &ours, "draft-a").await;
    assert_matches!(dialled, Err(Error::Foreign(_)));
    assert!(accepted.is_none());
}

#[tokio::test]
async fn a_certificate_for_another_name_is_refused_by_the_dialling_side() {
    let authority = Authority::new().expect("creates an authority");
    let a = node(&keys(&authority, "entry-a"));
    let b = node(&keys(&authority, "draft-b"));
    let (dialled, _) = connect(&a, &b, "draft-a").await;
    assert_matches!(dialled, Err(Error::Foreign(_)));
}

/// The peer is stopped, or a middlebox forgets the connection: nothing arrives any more and no
/// error is reported. Without a time limit, the caller's answer would hang forever.
#[tokio::test]
async fn a_link_without_heartbeats_is_lost_after_the_idle_timeout() {
    let authority = Authority::new().expect("creates an authority");
    let a = node(&keys(&authority, "entry-a"));
    let b = node(&keys(&authority, "draft-a"));
    let (dialled, _accepted) = connect(&a, &b, "draft-a").await;
    let link = dialled.expect("a link");
    timeout(TEST_TIMEOUT, link.closed())
        .await
        .expect("the link is lost in time");
    assert!(link.is_closed());
}

#[tokio::test]
async fn frames_and_the_end_of_a_stream_arrive_in_order() {
    let authority = Authority::new().expect("creates an authority");
    let a = node(&keys(&authority, "entry-a"));
    let b = node(&keys(&authority, "draft-a"));
    let (dialled, accepted) = connect(&a, &b, "draft-a").await;
    let (link, peer) = (dialled.expect("a link"), accepted.expect("a link"));
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
