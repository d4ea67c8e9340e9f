//! Orders to engines by way of the store and the sidecar, with real daemons over loopback.

use std::time::Duration;

use ::store::{
    Client,
    store::{
        Expect,
        Write, //
    },
};
use fakes::{
    engine::{
        self,
        Engine, //
    },
    platform, //
};
use orders::Order;
use serde_json::Value;
use tokio::time::{
    Instant,
    sleep, //
};
use trial::{
    Trial,
    trial::sidecar_settings, //
};

/// Longest wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// System of one engine and its sidecar, with a client of the store.
struct System {
    trial: Trial,
    store: Client,
    /// Whether the engine checks fencing tokens.
    checks_fence: bool,
}

impl System {
    async fn start(checks_fence: bool) -> Self {
        let mut trial = Trial::start().await.unwrap();
        let engine = Engine::start(engine::Settings::default()).await.unwrap();
        if !checks_fence {
            engine.inject_fault(engine::Fault {
                ignore_fence: true,
                ..engine::Fault::default()
            });
        }
        trial.engines.push(engine);
        let address = format!("http://{}", trial.platform.address());
        let store = Client::new(&address, Duration::from_secs(2)).unwrap();
        let mut system = Self {
            trial,
            store,
            checks_fence,
        };
        system.start_sidecar().await;
        system
    }

    /// Starts a sidecar of the engine.
    async fn start_sidecar(&mut self) {
        let platform = self.trial.platform.address();
        let mut settings = sidecar_settings("draft-0", "dc1", platform);
        let engine = self.trial.engines[0].address();
        settings.server.address = format!("http://{engine}");
        settings.server.checks_fence = self.checks_fence;
        settings.times.settle = Duration::from_millis(200);
        self.trial.start_sidecar(settings).await.unwrap();
    }

    /// Writes an order to load a version, and returns its revision.
    async fn order_load(&self, version: &str) -> u64 {
        let order = Order::Load {
            model: "m".into(),
            version: version.into(),
        };
        let value = serde_json::to_string(&order).unwrap();
        let key = orders::key("draft-0-server");
        let result = self.store.put(&key, &value, Expect::Any, None).await;
        let Ok(Write::Applied { revision }) = result else {
            panic!("the order isn't written: {result:?}");
        };
        revision
    }

    /// Returns the versions that the engine has loaded.
    async fn loaded_versions(&self) -> Vec<String> {
        let address = format!("http://{}/load", self.trial.engines[0].address());
        let response = self.trial.client.get(address).send().await.unwrap();
        let load: Value = response.json().await.unwrap();
        let versions = load["versions"].as_array().cloned().unwrap_or_default();
        let names = versions.iter().filter_map(Value::as_str);
        names.map(str::to_string).collect()
    }

    async fn wait_until_loaded(&self, version: &str) {
        let started = Instant::now();
        while !self
            .loaded_versions()
            .await
            .iter()
            .any(|loaded| loaded == version)
        {
            assert!(
                started.elapsed() < CONDITION_TIMEOUT,
                "{version} was not loaded in time"
            );
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Two versions are ordered one after the other, then a third after the sidecar was replaced. Each
/// order must reach the engine, whether or not the engine checks fencing tokens.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn orders_reach_the_engine(#[values(true, false)] checks_fence: bool) {
    let mut system = System::start(checks_fence).await;
    system.order_load("v2").await;
    system.wait_until_loaded("v2").await;
    system.order_load("v3").await;
    system.wait_until_loaded("v3").await;
    system.trial.sidecars[0].kill();
    system.start_sidecar().await;
    system.order_load("v4").await;
    system.wait_until_loaded("v4").await;
}

/// The sidecar is replaced during a store outage. It can't know the newest order, so it must not
/// forward any; after the outage, the newest order takes effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_that_starts_without_the_store_forwards_no_order() {
    let mut system = System::start(false).await;
    system.order_load("v2").await;
    system.wait_until_loaded("v2").await;
    system.trial.sidecars[0].kill();
    system.order_load("v3").await;
    system.trial.platform.inject_fault(platform::Fault {
        outage: true,
        ..platform::Fault::default()
    });
    system.start_sidecar().await;
    let before = system.trial.platform.counts();
    let started = Instant::now();
    while system.trial.platform.counts().reads < before.reads + 2 {
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "the sidecar reads from the store again"
        );
        sleep(Duration::from_millis(10)).await;
    }
    assert!(!system.loaded_versions().await.contains(&"v3".to_string()));
    system.trial.platform.inject_fault(platform::Fault {
        clear: true,
        ..platform::Fault::default()
    });
    system.wait_until_loaded("v3").await;
}
