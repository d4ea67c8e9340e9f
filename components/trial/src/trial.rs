//! Start of a trial, and its conditions.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use entry::Entry;
use fakes::{
    engine::{
        self,
        Engine, //
    },
    platform::{
        self,
        Platform, //
    },
    service::{
        self,
        Service, //
    },
};
use keys::Authority;
use serde_json::Value;
use settings::sidecar::Kind;
use sidecar::Sidecar;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    Error,
    host::Host, //
};

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(20);

/// Pace at which conditions are looked at.
const PACE: Duration = Duration::from_millis(10);

/// A whole system on stand-ins.
pub struct Trial {
    /// The stand-in platform.
    pub platform: Platform,
    /// Engines, in the order of their start.
    pub engines: Vec<Engine>,
    /// Plain services, in the order of their start.
    pub services: Vec<Service>,
    /// Sidecars, in the order of their start.
    pub sidecars: Vec<Host<Sidecar>>,
    /// Entries, in the order of their start.
    pub entries: Vec<Host<Entry>>,
    /// Client for what the trial itself asks.
    pub client: reqwest::Client,
    authority: Authority,
    hosts: Vec<platform::Host>,
    servers: Vec<String>,
}

impl Trial {
    /// Starts the platform.
    pub async fn start() -> Result<Self, Error> {
        Ok(Self {
            platform: Platform::start(platform::Settings::default()).await?,
            engines: Vec::new(),
            services: Vec::new(),
            sidecars: Vec::new(),
            entries: Vec::new(),
            client: reqwest::Client::new(),
            authority: Authority::new()?,
            hosts: Vec::new(),
            servers: Vec::new(),
        })
    }

    /// Starts an engine of service `draft` and the sidecar beside it.
    pub async fn start_engine(
        &mut self,
        name: &str,
        data_centre: &str,
        engine: engine::Settings,
    ) -> Result<(), Error> {
        let version = engine.version.clone();
        let model = engine.model.clone();
        let engine = Engine::start(engine).await?;
        let mut settings = sidecar_settings(name, data_centre, self.platform.address());
        settings.server.address = format!("http://{}", engine.address());
        settings.server.version = version;
        settings.server.model = model;
        self.engines.push(engine);
        self.start_sidecar(settings).await
    }

    /// Starts an engine of service `draft` with sidecar settings changed by `change`.
    pub async fn start_engine_with(
        &mut self,
        engine: engine::Settings,
        change: impl FnOnce(&mut settings::Sidecar),
    ) -> Result<(), Error> {
        let engine = Engine::start(engine).await?;
        let name = format!("draft-{}", self.sidecars.len());
        let mut settings = sidecar_settings(&name, "dc1", self.platform.address());
        settings.server.address = format!("http://{}", engine.address());
        change(&mut settings);
        self.engines.push(engine);
        self.start_sidecar(settings).await
    }

    /// Address of a sidecar's links.
    pub fn link_address(&self, sidecar: usize) -> SocketAddr {
        let daemon = self.sidecars[sidecar].daemon.as_ref();
        daemon.map_or_else(any, |daemon| daemon.links)
    }

    /// Lists a sidecar under another address, of something that stands before it.
    pub fn set_sidecar_address(&mut self, sidecar: usize, address: SocketAddr) {
        let links = self.link_address(sidecar);
        for host in &mut self.hosts {
            if host.address == links {
                host.address = address;
            }
        }
        self.platform.set_hosts(self.hosts.clone());
    }

    /// Starts a plain service, replica of `service`, and the sidecar beside it.
    pub async fn start_service(
        &mut self,
        name: &str,
        data_centre: &str,
        service: &str,
        settings: service::Settings,
    ) -> Result<(), Error> {
        let stand_in = Service::start(settings).await?;
        let mut settings = sidecar_settings(name, data_centre, self.platform.address());
        settings.server.address = format!("http://{}", stand_in.address());
        settings.server.kind = Kind::Plain;
        settings.server.service = service.into();
        self.services.push(stand_in);
        self.start_sidecar(settings).await
    }

    /// Starts a sidecar with settings of one's own.
    pub async fn start_sidecar(&mut self, settings: settings::Sidecar) -> Result<(), Error> {
        let name = settings.name.clone();
        let data_centre = settings.data_centre.clone();
        let server = settings.server.name.clone();
        let keys = self.authority.issue(&name)?;
        let sidecar = Host::start(|stop| async move {
            Ok::<_, Error>(Sidecar::start(settings, &keys, stop).await?)
        })
        .await?;
        let address = sidecar.daemon.as_ref().map(|daemon| daemon.links);
        self.sidecars.push(sidecar);
        self.servers.push(server);
        self.list(&name, &data_centre, platform::Role::Sidecar, address);
        Ok(())
    }

    /// Starts an entry.
    pub async fn start_entry(&mut self, name: &str, data_centre: &str) -> Result<(), Error> {
        let settings = entry_settings(name, data_centre, self.platform.address());
        self.start_entry_with(settings).await
    }

