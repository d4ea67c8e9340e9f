//! Processor time, memory and traffic of an idle entry, by the number of its links.

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
    process::Launcher,
    table,
    tokens, //
};

/// Measures processor time, memory and traffic of an idle entry, by the number of its links.
#[derive(FromArgs)]
#[argh(subcommand, name = "links")]
pub struct Args {
    /// number of links; may be given more than once (default: 0, 32, 64, 128)
    #[argh(option)]
    links: Vec<usize>,
    /// duration in seconds for each number of links (default 10)
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Time between two heartbeats of an idle link.
const IDLE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Prints the table.
pub async fn run(args: Args) -> io::Result<()> {
    let link_counts = if args.links.is_empty() {
        vec![0, 32, 64, 128]
    } else {
        args.links
    };
    let mut rows = Vec::new();
    for link_count in link_counts {
        rows.push(measure_links(link_count, Duration::from_secs(args.seconds)).await?);
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

/// Measures an entry with this number of links; returns the row of the table.
async fn measure_links(link_count: usize, duration: Duration) -> io::Result<Vec<String>> {
    let launcher = Launcher::new()?;
    let platform = Platform::start(platform::Settings::default()).await?;
    let settings = trial::trial::entry_settings("entry-a", "dc1", platform.address());
    let mut settings = settings;
    settings.times.hosts = Duration::from_secs(1);
    settings.limits.links = link_count.max(1);
    let (links, mut linked) = mpsc::channel(link_count.max(1));
    let mut hosts = Vec::new();
    for index in 0..link_count {
        let host = format!("draft-{index}");
        let node = Node::bind(
            any_local_port(),
            &launcher.keys(&host)?,
            IDLE_HEARTBEAT_INTERVAL * 3,
        )
        .map_err(io::Error::other)?;
        hosts.push(tokens::sidecar_host(&host, node.address()?));
        tokio::spawn(fake_sidecar(node, host, links.clone()));
    }
    platform.set_hosts(hosts);
    let entry = launcher.entry(&settings)?;
    let mut links_up: Vec<Link> = Vec::new();
    while links_up.len() < link_count {
        links_up.extend(linked.recv().await);
    }
    // Excludes the handshakes from the measurement.
    sleep(IDLE_HEARTBEAT_INTERVAL).await;
    let before = (entry.usage()?, total_bytes(&links_up));
    sleep(duration).await;
    let after = (entry.usage()?, total_bytes(&links_up));
    let seconds = duration.as_secs_f64();
    let processor = (after.0.cpu_time - before.0.cpu_time).as_secs_f64() / seconds * 100.0;
    // The links are measured at the fake sidecars, so bytes received there were sent by the entry.
    let sent = (after.1.1 - before.1.1) as f64 / seconds;
    let received = (after.1.0 - before.1.0) as f64 / seconds;
    Ok(vec![
        link_count.to_string(),
        format!("{processor:.2}"),
        format!("{:.1}", after.0.resident_bytes as f64 / 1e6),
        format!("{sent:.0}"),
        format!("{received:.0}"),
        format!("{:.0}", (sent + received) / link_count.max(1) as f64),
    ])
}

/// Runs a fake sidecar that only answers the `Hello` frame and sends heartbeats.
async fn fake_sidecar(node: Node, host: String, links: mpsc::Sender<Link>) {
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
        let Ok((stream, _)) = handshake::respond(&link, &hello, IDLE_HEARTBEAT_INTERVAL).await
        else {
            continue;
        };
        let (_others, no_urgent) = mpsc::channel(1);
        let (_work, rest) = watch::channel(0);
        let pace = Intervals {
            busy: IDLE_HEARTBEAT_INTERVAL,
            idle: IDLE_HEARTBEAT_INTERVAL,
        };
        tokio::spawn(handshake::send_heartbeats(
            stream.sender,
            state.subscribe(),
            no_urgent,
            rest,
            pace,
            || false,
        ));
        let mut receiver = stream.receiver;
        tokio::spawn(async move { while let Ok(Some(_)) = receiver.receive().await {} });
        // The receiver is dropped when the measurement is over.
        let _ = links.send(link).await;
    }
}

/// Returns the payload bytes sent and received on all links, without the 28 bytes of IP and UDP
/// header per packet.
fn total_bytes(links: &[Link]) -> (u64, u64) {
    let all = links.iter().map(Link::bytes);
    all.fold((0, 0), |sum, link| (sum.0 + link.0, sum.1 + link.1))
}

fn any_local_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
