//! Time until a document is in force on all hosts, with the traffic and store calls that it takes.
//!
//! The production replicas are connected in memory, in virtual time. The baseline is an entry that
//! knows of no peers: it holds a long-polling watch of its own, with the same pauses and the same
//! limit on silence. A third row sends complete documents where the spread sends only the change.

use std::time::{
    Duration,
    Instant, //
};

use argh::FromArgs;
use mesh::{
    Fault,
    Mesh, //
};
use spread::{
    Message,
    message::Body, //
};

use crate::table;

#[expect(dead_code, reason = "The tests of the spread use the rest.")]
#[path = "../../spread/tests/common/mesh.rs"]
mod mesh;

const SECOND: Duration = Duration::from_secs(1);

/// Time over which idle traffic and store calls are counted, in seconds.
const IDLE_SECONDS: u64 = 60;

/// Measures the distribution of documents, for fleets of several sizes.
#[derive(FromArgs)]
#[argh(subcommand, name = "spread")]
pub struct Args {
    /// number of seeds (default 20)
    #[argh(option, default = "20")]
    seeds: u64,
    /// size of the document in KiB (default 100)
    #[argh(option, default = "100")]
    size: usize,
    /// entries of the largest fleet (default 340)
    #[argh(option, default = "340")]
    largest: usize,
}

/// How entries receive documents, as in the column "way".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Distribution {
    /// Through the spread, which sends changes.
    Spread,
    /// Through the spread, as complete documents.
    Whole,
    /// Through a watch of each entry on the store.
    Watch,
}

/// A fault while a document is written, as in the column "trouble".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Impairment {
    Nothing,
    /// A tenth of all messages are lost.
    Loss,
    /// Every open watch stays silent forever.
    Silent,
}

/// Figures of one run.
struct Figures {
    /// Time until the document is in force on all hosts; `None` if it takes more than a minute.
    time_to_all: Option<Duration>,
    /// Bytes sent and received for one document, on the host with the most.
    max_bytes: u64,
    /// Bytes sent and received for one document, on an average host.
    mean_bytes: u64,
    /// Bytes sent and received per second when idle, on the host with the most.
    idle_bytes_per_second: u64,
    /// Store calls per second when idle, of all hosts.
    idle_store_calls: f64,
    /// Processor time of one host when idle, as a share of a core. It includes the mesh that
    /// connects the replicas.
    idle_core_share: f64,
}

/// Prints the tables.
pub fn print(args: &Args) {
    let mut rows = Vec::new();
    for (data_centres, entries_each) in [(1, 2), (2, 4), (3, 11), (20, args.largest / 20)] {
        if entries_each == 0 {
            continue;
        }
        for distribution in [
            Distribution::Spread,
            Distribution::Whole,
            Distribution::Watch,
        ] {
            for impairment in [Impairment::Nothing, Impairment::Loss, Impairment::Silent] {
                if distribution != Distribution::Spread && impairment == Impairment::Loss {
                    continue;
                }
                rows.push(row(
                    args,
                    data_centres,
                    entries_each,
                    distribution,
                    impairment,
                ));
            }
        }
    }
    let heading = [
        "entries",
        "way",
        "trouble",
        "in force, median s",
        "99th s",
        "not in a minute",
        "KiB a document, most",
        "mean",
        "B/s at rest, most",
        "store calls/s, all",
        "% of a core at rest",
    ];
    table::print(&heading, &rows);
}

fn row(
    args: &Args,
    data_centres: usize,
    entries_each: usize,
    distribution: Distribution,
    impairment: Impairment,
) -> Vec<String> {
    let measure_seed = |seed| {
        measure(
            args,
            data_centres,
            entries_each,
            distribution,
            impairment,
            seed,
        )
    };
    let runs: Vec<_> = (1..=args.seeds).map(measure_seed).collect();
    let mut times: Vec<_> = runs.iter().filter_map(|run| run.time_to_all).collect();
    times.sort_unstable();
    let percentile = |share: f64| {
        let index = (times.len() as f64 * share) as usize;
        let time = times.get(index.min(times.len().saturating_sub(1)));
        time.map_or("-".to_string(), |time| format!("{:.3}", time.as_secs_f64()))
    };
    let median = |figure: fn(&Figures) -> u64| {
        let mut all: Vec<_> = runs.iter().map(figure).collect();
        all.sort_unstable();
        all[all.len() / 2]
    };
    let mean =
        |figure: fn(&Figures) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
    vec![
        format!("{} in {data_centres}", data_centres * entries_each),
        format!("{distribution:?}").to_lowercase(),
        format!("{impairment:?}").to_lowercase(),
        percentile(0.5),
        percentile(0.99),
        (runs.len() - times.len()).to_string(),
        format!("{:.1}", median(|run| run.max_bytes) as f64 / 1024.0),
        format!("{:.1}", median(|run| run.mean_bytes) as f64 / 1024.0),
        median(|run| run.idle_bytes_per_second).to_string(),
        format!("{:.2}", mean(|run| run.idle_store_calls)),
        format!("{:.3}", mean(|run| run.idle_core_share) * 100.0),
    ]
}

