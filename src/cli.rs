//! The command line.

use std::{
    path::PathBuf,
    process::ExitCode,
    time::Duration, //
};

use argh::FromArgs;

use crate::messages::USAGE;

/// medlarhatch serves long model generations on engines that fail.
///
/// Exit codes: 0 done; 1 refused or failed; 2 wrong arguments; 3 a process or the platform can't be
/// reached, so that nothing is known.
#[derive(FromArgs)]
pub struct Args {
    /// log more: debug events too
    #[argh(switch, short = 'v')]
    pub verbose: bool,
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Run an entry.
    Entry(Entry),
    /// Run a sidecar.
    Sidecar(Sidecar),
    /// Work with documents.
    Env(Env),
    /// Make keys.
    Keys(Keys),
    /// Show burn, moves or resumes.
    Report(Report),
    /// Tell a request's story from log files.
    Explain(Explain),
    /// Check settings files.
    Settings(Settings),
    /// Show it all in one process.
    Demo(Demo),
}

/// Tell what became of a request and why, or with --summary of all requests, from the log files of
/// any number of processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// sum up all requests by kind, cause and time; only log files are named then
    #[argh(switch)]
    pub summary: bool,
    /// with --summary: length of a window of time, in seconds (2)
    #[argh(option, default = "Duration::from_secs(2)", from_str_fn(seconds))]
    pub window: Duration,
    /// with --summary: print JSON
    #[argh(switch)]
    pub json: bool,
    /// id of the request, then log files; what isn't a log line of ours is passed over
    #[argh(positional)]
    pub words: Vec<String>,
}

/// Work with settings files.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct Settings {
    #[argh(subcommand)]
    pub command: SettingsCommand,
}

/// What to do with settings files.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum SettingsCommand {
    /// Check them.
    Check(SettingsCheck),
}

/// Say everything that is wrong with settings files, a line each: file, line, field, what is
/// accepted. A file with `server` is taken for a sidecar's, one with `authority` for keys, any
/// other for an entry's.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct SettingsCheck {
    /// settings files, YAML
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Run an entry: callers and operators in, links to sidecars out.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct Entry {
    /// settings file, YAML (see examples/entry.yaml)
    #[argh(option)]
    pub settings: PathBuf,
    /// keys file, YAML (see `medlarhatch keys`)
    #[argh(option)]
    pub keys: Option<PathBuf>,
    /// check the files, and don't start
    #[argh(switch)]
    pub check: bool,
}

/// Show what an entry reports.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    #[argh(subcommand)]
    pub command: ReportCommand,
}

/// What to show.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ReportCommand {
    /// Service-level burn.
    Burn(ReportBurn),
    /// Moves.
    Moves(ReportMoves),
    /// Resumed answers.
    Resumes(ReportResumes),
}

/// Show service-level burn by route, version and team, worst first.
#[derive(FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct ReportBurn {
    /// address of an entry for operators, such as http://127.0.0.1:8081
    #[argh(option)]
    pub entry: String,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
    /// a page of HTML instead
    #[argh(switch)]
    pub html: bool,
}

/// Show moves: share, evidence by route, and why one was reverted.
#[derive(FromArgs)]
#[argh(subcommand, name = "moves")]
pub struct ReportMoves {
    /// address of an entry for operators, such as http://127.0.0.1:8081
    #[argh(option)]
    pub entry: String,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Show resumed answers by service and version: cause, latency, tokens computed again.
#[derive(FromArgs)]
#[argh(subcommand, name = "resumes")]
pub struct ReportResumes {
    /// address of an entry for operators, such as http://127.0.0.1:8081
    #[argh(option)]
    pub entry: String,
    /// text or json
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
    /// check the files, and don't start
    #[argh(switch)]
    pub check: bool,
}

/// Work with environments' documents.
#[derive(FromArgs)]
#[argh(subcommand, name = "env")]
pub struct Env {
    #[argh(subcommand)]
    pub command: EnvCommand,
}

/// What to do with documents.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum EnvCommand {
    /// Check a file.
    Check(EnvCheck),
    /// Put a document in force.
    Put(EnvPut),
    /// Promote a trial.
    Promote(EnvPromote),
    /// Show what is in force.
    Status(EnvStatus),
    /// Show the edits of a document.
    History(EnvHistory),
}

