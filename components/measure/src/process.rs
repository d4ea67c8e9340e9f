//! Daemons as processes of their own, and what the system says that they cost.

use std::{
    fs,
    io::{
        self,
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::Duration,
};

use keys::Authority;
use serde::Serialize;

/// Processor ticks a second, as Linux counts them for every process.
const TICKS: u32 = 100;

/// Lines that a daemon prints before it serves.
const ENTRY_LINES: usize = 3;
const SIDECAR_LINES: usize = 2;

/// A daemon that runs as a process; it is ended with this value.
pub struct Process {
    child: Child,
    /// Addresses by the word that the daemon prints before each.
    addresses: Vec<(String, SocketAddr)>,
}

/// What a process has cost so far.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Processor time.
    pub processor: Duration,
    /// Resident memory now, in bytes.
    pub memory: u64,
    /// Highest resident memory, in bytes.
    pub peak: u64,
}

/// A folder for settings and keys, and the program that is measured.
pub struct Bench {
    folder: PathBuf,
    program: PathBuf,
    authority: Authority,
}

impl Bench {
    /// Measures the `medlarhatch` beside this program.
    pub fn new() -> io::Result<Self> {
        let own = std::env::current_exe()?;
        let program = own.with_file_name("medlarhatch");
        if !program.exists() {
            let message = format!(
                "{}: build it first: cargo build --release",
                program.display()
            );
            return Err(io::Error::new(io::ErrorKind::NotFound, message));
        }
        let folder =
            std::env::temp_dir().join(format!("medlarhatch-measure-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            folder,
            program,
            authority: Authority::new().map_err(io::Error::other)?,
        })
    }

    /// Keys for a host of this bench.
    pub fn keys(&self, host: &str) -> io::Result<settings::Keys> {
        self.authority.issue(host).map_err(io::Error::other)
    }

    /// Starts an entry.
    pub fn entry(&self, settings: &settings::Entry) -> io::Result<Process> {
        self.start("entry", &settings.name, settings, ENTRY_LINES)
    }

    /// Starts a sidecar.
    pub fn sidecar(&self, settings: &settings::Sidecar) -> io::Result<Process> {
        self.start("sidecar", &settings.name, settings, SIDECAR_LINES)
    }

    fn start(
        &self,
        role: &str,
        host: &str,
        settings: &impl Serialize,
        lines: usize,
    ) -> io::Result<Process> {
        let settings = self.write(&format!("{host}.yaml"), settings)?;
        let keys = self.write(&format!("{host}.keys.yaml"), &self.keys(host)?)?;
        let mut child = Command::new(&self.program)
            .arg(role)
            .arg("--settings")
            .arg(settings)
            .arg("--keys")
            .arg(keys)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let out = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut addresses = Vec::new();
        for line in BufReader::new(out).lines().take(lines) {
            let line = line?;
            let Some((word, address)) = line.split_once(' ') else {
                continue;
            };
            let address = address.parse().map_err(io::Error::other)?;
            addresses.push((word.to_string(), address));
        }
        Ok(Process { child, addresses })
    }

    fn write(&self, name: &str, value: &impl Serialize) -> io::Result<PathBuf> {
        let path: &Path = &self.folder.join(name);
        let text = serde_norway::to_string(value).map_err(io::Error::other)?;
        fs::write(path, text)?;
        Ok(path.to_path_buf())
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        // A folder that stays behind in the system's temporary folder does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    /// The address that the daemon printed after a word.
    pub fn address(&self, word: &str) -> io::Result<SocketAddr> {
        self.addresses
            .iter()
            .find(|(printed, _)| printed == word)
            .map(|(_, address)| *address)
            .ok_or_else(|| io::Error::other(format!("the daemon printed no address for {word}")))
    }

    /// Reads what the process has cost so far.
    pub fn cost(&self) -> io::Result<Cost> {
        let folder = format!("/proc/{}", self.child.id());
        let stat = fs::read_to_string(format!("{folder}/stat"))?;
        // The program's name may hold spaces; what follows its closing bracket doesn't.
        let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u32>().ok());
        let ticks = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
        let status = fs::read_to_string(format!("{folder}/status"))?;
        Ok(Cost {
            processor: Duration::from_secs(1) * ticks / TICKS,
            memory: kilobytes(&status, "VmRSS:"),
            peak: kilobytes(&status, "VmHWM:"),
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn kilobytes(status: &str, name: &str) -> u64 {
    let line = status.lines().find(|line| line.starts_with(name));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0)
        * 1024
}
