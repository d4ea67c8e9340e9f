//! What the command line tells a person: failures, exit codes, the form of log lines.

use std::{
    fmt,
    process::ExitCode,
    time::SystemTime, //
};

use log::LevelFilter;

/// Exit code for wrong arguments.
pub const USAGE: u8 = 2;

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// It was refused, or it failed; nothing more happens.
    Failed(String),
    /// Somebody can't be reached: nothing is known.
    Unreachable(String),
    /// The arguments are wrong.
    Usage(String),
}

impl Failure {
    /// The process's exit code.
    pub fn code(&self) -> ExitCode {
        match self {
            Self::Failed(_) => ExitCode::from(1),
            Self::Unreachable(_) => ExitCode::from(3),
            Self::Usage(_) => ExitCode::from(USAGE),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(message) | Self::Unreachable(message) | Self::Usage(message) => {
                formatter.write_str(message)
            }
        }
    }
}

impl From<settings::Error> for Failure {
    fn from(error: settings::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Sends log lines to standard error, with time and level.
pub fn log(verbose: bool) -> Result<(), log::SetLoggerError> {
    let level = if verbose {
        LevelFilter::Debug
    } else {
        LevelFilter::Info
    };
    fern::Dispatch::new()
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!("{time} {:5} {message}", record.level()));
        })
        .level(LevelFilter::Warn)
        .level_for("medlarhatch", level)
        .chain(std::io::stderr())
        .apply()
}
