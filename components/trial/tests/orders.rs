//! Orders to engines through the store and the sidecar, with real daemons over loopback.

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
const LIMIT: Duration = Duration::from_secs(20);

struct Bench {
    trial: Trial,
    store: Client,
    checks: bool,
}

impl Bench {
    async fn open(checks: bool) -> Self {
        let mut trial = Trial::start().await.unwrap();
        let engine = Engine::start(engine::Settings::default()).await.unwrap();
        if !checks {
            engine.inject_fault(engine::Fault {
                ignore_fence: true,
                ..engine::Fault::default()
            });
        }
        trial.engines.push(engine);
        let address = format!("http://{}", trial.platform.address());
        let store = Client::new(&address, Duration::from_secs(2)).unwrap();
        let mut bench = Self {
            trial,
            store,
            checks,
        };
        bench.sidecar().await;
        bench
    }

    /// Starts a sidecar beside the engine.
    async fn sidecar(&mut self) {
        let platform = self.trial.platform.address();
        let mut settings = sidecar_settings("draft-0", "dc1", platform);
        let engine = self.trial.engines[0].address();
        settings.server.address = format!("http://{engine}");
        settings.server.checks_fence = self.checks;
        settings.times.settle = Duration::from_millis(200);
        self.trial.start_sidecar(settings).await.unwrap();
    }

    async fn order(&self, version: &str) -> u64 {
        let order = Order::Load {
            model: "m".into(),
            version: version.into(),
        };
        let value = serde_json::to_string(&order).unwrap();
        let key = orders::key("draft-0-server");
        let written = self.store.put(&key, &value, Expect::Any, None).await;
        let Ok(Write::Done { revision }) = written else {
            panic!("the order is written: {written:?}");
        };
        revision
    }

    async fn versions(&self) -> Vec<String> {
        let address = format!("http://{}/load", self.trial.engines[0].address());
        let answer = self.trial.client.get(address).send().await.unwrap();
        let load: Value = answer.json().await.unwrap();
        let versions = load["versions"].as_array().cloned().unwrap_or_default();
        let names = versions.iter().filter_map(Value::as_str);
        names.map(str::to_string).collect()
    }

    async fn loaded(&self, version: &str) {
        let begun = Instant::now();
        while !self.versions().await.iter().any(|loaded| loaded == version) {
            assert!(begun.elapsed() < LIMIT, "{version} was not loaded in time");
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// A version is ordered, then another; then the sidecar is replaced, and one more is ordered. Each
/// reaches the engine, whether it checks numbers or not.
#[rstest::rstest]
#[tokio::test(flavor = "multi_thread")]
async fn orders_reach_the_engine(#[values(true, false)] checks: bool) {
    let mut bench = Bench::open(checks).await;
    bench.order("v2").await;
    bench.loaded("v2").await;
    bench.order("v3").await;
    bench.loaded("v3").await;
    bench.trial.sidecars[0].kill();
    bench.sidecar().await;
    bench.order("v4").await;
    bench.loaded("v4").await;
}

/// The sidecar is replaced while the store is out. It can't know the newest order, so it passes none
/// on; once the store is back, the newest one takes effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_that_starts_without_the_store_passes_no_order_on() {
    let mut bench = Bench::open(false).await;
    bench.order("v2").await;
    bench.loaded("v2").await;
    bench.trial.sidecars[0].kill();
    bench.order("v3").await;
    bench.trial.platform.inject_fault(platform::Fault {
        outage: true,
        ..platform::Fault::default()
    });
    bench.sidecar().await;
    let before = bench.trial.platform.counts();
    let begun = Instant::now();
    while bench.trial.platform.counts().reads < before.reads + 2 {
        assert!(begun.elapsed() < LIMIT, "the sidecar asks the store again");
        sleep(Duration::from_millis(10)).await;
    }
    assert!(!bench.versions().await.contains(&"v3".to_string()));
    bench.trial.platform.inject_fault(platform::Fault {
        clear: true,
        ..platform::Fault::default()
    });
    bench.loaded("v3").await;
}
