//! Resource usage of one idle entry and one idle sidecar.

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
        Launcher,
        Process, //
    },
    table,
    tokens, //
};

/// Measures the resource usage of one idle entry and one idle sidecar.
#[derive(FromArgs)]
#[argh(subcommand, name = "idle")]
pub struct Args {
    /// duration in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Prints the table and the store calls per second.
pub async fn run(args: Args) -> io::Result<()> {
    let duration = Duration::from_secs(args.seconds);
    let launcher = Launcher::new()?;
    let platform = Platform::start(platform::Settings::default()).await?;
    let engine = Engine::start(engine::Settings::default()).await?;
    let mut sidecar_settings = trial::trial::sidecar_settings("draft-a", "dc1", platform.address());
    sidecar_settings.server.address = format!("http://{}", engine.address());
    sidecar_settings.times.load = Duration::from_millis(500);
    let sidecar = launcher.sidecar(&sidecar_settings)?;
    let mut settings = trial::trial::entry_settings("entry-a", "dc1", platform.address());
    settings.times.hosts = Duration::from_secs(1);
    let entry = launcher.entry(&settings)?;
    platform.set_hosts(vec![tokens::sidecar_host(
        "draft-a",
        sidecar.address("links")?,
    )]);
    tokens::wait_until_ready(&format!("http://{}", entry.address("operators")?)).await?;
    let counts_before = platform.counts();
    let before = [entry.usage()?, sidecar.usage()?];
    sleep(duration).await;
    let mut rows = Vec::new();
    for (name, process, before) in [
        ("entry", &entry, before[0]),
        ("sidecar", &sidecar, before[1]),
    ] {
        rows.push(row(name, process, before.cpu_time, duration)?);
    }
    table::print(&["process", "processor %", "resident MB", "peak MB"], &rows);
    let counts_after = platform.counts();
    let seconds = duration.as_secs_f64();
    println!(
        "\nStore calls per second, entry and sidecar together: reads {:.2}, writes {:.2}, watches {:.2}.",
        (counts_after.reads - counts_before.reads) as f64 / seconds,
        (counts_after.writes - counts_before.writes) as f64 / seconds,
        (counts_after.watches - counts_before.watches) as f64 / seconds,
    );
    Ok(())
}

fn row(
    name: &str,
    process: &Process,
    before: Duration,
    duration: Duration,
) -> io::Result<Vec<String>> {
    let usage = process.usage()?;
    let share = (usage.cpu_time - before).as_secs_f64() / duration.as_secs_f64() * 100.0;
    Ok(vec![
        name.to_string(),
        format!("{share:.2}"),
        format!("{:.1}", usage.resident_bytes as f64 / 1e6),
        format!("{:.1}", usage.peak_resident_bytes as f64 / 1e6),
    ])
}
