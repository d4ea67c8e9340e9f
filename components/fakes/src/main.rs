//! Program that runs one stand-in per process.

use std::{
    error::Error,
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

use argh::FromArgs;
use fakes::{
    engine,
    platform,
    service, //
};

/// Stand-ins for trials: a model engine, a plain service, or the platform. The first line on
/// standard output is "listening on ADDRESS:PORT". Exit codes: 0 help, 1 error or a fault that
/// ends the process.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(Engine),
    Service(Service),
    Platform(Platform),
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "any()")]
    address: SocketAddr,
    /// model's name (default m)
    #[argh(option, default = "String::from(\"m\")")]
    model: String,
    /// version that is loaded at startup (default v1)
    #[argh(option, default = "String::from(\"v1\")")]
    version: String,
    /// time to the first token (default 20ms)
    #[argh(
        option,
        default = "Duration::from_millis(20)",
        from_str_fn(parse_duration)
    )]
    first: Duration,
    /// time between tokens (default 5ms)
    #[argh(
        option,
        default = "Duration::from_millis(5)",
        from_str_fn(parse_duration)
    )]
    between: Duration,
    /// number of concurrent runs at full speed (default 32)
    #[argh(option, default = "32")]
    capacity: u32,
    /// time that loading a version takes (default 0s)
    #[argh(option, default = "Duration::ZERO", from_str_fn(parse_duration))]
    load: Duration,
}

/// A plain service: a ledger of deposits.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct Service {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "any()")]
    address: SocketAddr,
}

/// The platform: key-value service, host list, weight store.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "any()")]
    address: SocketAddr,
    /// file with the host list in JSON, in the format of GET /hosts
    #[argh(option)]
    hosts: Option<PathBuf>,
}

/// Format of the host list file.
#[derive(serde::Deserialize)]
struct HostList {
    hosts: Vec<platform::Host>,
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|error| format!("{text} isn't a duration such as 20ms or 1s: {error}"))
}

#[tokio::main]
async fn main() {
    let args: Args = argh::from_env();
    if let Err(error) = run(args.command).await {
        eprintln!("medlarhatch-fakes: {error}");
        std::process::exit(1);
    }
}

async fn run(command: Command) -> Result<(), Box<dyn Error>> {
    match command {
        Command::Engine(args) => {
            let engine = engine::Engine::start(engine::Settings {
                address: args.address,
                model: args.model,
                version: args.version,
                first_token: args.first,
                token_interval: args.between,
                capacity: args.capacity,
                load_time: args.load,
                exit_on_death: true,
                ..engine::Settings::default()
            })
            .await?;
            serve(engine.address()).await
        }
        Command::Service(args) => {
            let service = service::Service::start(service::Settings {
                address: args.address,
                exit_on_death: true,
                ..service::Settings::default()
            })
            .await?;
            serve(service.address()).await
        }
        Command::Platform(args) => {
            let hosts = match &args.hosts {
                Some(path) => read_hosts(path)?,
                None => Vec::new(),
            };
            let platform = platform::Platform::start(platform::Settings {
                address: args.address,
                hosts,
                exit_on_death: true,
                ..platform::Settings::default()
            })
            .await?;
            serve(platform.address()).await
        }
    }
}

fn read_hosts(path: &PathBuf) -> Result<Vec<platform::Host>, Box<dyn Error>> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("can't read {}: {error}", path.display()))?;
    let list: HostList =
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(list.hosts)
}

/// Prints the address that the stand-in listens on, and runs until the process is killed or a fault
/// ends it.
async fn serve(address: SocketAddr) -> Result<(), Box<dyn Error>> {
    let mut output = std::io::stdout();
    writeln!(output, "listening on {address}")?;
    output.flush()?;
    std::future::pending::<()>().await;
    Ok(())
}
