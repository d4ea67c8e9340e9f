//! Runs daemons as child processes and reads their resource usage from `/proc`.

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

/// Unit of the processor times in `/proc/PID/stat`, per second; the same for all processes on
/// Linux.
const CLOCK_TICKS_PER_SECOND: u32 = 100;

/// Number of address lines that a daemon prints on standard output before it serves.
const ENTRY_ADDRESS_LINES: usize = 3;
const SIDECAR_ADDRESS_LINES: usize = 2;

/// A daemon in a child process, which is killed on drop.
pub struct Process {
    child: Child,
    /// Addresses on which the daemon listens, by the label that it prints before each.
    addresses: Vec<(String, SocketAddr)>,
}

/// Resource usage of a process so far.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// User and system time.
    pub cpu_time: Duration,
    /// Current resident memory, in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory, in bytes.
    pub peak_resident_bytes: u64,
}

/// Starts daemons of the measured program, with settings and keys in a temporary folder.
pub struct Launcher {
    folder: PathBuf,
    program: PathBuf,
    authority: Authority,
}

impl Launcher {
    /// Creates the folder and a key authority; measures the `medlarhatch` program next to this one.
    ///
    /// Returns an error if that program doesn't exist.
    pub fn new() -> io::Result<Self> {
        let own = std::env::current_exe()?;
        let program = own.with_file_name("medlarhatch");
        if !program.exists() {
            let message = format!(
                "{}: not found; build it with `cargo build --release`",
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

    /// Issues keys for a host.
    pub fn keys(&self, host: &str) -> io::Result<settings::Keys> {
        self.authority.issue(host).map_err(io::Error::other)
    }

    /// Starts an entry and waits until it has printed its addresses.
    pub fn entry(&self, settings: &settings::Entry) -> io::Result<Process> {
        self.start("entry", &settings.name, settings, ENTRY_ADDRESS_LINES)
    }

    /// Starts a sidecar and waits until it has printed its addresses.
    pub fn sidecar(&self, settings: &settings::Sidecar) -> io::Result<Process> {
        self.start("sidecar", &settings.name, settings, SIDECAR_ADDRESS_LINES)
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
            let Some((label, address)) = line.split_once(' ') else {
                continue;
            };
            let address = address.parse().map_err(io::Error::other)?;
            addresses.push((label.to_string(), address));
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

impl Drop for Launcher {
    fn drop(&mut self) {
        // A leftover folder among the system's temporary files does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    /// Returns the address that the daemon printed after a label.
    pub fn address(&self, label: &str) -> io::Result<SocketAddr> {
        self.addresses
            .iter()
            .find(|(known, _)| known == label)
            .map(|(_, address)| *address)
            .ok_or_else(|| io::Error::other(format!("the daemon printed no address for {label}")))
    }

    /// Reads the resource usage so far.
    pub fn usage(&self) -> io::Result<Usage> {
        let folder = format!("/proc/{}", self.child.id());
        let stat = fs::read_to_string(format!("{folder}/stat"))?;
        // The program name may contain spaces, so fields are counted from its closing parenthesis.
        let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u32>().ok());
        let ticks = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
        let status = fs::read_to_string(format!("{folder}/status"))?;
        Ok(Usage {
            cpu_time: Duration::from_secs(1) * ticks / CLOCK_TICKS_PER_SECOND,
            resident_bytes: status_bytes(&status, "VmRSS:"),
            peak_resident_bytes: status_bytes(&status, "VmHWM:"),
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the value of a line of `/proc/PID/status` in bytes, or 0 if it is missing.
fn status_bytes(status: &str, name: &str) -> u64 {
    let line = status.lines().find(|line| line.starts_with(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0)
        * 1024
}
