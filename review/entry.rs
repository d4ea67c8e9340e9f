//! Entries: the project's own program, started as the deploy file says.

use std::{
    fs,
    io::{self, ErrorKind},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use crate::record::Record;

/// Addresses of a run: a loopback network of its own.
#[derive(Clone, Copy, Debug)]
pub struct Network(pub u8);

impl Network {
    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, 77, self.0, host).into(), port)
    }

    pub fn store(self) -> SocketAddr {
        self.address(2, 8742)
    }
}

/// A machine with an entry.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    /// Text of the settings, without the value of `bootstrap`.
    text: String,
    has_run: bool,
    log: PathBuf,
    words: Vec<String>,
    child: Option<Child>,
}

impl Entry {
    /// Prepares an entry on host `host` of `network`; `folder` takes its settings and its log.
    pub fn new(
        network: Network,
        host: u8,
        seeds: &[u8],
        memory_mb: u64,
        folder: &Path,
    ) -> io::Result<Entry> {
        let name = format!("front-a-{host}");
        let (callers, ready) = (network.address(host, 8740), network.address(host, 8749));
        let seeds: String =
            seeds.iter().map(|seed| format!("  - \"{}\"\n", network.address(*seed, 8748))).collect();
        let text = format!(
            "nodeName: \"{name}\"\nrole: \"entry\"\nmachineClass: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n\
             ip: \"{ip}\"\nzone: \"a\"\nregion: \"r\"\nzones:\n  a: \"r\"\n\
             listen:\n  front: \"{callers}\"\n  readyAddr: \"{ready}\"\n  control: \"{control}\"\n\
             portRange:\n  - 7200\n  - 7215\nseeds:\n{seeds}bootstrap: {{first}}\n\
             limits:\n  cpuShare: 0.19\n  cores: 1\n  memoryMb: {memory_mb}\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n\
             dataDir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: 1200\n\
             bounds:\n  addrReuseS: 2\n  contactMs: 3000\n  drainMs: 2000\n  graceS: 8\n  lossSlackMs: 200\n  configApplyMs: 2000\n\
             \x20 downgradeSlackMs: 250\n  skewMaxMs: 5000\n  strictRevoke: true\n  revokeMs: 5000\n  retryRatio: 0.8\n\
             \x20 retryWindowS: 10\n  retrySlack: 150\n  exposureShare: 0.1\n  exposureSlack: 50\n  rollbackMs: 5000\n\
             \x20 recoveryS: 12\n  passMs: 120\n  reuseWindowS: 10\n\
             platform:\n  address: \"{store}\"\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n\
             \x20 valueBytes: 1048576\n  ttlMinMs: 1000\n",
            ip = callers.ip(),
            control = network.address(host, 8748),
            store = network.store(),
        );
        let settings = folder.join(format!("{name}.yaml"));
        Ok(Entry {
            text,
            has_run: false,
            log: folder.join(format!("{name}.log")),
            words: command()?,
            child: None,
            name,
            callers,
            ready,
            settings,
        })
    }

    /// Starts the process, as the platform does on a machine.
    pub fn start(&mut self, record: &Record) -> io::Result<()> {
        // The platform names only the first start of the whole system as such.
        let first = if self.has_run { "false" } else { "true" };
        fs::write(&self.settings, self.text.replace("{first}", first))?;
        self.has_run = true;
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.words[0]);
        command.args(&self.words[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("MEDLARHATCH_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        let child = command.spawn()?;
        record.line(&format!("{} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Returns the memory of the process in MB.
    pub fn memory_mb(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kilobytes / 1024)
    }

    /// Kills the process, and waits for its end.
    pub fn kill(&mut self, record: &Record) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        record.line(&format!("{} is killed", self.name));
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the words of the command of the role `entry` in the deploy file.
fn command() -> io::Result<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let role = text.split("[roles.entry]").nth(1).ok_or(ErrorKind::NotFound)?;
    let mut lines = role.lines();
    let run = lines.find_map(|line| line.strip_prefix("run = ")).ok_or(ErrorKind::NotFound)?;
    Ok(run.trim().trim_matches('"').split(' ').map(str::to_string).collect())
}