/// Check a document without putting it; works offline.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct EnvCheck {
    /// the document, YAML
    #[argh(positional)]
    pub document: PathBuf,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Put a document in force, unless somebody else has edited it meanwhile. What changes is shown
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
    /// who makes the edit, for the history; the name of the login if not given
    #[argh(option)]
    pub operator: Option<String>,
    /// id of the edit, to repeat one whose outcome is unknown
    #[argh(option)]
    pub edit: Option<String>,
    /// revision that the document was made from, if that isn't the one in force now
    #[argh(option)]
    pub base: Option<u64>,
    /// show what changes, and put nothing
    #[argh(switch)]
    pub dry_run: bool,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Put a trial's document in force elsewhere, exactly as it was tried.
#[derive(FromArgs)]
#[argh(subcommand, name = "promote")]
pub struct EnvPromote {
    /// environment of the trial
    #[argh(option)]
    pub from: String,
    /// environment that gets the document
    #[argh(option)]
    pub to: String,
    /// revision of the trial that was tried, if that isn't the newest
    #[argh(option)]
    pub revision: Option<u64>,
    /// operators' address of any entry, such as http://127.0.0.1:7101
    #[argh(option)]
    pub entry: String,
    /// who makes the edit, for the history; the name of the login if not given
    #[argh(option)]
    pub operator: Option<String>,
    /// id of the edit, to repeat one whose outcome is unknown
    #[argh(option)]
    pub edit: Option<String>,
    /// show what changes, and promote nothing
    #[argh(switch)]
    pub dry_run: bool,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Show which document is in force where.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct EnvStatus {
    /// operators' address of an entry; may be given more than once, to see each alone
    #[argh(option)]
    pub entry: Vec<String>,
    /// environment; that of the first entry if not given
    #[argh(option)]
    pub environment: Option<String>,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// Show who edited a document, newest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct EnvHistory {
    /// the environment
    #[argh(positional)]
    pub environment: String,
    /// operators' address of any entry, such as http://127.0.0.1:7101
    #[argh(option)]
    pub entry: String,
    /// text or json
    #[argh(option, default = "Format::Text")]
    pub format: Format,
}

/// How to print.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For a person.
    Text,
    /// For a program.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("`{text}` is no format; accepted are text and json")),
        }
    }
}

/// Make an authority and keys for hosts, for a trial.
#[derive(FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct Keys {
    /// folder for the files; authority.yaml in it is used again when it is there
    #[argh(option)]
    pub out: PathBuf,
    /// names of the hosts
    #[argh(positional)]
    pub hosts: Vec<String>,
}

/// Show the main job on stand-ins in one process: an answer is streamed, its engine killed halfway.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// length of the answer in tokens
    #[argh(option, default = "60")]
    pub tokens: u64,
}

/// Reads the arguments; help and errors are printed here.
pub fn parse(args: Vec<String>) -> Result<Args, ExitCode> {
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let (name, rest) = words.split_first().unwrap_or((&"medlarhatch", &[]));
    let name = name.rsplit('/').next().unwrap_or(name);
    Args::from_args(&[name], rest).map_err(|early| {
        if early.status.is_ok() {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        eprintln!("{}\nRun {name} --help for more.", early.output.trim_end());
        ExitCode::from(USAGE)
    })
}

/// Reads a length of time in seconds.
fn seconds(text: &str) -> Result<Duration, String> {
    let seconds: f64 = text.parse().map_err(|_| format!("{text} is no number"))?;
    let time = Duration::try_from_secs_f64(seconds).map_err(|error| error.to_string())?;
    match time.is_zero() {
        true => Err("a window is longer than nothing".into()),
        false => Ok(time),
    }
}
