//! Start and control of a whole system in one process.

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

/// Longest wait for an entry to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which the status of an entry is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// System of a platform, entries, sidecars and backend servers, all on stand-ins.
pub struct Trial {
    /// Stand-in platform.
    pub platform: Platform,
    /// Engines in start order.
    pub engines: Vec<Engine>,
    /// Plain services in start order.
    pub services: Vec<Service>,
    /// Sidecars in start order.
    pub sidecars: Vec<Host<Sidecar>>,
    /// Entries in start order.
    pub entries: Vec<Host<Entry>>,
    /// HTTP client for requests to the system.
    pub client: reqwest::Client,
    authority: Authority,
    /// Host list as last set at the platform.
    hosts: Vec<platform::Host>,
    /// Names of the backend servers.
    servers: Vec<String>,
}

impl Trial {
    /// Starts a system that consists of the platform only.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't start or the key authority can't be created.
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

    /// Starts an engine of service `draft` and its sidecar.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine or the sidecar can't start.
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

    /// Starts an engine of service `draft` and its sidecar, whose settings `change` may modify.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine or the sidecar can't start.
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

    /// Returns the address on which a sidecar accepts links.
    pub fn link_address(&self, sidecar: usize) -> SocketAddr {
        let daemon = self.sidecars[sidecar].daemon.as_ref();
        daemon.map_or_else(loopback, |daemon| daemon.links)
    }

    /// Sets the address of a sidecar in the platform's host list, such as that of a relay in front
    /// of it.
    pub fn set_sidecar_address(&mut self, sidecar: usize, address: SocketAddr) {
        let link_address = self.link_address(sidecar);
        for host in &mut self.hosts {
            if host.address == link_address {
                host.address = address;
            }
        }
        self.platform.set_hosts(self.hosts.clone());
    }

    /// Starts a plain service, as a replica of `service`, and its sidecar.
    ///
    /// # Errors
    ///
    /// Returns an error if the service or the sidecar can't start.
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

    /// Starts a sidecar with the given settings and adds it to the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if its keys can't be issued or the sidecar can't start.
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
        self.register(&name, &data_centre, platform::Role::Sidecar, address);
        Ok(())
    }

    /// Starts an entry with default settings.
    ///
    /// # Errors
    ///
    /// Returns an error if its keys can't be issued or the entry can't start.
    pub async fn start_entry(&mut self, name: &str, data_centre: &str) -> Result<(), Error> {
        let settings = entry_settings(name, data_centre, self.platform.address());
        self.start_entry_with(settings).await
    }

    /// Starts an entry with the given settings and adds it to the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if its keys can't be issued or the entry can't start.
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
        self.register(&name, &data_centre, platform::Role::Entry, address);
        Ok(())
    }

    /// Returns the link address of a host as given in the platform's host list.
    pub fn host_address(&self, name: &str) -> Option<SocketAddr> {
        let host = self.hosts.iter().find(|host| host.name == name);
        host.map(|host| host.address)
    }

    /// Sets the address of a host in the platform's host list, such as that of a relay.
    pub fn set_host_address(&mut self, name: &str, address: SocketAddr) {
        for host in &mut self.hosts {
            if host.name == name {
                host.address = address;
            }
        }
        self.platform.set_hosts(self.hosts.clone());
    }

    /// Returns the base URL of an entry's interface for callers.
    pub fn callers_url(&self, entry: usize) -> String {
        let daemon = self.entries[entry].daemon.as_ref();
        daemon
            .map(|daemon| format!("http://{}", daemon.callers))
            .unwrap_or_default()
    }

    /// Returns the base URL of an entry's interface for operators.
    pub fn operators_url(&self, entry: usize) -> String {
        let daemon = self.entries[entry].daemon.as_ref();
        daemon
            .map(|daemon| format!("http://{}", daemon.operators))
            .unwrap_or_default()
    }

    /// Puts a document through an entry and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the entry refuses the document.
    pub async fn put_document(
        &self,
        entry: usize,
        environment: &str,
        text: &str,
    ) -> Result<u64, Error> {
        let url = format!("{}/environments/{environment}", self.operators_url(entry));
        let response = self.client.put(url).body(text.to_string()).send().await?;
        let accepted = response.status().is_success();
        let body: Value = response.json().await?;
        if !accepted {
            return Err(Error::Refused(body.to_string()));
        }
        Ok(body["revision"].as_u64().unwrap_or_default())
    }

    /// Returns the status of an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails.
    pub async fn status(&self, entry: usize) -> Result<Value, Error> {
        let url = format!("{}/status", self.operators_url(entry));
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Waits until every entry holds at least `revision` and is linked to every backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if a request fails or the entries aren't ready in time.
    pub async fn wait_ready(&self, revision: u64) -> Result<(), Error> {
        for entry in 0..self.entries.len() {
            let started = Instant::now();
            loop {
                let status = self.status(entry).await?;
                if status["revision"].as_u64() >= Some(revision) && self.has_all_servers(&status) {
                    break;
                }
                if started.elapsed() > READY_TIMEOUT {
                    return Err(Error::Timeout(format!(
                        "entry {entry}, whose status is {status}"
                    )));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn has_all_servers(&self, status: &Value) -> bool {
        let linked = status["servers"].as_array().cloned().unwrap_or_default();
        self.servers
            .iter()
            .all(|server| linked.iter().any(|name| name.as_str() == Some(server)))
    }

    /// Adds a host to the platform's host list.
    fn register(
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

/// Returns settings of an entry on free ports.
pub fn entry_settings(name: &str, data_centre: &str, platform: SocketAddr) -> settings::Entry {
    settings::Entry {
        name: name.into(),
        data_centre: data_centre.into(),
        environment: "production".into(),
        callers: loopback(),
        operators: loopback(),
        links: loopback(),
        platform: format!("http://{platform}"),
        limits: settings::entry::Limits::default(),
        times: settings::entry::Times {
            hosts: Duration::from_millis(50),
            drain: Duration::from_secs(20),
            ..settings::entry::Times::default()
        },
    }
}

/// Returns settings of a sidecar on free ports, for an engine of service `draft`.
pub fn sidecar_settings(name: &str, data_centre: &str, platform: SocketAddr) -> settings::Sidecar {
    settings::Sidecar {
        name: name.into(),
        data_centre: data_centre.into(),
        links: loopback(),
        operators: loopback(),
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

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
