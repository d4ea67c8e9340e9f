//! Command line arguments.

use std::{
    path::PathBuf,
    process::ExitCode,
    time::Duration, //
};

use argh::FromArgs;

use crate::messages::USAGE_EXIT_CODE;

/// medlarhatch serves long model generations on engines that fail.
///
/// Exit codes: 0 success; 1 refused or failed; 2 invalid arguments; 3 a process or the platform
/// can't be reached, and the outcome is unknown.
#[derive(FromArgs)]
pub struct Args {
    /// also log debug events
    #[argh(switch, short = 'v')]
    pub verbose: bool,
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands of the program.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Run an entry.
    Entry(Entry),
    /// Run a sidecar.
    Sidecar(Sidecar),
    /// Work with documents of environments.
    Env(Env),
    /// Create keys for hosts.
    Keys(Keys),
    /// Show reports on burn, moves or resumes.
    Report(Report),
    /// Explain a request from log files.
    Explain(Explain),
    /// Check settings files.
    Settings(Settings),
    /// Show failover in one process.
    Demo(Demo),
}

/// Explain the outcome of a request, or summarize all requests with --summary, from the log files
/// of any number of processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// summarize all requests by kind, outcome and time; then give log files only, without an id
    #[argh(switch)]
    pub summary: bool,
    /// with --summary: length of a time window, in seconds (default 2)
    #[argh(option, default = "Duration::from_secs(2)", from_str_fn(seconds))]
    pub window: Duration,
    /// with --summary: print JSON
    #[argh(switch)]
    pub json: bool,
    /// id of the request, then log files; lines of other formats are skipped
    #[argh(positional, arg_name = "words")]
    pub id_and_files: Vec<String>,
}

/// Work with settings files.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct Settings {
    #[argh(subcommand)]
    pub command: SettingsCommand,
}

/// Subcommand of `settings`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum SettingsCommand {
    /// Check settings files.
    Check(SettingsCheck),
}

/// Report all errors in settings files, one per line: file, line, field and accepted values. A file
/// with `server` is checked as settings of a sidecar, one with `authority` as keys, any other as
/// settings of an entry.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct SettingsCheck {
    /// settings files, YAML
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Run an entry, which accepts callers and operators and connects to sidecars.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct Entry {
    /// settings file, YAML (see examples/entry.yaml)
    #[argh(option)]
    pub settings: PathBuf,
    /// keys file, YAML (see `medlarhatch keys`)
    #[argh(option)]
    pub keys: Option<PathBuf>,
    /// check the files, and exit
    #[argh(switch)]
    pub check: bool,
}

/// Show a report of an entry.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    #[argh(subcommand)]
    pub command: ReportCommand,
}

/// Subcommand of `report`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ReportCommand {
    /// Show service-level burn rates.
    Burn(ReportBurn),
    /// Show moves of traffic between versions.
    Moves(ReportMoves),
    /// Show resumed answers.
    Resumes(ReportResumes),
}

/// Show service-level burn rates by route, version and team, worst first.
#[derive(FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct ReportBurn {
    /// operators' address of an entry, such as http://127.0.0.1:8081
    #[argh(option)]
    pub entry: String,
    /// output format: text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
    /// print an HTML page instead
    #[argh(switch)]
    pub html: bool,
}