    /// Starts an entry with settings of one's own.
    pub async fn start_entry_with(&mut self, settings: settings::Entry) -> Result<(), Error> {
        let name = settings.name.clone();
        let data_centre = settings.data_centre.clone();
        let keys = self.authority.issue(&name)?;
        let entry = Host::start(|stop| async move {
            Ok::<_, Error>(Entry::start(settings, &keys, stop).await?)
        })
        .await?;
        let address = entry.daemon.as_ref().map(|daemon| daemon.links);
        self.entries.push(entry);
        self.list(&name, &data_centre, platform::Role::Entry, address);
        Ok(())
    }

    /// Address of a host's links, as the platform's list has it.
    pub fn host_address(&self, name: &str) -> Option<SocketAddr> {
        let host = self.hosts.iter().find(|host| host.name == name);
        host.map(|host| host.address)
    }

    /// Makes the platform's list give another address for a host, such as that of a relay.
    pub fn set_host_address(&mut self, name: &str, address: SocketAddr) {
        for host in &mut self.hosts {
            if host.name == name {
                host.address = address;
            }
        }
        self.platform.set_hosts(self.hosts.clone());
    }

    /// Callers' base address of an entry.
    pub fn callers_url(&self, entry: usize) -> String {
        let daemon = self.entries[entry].daemon.as_ref();
        daemon
            .map(|daemon| format!("http://{}", daemon.callers))
            .unwrap_or_default()
    }

    /// Operators' base address of an entry.
    pub fn operators_url(&self, entry: usize) -> String {
        let daemon = self.entries[entry].daemon.as_ref();
        daemon
            .map(|daemon| format!("http://{}", daemon.operators))
            .unwrap_or_default()
    }

    /// Puts a document through an entry.
    pub async fn put_document(
        &self,
        entry: usize,
        environment: &str,
        text: &str,
    ) -> Result<u64, Error> {
        let address = format!("{}/environments/{environment}", self.operators_url(entry));
        let answer = self
            .client
            .put(address)
            .body(text.to_string())
            .send()
            .await?;
        let good = answer.status().is_success();
        let body: Value = answer.json().await?;
        if !good {
            return Err(Error::Refused(body.to_string()));
        }
        Ok(body["revision"].as_u64().unwrap_or_default())
    }

    /// An entry's status.
    pub async fn status(&self, entry: usize) -> Result<Value, Error> {
        let address = format!("{}/status", self.operators_url(entry));
        Ok(self.client.get(address).send().await?.json().await?)
    }

    /// Waits until every entry holds a revision and has a link to every backend server.
    pub async fn wait_ready(&self, revision: u64) -> Result<(), Error> {
        for entry in 0..self.entries.len() {
            let begun = Instant::now();
            loop {
                let status = self.status(entry).await?;
                if status["revision"].as_u64() >= Some(revision) && self.all_up(&status) {
                    break;
                }
                if begun.elapsed() > LIMIT {
                    return Err(Error::Timeout(format!("entry {entry}: {status}")));
                }
                sleep(PACE).await;
            }
        }
        Ok(())
    }

    fn all_up(&self, status: &Value) -> bool {
        let up = status["servers"].as_array().cloned().unwrap_or_default();
        self.servers
            .iter()
            .all(|server| up.iter().any(|name| name.as_str() == Some(server)))
    }

    fn list(
        &mut self,
        name: &str,
        data_centre: &str,
        role: platform::Role,
        address: Option<SocketAddr>,
    ) {
        let Some(address) = address else {
            return;
        };
        self.hosts.retain(|host| host.name != name);
        self.hosts.push(platform::Host {
            name: name.into(),
            data_centre: data_centre.into(),
            region: "r1".into(),
            role,
            address,
            state: platform::State::Live,
        });
        self.platform.set_hosts(self.hosts.clone());
    }
}

/// Settings of an entry for trials: any ports.
pub fn entry_settings(name: &str, data_centre: &str, platform: SocketAddr) -> settings::Entry {
    settings::Entry {
        name: name.into(),
        data_centre: data_centre.into(),
        environment: "production".into(),
        callers: any(),
        operators: any(),
        links: any(),
        platform: format!("http://{platform}"),
        limits: settings::entry::Limits::default(),
        times: settings::entry::Times {
            hosts: Duration::from_millis(50),
            drain: Duration::from_secs(20),
            ..settings::entry::Times::default()
        },
    }
}

/// Settings of a sidecar for trials: any ports, an engine of service `draft`.
pub fn sidecar_settings(name: &str, data_centre: &str, platform: SocketAddr) -> settings::Sidecar {
    settings::Sidecar {
        name: name.into(),
        data_centre: data_centre.into(),
        links: any(),
        operators: any(),
        platform: format!("http://{platform}"),
        server: settings::sidecar::Backend {
            name: format!("{name}-server"),
            address: String::new(),
            kind: Kind::Engine,
            service: "draft".into(),
            version: "v1".into(),
            model: "m".into(),
            checks_fence: false,
        },
        limits: settings::sidecar::Limits::default(),
        times: settings::sidecar::Times {
            load: Duration::from_millis(50),
            ..settings::sidecar::Times::default()
        },
    }
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