fn measure(
    args: &Args,
    data_centres: usize,
    entries_each: usize,
    distribution: Distribution,
    impairment: Impairment,
    seed: u64,
) -> Figures {
    let mut mesh = Mesh::new(
        data_centres,
        entries_each,
        seed,
        if distribution == Distribution::Whole {
            complete_size
        } else {
            encoded_size
        },
    );
    // An entry that knows of no peers watches the store alone.
    mesh.empty_host_list = distribution == Distribution::Watch;
    let document = document(args.size);
    mesh.write(1, &document);
    mesh.start_all();
    mesh.until(60 * SECOND, |mesh| mesh.all_ready() && mesh.everywhere(1));
    // Varies the phase of the watches at the time of the write, as all of them begin at the start.
    mesh.run(10 * SECOND + SECOND.mul_f64(seed as f64 * 0.37 % 6.0));
    mesh.reset();
    let idle_start = Instant::now();
    mesh.run(Duration::from_secs(IDLE_SECONDS));
    let hosts = (data_centres * entries_each) as f64;
    let idle_core_share = idle_start.elapsed().as_secs_f64() / IDLE_SECONDS as f64 / hosts;
    let counts: Vec<_> = mesh.nodes.values().map(|node| node.count).collect();
    let idle_bytes_per_second = counts
        .iter()
        .map(|count| count.sent + count.received)
        .max()
        .unwrap_or(0)
        / IDLE_SECONDS;
    let idle_store_calls =
        counts.iter().map(|count| count.calls).sum::<u64>() as f64 / IDLE_SECONDS as f64;
    match impairment {
        Impairment::Nothing => {}
        Impairment::Loss => mesh.loss = 0.1,
        Impairment::Silent => mesh.fault(Fault::SilentWatches),
    }
    mesh.reset();
    let written_at = mesh.now;
    mesh.write(2, &document.replacen("weight: 1", "weight: 2", 1));
    let time_to_all = mesh.until(60 * SECOND, |mesh| mesh.everywhere(2));
    let idle_bytes = idle_bytes_per_second * (mesh.now - written_at).as_secs();
    let counts = mesh.nodes.values().map(|node| node.count);
    let bytes: Vec<_> = counts
        .map(|count| (count.sent + count.received).saturating_sub(idle_bytes))
        .collect();
    Figures {
        time_to_all,
        max_bytes: bytes.iter().max().copied().unwrap_or(0),
        mean_bytes: bytes.iter().sum::<u64>() / bytes.len() as u64,
        idle_bytes_per_second,
        idle_store_calls,
        idle_core_share,
    }
}

/// Returns a document of this size in KiB, which consists mostly of teams.
fn document(size: usize) -> String {
    let mut document = String::from("environment: production\nteams:\n");
    while document.len() < size * 1024 {
        document += &format!(
            "  team-{}: {{ weight: 1, in_flight: 20 }}\n",
            document.len()
        );
    }
    document
}

/// Returns the encoded size of a message in bytes.
fn encoded_size(message: &Message) -> usize {
    postcard::experimental::serialized_size(message).unwrap_or(0)
}

/// Returns the size of a message in bytes if documents were sent complete.
fn complete_size(message: &Message) -> usize {
    let size = encoded_size(message);
    match message {
        Message::Push(push) => match &push.body {
            Body::Delta { delta, .. } => size + (delta.start + delta.end) as usize,
            Body::Whole(_) => size,
        },
        _ => size,
    }
}