/// Show moves of traffic between versions: share, evidence by route, and reasons of reverts.
#[derive(FromArgs)]
#[argh(subcommand, name = "moves")]
pub struct ReportMoves {
    /// operators' address of an entry, such as http://127.0.0.1:8081
    #[argh(option)]
    pub entry: String,
    /// output format: text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Show resumed answers by service and version: causes, latency, recomputed tokens.
#[derive(FromArgs)]
#[argh(subcommand, name = "resumes")]
pub struct ReportResumes {
    /// operators' address of an entry, such as http://127.0.0.1:8081
    #[argh(option)]
    pub entry: String,
    /// output format: text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Run a sidecar beside one backend server.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecar")]
pub struct Sidecar {
    /// settings file, YAML (see examples/sidecar.yaml)
    #[argh(option)]
    pub settings: PathBuf,
    /// keys file, YAML (see `medlarhatch keys`)
    #[argh(option)]
    pub keys: Option<PathBuf>,
    /// check the files, and exit
    #[argh(switch)]
    pub check: bool,
}

/// Work with the documents of environments.
#[derive(FromArgs)]
#[argh(subcommand, name = "env")]
pub struct Env {
    #[argh(subcommand)]
    pub command: EnvCommand,
}

/// Subcommand of `env`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum EnvCommand {
    /// Check a document.
    Check(EnvCheck),
    /// Put a document in force.
    Put(EnvPut),
    /// Promote the document of a trial.
    Promote(EnvPromote),
    /// Show what is in force.
    Status(EnvStatus),
    /// Show the edit history of a document.
    History(EnvHistory),
}

/// Check a document without putting it in force; works offline.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct EnvCheck {
    /// the document, YAML
    #[argh(positional)]
    pub document: PathBuf,
    /// output format: text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Put a document in force, unless it has been edited by another operator since. Prints the changes
/// first.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub struct EnvPut {
    /// the document, YAML
    #[argh(positional)]
    pub document: PathBuf,
    /// operators' address of any entry, such as http://127.0.0.1:7101
    #[argh(option)]
    pub entry: String,
    /// operator name for the edit history (default: the login name)
    #[argh(option)]
    pub operator: Option<String>,
    /// id of the edit; pass the same id to repeat an edit whose outcome is unknown
    #[argh(option)]
    pub edit: Option<String>,
    /// revision that the document is based on (default: the revision in force)
    #[argh(option)]
    pub base: Option<u64>,
    /// print the changes without putting them in force
    #[argh(switch)]
    pub dry_run: bool,
    /// output format: text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Put the document of a trial in force in another environment, exactly as it was tried.
#[derive(FromArgs)]
#[argh(subcommand, name = "promote")]
pub struct EnvPromote {
    /// environment of the trial
    #[argh(option)]
    pub from: String,
    /// environment to put the document in force in
    #[argh(option)]
    pub to: String,
    /// revision of the trial that was tried (default: the newest)
    #[argh(option)]
    pub revision: Option<u64>,
    /// operators' address of any entry, such as http://127.0.0.1:7101
    #[argh(option)]
    pub entry: String,
    /// operator name for the edit history (default: the login name)
    #[argh(option)]
    pub operator: Option<String>,
    /// id of the edit; pass the same id to repeat an edit whose outcome is unknown
    #[argh(option)]
    pub edit: Option<String>,
    /// print the changes without promoting them
    #[argh(switch)]
    pub dry_run: bool,
    /// output format: text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Show which revision is in force on each host.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct EnvStatus {
    /// operators' address of an entry; repeat the option to show several entries
    #[argh(option)]
    pub entry: Vec<String>,
    /// environment (default: that of the first entry)
    #[argh(option)]
    pub environment: Option<String>,
    /// output format: text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Show the edit history of a document, newest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct EnvHistory {
    /// the environment
    #[argh(positional)]
    pub environment: String,
    /// operators' address of any entry, such as http://127.0.0.1:7101
    #[argh(option)]
    pub entry: String,
    /// output format: text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Format in which a command prints its result.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("unknown format `{text}`; expected text or json")),
        }
    }
}

/// Create an authority and keys for hosts, for trials.
#[derive(FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct Keys {
    /// directory for the files; an authority.yaml that exists there is reused
    #[argh(option)]
    pub out: PathBuf,
    /// names of the hosts
    #[argh(positional)]
    pub hosts: Vec<String>,
}

/// Show failover in one process: stream an answer from fake engines, and kill its engine halfway.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// largest length of the answer, in tokens
    #[argh(option, default = "60")]
    pub tokens: u64,
}

/// Parses the arguments. Prints help and errors, and returns the exit code of the process for them.
pub fn parse(args: Vec<String>) -> Result<Args, ExitCode> {
    let arguments: Vec<&str> = args.iter().map(String::as_str).collect();
    let (name, rest) = arguments.split_first().unwrap_or((&"medlarhatch", &[]));
    let name = name.rsplit('/').next().unwrap_or(name);
    Args::from_args(&[name], rest).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        eprintln!("{}\nRun {name} --help for more.", exit.output.trim_end());
        ExitCode::from(USAGE_EXIT_CODE)
    })
}

/// Parses the length of a time window in seconds.
fn seconds(text: &str) -> Result<Duration, String> {
    let seconds: f64 = text
        .parse()
        .map_err(|_| format!("{text} is not a number"))?;
    let window = Duration::try_from_secs_f64(seconds).map_err(|error| error.to_string())?;
    match window.is_zero() {
        true => Err("the window must be longer than 0".into()),
        false => Ok(window),
    }
}
