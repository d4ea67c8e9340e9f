//! What one entry and one sidecar cost while nobody asks for anything.

use std::{
    io,
    time::Duration, //
};

use argh::FromArgs;
use fakes::{
    engine::{
        self,
        Engine, //
    },
    platform::{
        self,
        Platform, //
    },
};
use tokio::time::sleep;

use crate::{
    process::{
        Bench,
        Process, //
    },
    table,
    tokens, //
};

/// What one entry and one sidecar cost while nobody asks for anything.
#[derive(FromArgs)]
#[argh(subcommand, name = "idle")]
pub struct Args {
    /// seconds
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Prints the table.
pub async fn run(args: Args) -> io::Result<()> {
    let time = Duration::from_secs(args.seconds);
    let bench = Bench::new()?;
    let platform = Platform::start(platform::Settings::default()).await?;
    let engine = Engine::start(engine::Settings::default()).await?;
    let mut beside = trial::trial::sidecar_settings("draft-a", "dc1", platform.address());
    beside.server.address = format!("http://{}", engine.address());
    beside.times.load = Duration::from_millis(500);
    let sidecar = bench.sidecar(&beside)?;
    let mut settings = trial::trial::entry_settings("entry-a", "dc1", platform.address());
    settings.times.hosts = Duration::from_secs(1);
    let entry = bench.entry(&settings)?;
    platform.set_hosts(vec![tokens::listed("draft-a", sidecar.address("links")?)]);
    tokens::ready(&format!("http://{}", entry.address("operators")?)).await?;
    let calls = platform.counts();
    let before = [entry.cost()?, sidecar.cost()?];
    sleep(time).await;
    let mut rows = Vec::new();
    for (name, process, before) in [
        ("entry", &entry, before[0]),
        ("sidecar", &sidecar, before[1]),
    ] {
        rows.push(row(name, process, before.processor, time)?);
    }
    table::print(&["process", "processor %", "resident MB", "peak MB"], &rows);
    let after = platform.counts();
    let seconds = time.as_secs_f64();
    println!(
        "\nStore calls a second, both together: reads {:.2}, writes {:.2}, watches {:.2}.",
        (after.reads - calls.reads) as f64 / seconds,
        (after.writes - calls.writes) as f64 / seconds,
        (after.watches - calls.watches) as f64 / seconds,
    );
    Ok(())
}

fn row(name: &str, process: &Process, before: Duration, time: Duration) -> io::Result<Vec<String>> {
    let cost = process.cost()?;
    let share = (cost.processor - before).as_secs_f64() / time.as_secs_f64() * 100.0;
    Ok(vec![
        name.to_string(),
        format!("{share:.2}"),
        format!("{:.1}", cost.memory as f64 / 1e6),
        format!("{:.1}", cost.peak as f64 / 1e6),
    ])
}
