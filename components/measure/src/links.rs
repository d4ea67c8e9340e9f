//! What links cost an entry at rest: processor time, memory and bytes, against their number.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use argh::FromArgs;
use daemon::handshake::{
    self,
    Intervals, //
};
use fakes::platform::{
    self,
    Platform, //
};
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::sleep, //
};
use wire::{
    Link,
    Node,
    frame::{
        Backend,
        Heartbeat,
        Hello,
        Load,
        PROTOCOL_VERSION, //
    }, //
};

use crate::{
    process::Bench,
    table,
    tokens, //
};

/// What links cost an entry at rest: processor time, memory and bytes, against their number.
#[derive(FromArgs)]
#[argh(subcommand, name = "links")]
pub struct Args {
    /// numbers of links
    #[argh(option)]
    links: Vec<usize>,
    /// seconds for each number
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Pace of heartbeats at rest.
const REST: Duration = Duration::from_secs(2);

/// Prints the table.
pub async fn run(args: Args) -> io::Result<()> {
    let numbers = if args.links.is_empty() {
        vec![0, 32, 64, 128]
    } else {
        args.links
    };
    let mut rows = Vec::new();
    for number in numbers {
        rows.push(one(number, Duration::from_secs(args.seconds)).await?);
    }
    table::print(
        &[
            "links",
            "processor %",
            "resident MB",
            "bytes/s sent",
            "bytes/s received",
            "bytes/s a link",
        ],
        &rows,
    );
    Ok(())
}

async fn one(number: usize, time: Duration) -> io::Result<Vec<String>> {
    let bench = Bench::new()?;
    let platform = Platform::start(platform::Settings::default()).await?;
    let settings = trial::trial::entry_settings("entry-a", "dc1", platform.address());
    let mut settings = settings;
    settings.times.hosts = Duration::from_secs(1);
    settings.limits.links = number.max(1);
    let (links, mut joined) = mpsc::channel(number.max(1));
    let mut hosts = Vec::new();
    for index in 0..number {
        let host = format!("draft-{index}");
        let node = Node::bind(any(), &bench.keys(&host)?, REST * 3).map_err(io::Error::other)?;
        hosts.push(tokens::listed(&host, node.address()?));
        tokio::spawn(stand_in(node, host, links.clone()));
    }
    platform.set_hosts(hosts);
    let entry = bench.entry(&settings)?;
    let mut up: Vec<Link> = Vec::new();
    while up.len() < number {
        up.extend(joined.recv().await);
    }
    // The handshakes are over; what follows is rest.
    sleep(REST).await;
    let before = (entry.cost()?, bytes(&up));
    sleep(time).await;
    let after = (entry.cost()?, bytes(&up));
    let seconds = time.as_secs_f64();
    let processor = (after.0.processor - before.0.processor).as_secs_f64() / seconds * 100.0;
    // What the stand-ins received is what the entry sent.
    let sent = (after.1.1 - before.1.1) as f64 / seconds;
    let received = (after.1.0 - before.1.0) as f64 / seconds;
    Ok(vec![
        number.to_string(),
        format!("{processor:.2}"),
        format!("{:.1}", after.0.memory as f64 / 1e6),
        format!("{sent:.0}"),
        format!("{received:.0}"),
        format!("{:.0}", (sent + received) / number.max(1) as f64),
    ])
}

/// A sidecar that does nothing but greet and beat.
async fn stand_in(node: Node, host: String, links: mpsc::Sender<Link>) {
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        host: host.clone(),
        data_centre: "dc1".into(),
        incarnation: 1,
        backend: Some(Backend {
            server: format!("{host}-server"),
            service: "draft".into(),
            version: "v1".into(),
        }),
    };
    let heartbeat = Heartbeat {
        healthy: true,
        load: Some(Load::default()),
        ..Heartbeat::default()
    };
    let (state, _) = watch::channel(heartbeat);
    while let Some(incoming) = node.accept().await {
        let Ok(link) = incoming.accept().await else {
            continue;
        };
        let Ok((stream, _)) = handshake::respond(&link, &hello, REST).await else {
            continue;
        };
        let (_others, nothing) = mpsc::channel(1);
        let (_work, rest) = watch::channel(0);
        let pace = Intervals {
            busy: REST,
            idle: REST,
        };
        tokio::spawn(handshake::send_heartbeats(
            stream.sender,
            state.subscribe(),
            nothing,
            rest,
            pace,
            || false,
        ));
        let mut receiver = stream.receiver;
        tokio::spawn(async move { while let Ok(Some(_)) = receiver.receive().await {} });
        // The measurement is over when nobody receives.
        let _ = links.send(link).await;
    }
}

/// Payload bytes sent and received on all links; 28 bytes of IP and UDP header come to each packet.
fn bytes(links: &[Link]) -> (u64, u64) {
    let all = links.iter().map(Link::bytes);
    all.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
