//! Time until a document is in force everywhere, with its bytes and store calls.
//!
//! The production boards are joined in memory, with made-up time. The baseline is what an entry does
//! that knows of no other: it holds a waiting watch of its own, with the same pauses and the same
//! limit on silence. A third row sends documents whole where the spread sends the change alone.

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

/// Time over which the pace at rest is counted.
const REST: u64 = 60;

/// Measures the spread of documents, for fleets of several sizes.
#[derive(FromArgs)]
#[argh(subcommand, name = "spread")]
pub struct Args {
    /// number of seeds
    #[argh(option, default = "20")]
    seeds: u64,
    /// size of the document in KiB
    #[argh(option, default = "100")]
    size: usize,
    /// entries of the largest fleet
    #[argh(option, default = "340")]
    largest: usize,
}

/// How entries learn of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// By the spread.
    Spread,
    /// By the spread, each document whole.
    Whole,
    /// Each entry by a watch of its own.
    Watch,
}

/// What goes wrong while a document is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Nothing,
    /// A tenth of all messages is lost.
    Loss,
    /// Every watch that waits is silent for good.
    Silent,
}

/// What one run gave.
struct Sample {
    /// Time until the document is in force everywhere; none when it isn't within a minute.
    took: Option<Duration>,
    /// Bytes that one document cost the host that sent or received most.
    most: u64,
    /// Bytes that one document cost an average host, sent and received.
    mean: u64,
    /// Bytes a second at rest, sent and received, of the host with most.
    rest: u64,
    /// Store calls a second at rest, of all hosts.
    calls: f64,
    /// Processor time at rest of one host, as a share of a core, what joins the boards included.
    load: f64,
}

/// Prints the tables.
pub fn print(args: &Args) {
    let mut rows = Vec::new();
    for (data_centres, each) in [(1, 2), (2, 4), (3, 11), (20, args.largest / 20)] {
        if each == 0 {
            continue;
        }
        for way in [Way::Spread, Way::Whole, Way::Watch] {
            for trouble in [Trouble::Nothing, Trouble::Loss, Trouble::Silent] {
                if way != Way::Spread && trouble == Trouble::Loss {
                    continue;
                }
                rows.push(row(args, data_centres, each, way, trouble));
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

fn row(args: &Args, data_centres: usize, each: usize, way: Way, trouble: Trouble) -> Vec<String> {
    let run = |seed| sample(args, data_centres, each, way, trouble, seed);
    let samples: Vec<_> = (1..=args.seeds).map(run).collect();
    let mut times: Vec<_> = samples.iter().filter_map(|s| s.took).collect();
    times.sort_unstable();
    let at = |share: f64| {
        let index = (times.len() as f64 * share) as usize;
        let time = times.get(index.min(times.len().saturating_sub(1)));
        time.map_or("-".to_string(), |time| format!("{:.3}", time.as_secs_f64()))
    };
    let median = |of: fn(&Sample) -> u64| {
        let mut all: Vec<_> = samples.iter().map(of).collect();
        all.sort_unstable();
        all[all.len() / 2]
    };
    let mean = |of: fn(&Sample) -> f64| samples.iter().map(of).sum::<f64>() / samples.len() as f64;
    vec![
        format!("{} in {data_centres}", data_centres * each),
        format!("{way:?}").to_lowercase(),
        format!("{trouble:?}").to_lowercase(),
        at(0.5),
        at(0.99),
        (samples.len() - times.len()).to_string(),
        format!("{:.1}", median(|s| s.most) as f64 / 1024.0),
        format!("{:.1}", median(|s| s.mean) as f64 / 1024.0),
        median(|s| s.rest).to_string(),
        format!("{:.2}", mean(|s| s.calls)),
        format!("{:.3}", mean(|s| s.load) * 100.0),
    ]
}

fn sample(
    args: &Args,
    data_centres: usize,
    each: usize,
    way: Way,
    trouble: Trouble,
    seed: u64,
) -> Sample {
    let mut mesh = Mesh::new(
        data_centres,
        each,
        seed,
        if way == Way::Whole { whole } else { weigh },
    );
    // An entry that watches alone is one that knows of no other.
    mesh.empty_host_list = way == Way::Watch;
    let text = text(args.size);
    mesh.write(1, &text);
    mesh.start_all();
    mesh.until(60 * SECOND, |mesh| mesh.all_ready() && mesh.everywhere(1));
    // The phase of the watches must not be that of the start.
    mesh.run(10 * SECOND + SECOND.mul_f64(seed as f64 * 0.37 % 6.0));
    mesh.reset();
    let rested = Instant::now();
    mesh.run(Duration::from_secs(REST));
    let hosts = (data_centres * each) as f64;
    let load = rested.elapsed().as_secs_f64() / REST as f64 / hosts;
    let counts: Vec<_> = mesh.nodes.values().map(|node| node.count).collect();
    let rest = counts
        .iter()
        .map(|c| c.sent + c.received)
        .max()
        .unwrap_or(0)
        / REST;
    let calls = counts.iter().map(|c| c.calls).sum::<u64>() as f64 / REST as f64;
    match trouble {
        Trouble::Nothing => {}
        Trouble::Loss => mesh.loss = 0.1,
        Trouble::Silent => mesh.fault(Fault::SilentWatches),
    }
    mesh.reset();
    let began = mesh.now;
    mesh.write(2, &text.replacen("weight: 1", "weight: 2", 1));
    let took = mesh.until(60 * SECOND, |mesh| mesh.everywhere(2));
    let beats = rest * (mesh.now - began).as_secs();
    let counts = mesh.nodes.values().map(|node| node.count);
    let bytes: Vec<_> = counts
        .map(|c| (c.sent + c.received).saturating_sub(beats))
        .collect();
    Sample {
        took,
        most: bytes.iter().max().copied().unwrap_or(0),
        mean: bytes.iter().sum::<u64>() / bytes.len() as u64,
        rest,
        calls,
        load,
    }
}

/// A document of so many KiB: most of a large one are its teams.
fn text(size: usize) -> String {
    let mut text = String::from("environment: production\nteams:\n");
    while text.len() < size * 1024 {
        text += &format!("  team-{}: {{ weight: 1, in_flight: 20 }}\n", text.len());
    }
    text
}

fn weigh(message: &Message) -> usize {
    postcard::experimental::serialized_size(message).unwrap_or(0)
}

/// Size of a message if documents were sent whole.
fn whole(message: &Message) -> usize {
    let size = weigh(message);
    match message {
        Message::Push(push) => match &push.body {
            Body::Delta { delta, .. } => size + (delta.start + delta.end) as usize,
            Body::Whole(_) => size,
        },
        _ => size,
    }
}
