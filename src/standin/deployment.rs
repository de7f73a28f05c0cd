//! A whole deployment of stand-ins in one process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::{
    Result,
    kernel::id::{Model, Service, Version, Zone},
    platform::vm::{Entry, Role, State},
    standin::{
        engine::{self, Engine},
        kv::Store,
        ledger::Ledger,
        plain::Plain,
        platform::{Platform, weights::Speed},
    },
};

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The deployment's name.
    pub name: &'static str,
    /// Its availability zones.
    pub zones: Vec<Zone>,
    /// The model that its engines run.
    pub model: Model,
    /// Engines; every third does not check fencing numbers.
    pub engines: usize,
    /// How fast the engines are.
    pub speed: engine::batch::Speed,
    /// The plain service.
    pub service: Service,
    /// Instances of the plain service.
    pub plains: usize,
    /// The name of the KV store.
    pub kv: &'static str,
    /// How fast weights load.
    pub weights: Speed,
}

impl Settings {
    /// Nortebraço Software.
    pub fn nortebraco() -> Settings {
        Settings {
            name: "nortebraco",
            zones: zones(&["sala-a", "sala-b", "sala-c"]),
            model: Model::from("assistente"),
            engines: 12,
            speed: engine::SPEED,
            service: Service::from("wiki-app"),
            plains: 3,
            kv: "memoria",
            weights: Speed { load: Duration::from_millis(800), at_once: 2 },
        }
    }

    /// Cascade Wingline Renewals.
    pub fn cascade() -> Settings {
        Settings {
            name: "cascade",
            zones: zones(&["seattle-hall", "pdx-hall", "spokane-hall", "tacoma-hall"]),
            model: Model::from("tealturn-lm"),
            engines: 18,
            speed: engine::SPEED,
            service: Service::from("counter-app"),
            plains: 4,
            kv: "promptkeep",
            weights: Speed { load: Duration::from_millis(1_200), at_once: 3 },
        }
    }

    /// The deployment of that name.
    pub fn named(name: &str) -> Option<Settings> {
        match name {
            "nortebraco" => Some(Settings::nortebraco()),
            "cascade" => Some(Settings::cascade()),
            _ => None,
        }
    }

    /// The zone of the VM at `place`.
    pub fn zone(&self, place: usize) -> Zone {
        self.zones[place % self.zones.len()].clone()
    }
}

/// The version of the weights that engines start with.
pub const VERSION: Version = Version(1);

/// A running deployment. It ends when `stop` is cancelled.
pub struct Deployment {
    /// What the engines hold and computed.
    pub ledger: Arc<Ledger>,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The engines, by place.
    pub engines: Vec<Arc<Engine>>,
    /// The instances of the plain service.
    pub plains: Vec<Arc<Plain>>,
    /// The KV store.
    pub kv: Arc<Store>,
}

/// The addresses of a deployment, printed as one JSON line.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Addresses {
    /// The platform's services.
    pub platform: SocketAddr,
    /// The engines, by place.
    pub engines: Vec<SocketAddr>,
    /// The instances of the plain service.
    pub plains: Vec<SocketAddr>,
    /// The KV store.
    pub kv: SocketAddr,
}

impl Deployment {
    /// Starts all stand-ins and lists them as VMs.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Io`] if a port cannot be bound.
    pub async fn start(settings: &Settings, stop: CancellationToken) -> Result<Deployment> {
        let ledger = Arc::new(Ledger::default());
        let platform = Platform::start(settings.weights, ledger.clone(), stop.clone()).await?;
        let mut engines = Vec::new();
        for place in 0..settings.engines {
            let model = settings.model.clone();
            let mut own = engine::Settings::new(model.clone(), VERSION, platform.address());
            own.fenced = place % 3 != 2;
            own.speed = settings.speed;
            let fenced = own.fenced;
            let engine = Engine::start(own, ledger.clone(), stop.clone()).await?;
            let name = format!("{model}-{place}");
            let role = Role::Engine { model, fenced };
            platform.list_at_once(entry(name, engine.address(), settings.zone(place), role));
            engines.push(engine);
        }
        let mut plains = Vec::new();
        for place in 0..settings.plains {
            let plain = Plain::start(stop.clone()).await?;
            let service = settings.service.clone();
            let name = format!("{service}-{place}");
            let role = Role::Plain { service };
            platform.list_at_once(entry(name, plain.address(), settings.zone(place), role));
            plains.push(plain);
        }
        let kv = Store::start(stop).await?;
        let name = settings.kv.to_owned();
        platform.list_at_once(entry(name, kv.address(), settings.zone(0), Role::Kv));
        Ok(Deployment { ledger, platform, engines, plains, kv })
    }

    /// Where everything listens.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            platform: self.platform.address(),
            engines: self.engines.iter().map(|it| it.address()).collect(),
            plains: self.plains.iter().map(|it| it.address()).collect(),
            kv: self.kv.address(),
        }
    }

    /// How often the call of an idempotency key was run, over all instances.
    pub fn executed(&self, key: &str) -> u32 {
        self.plains.iter().map(|it| it.executed(key)).sum()
    }
}

fn zones(names: &[&str]) -> Vec<Zone> {
    names.iter().map(|it| Zone::from(*it)).collect()
}

fn entry(name: String, address: SocketAddr, zone: Zone, role: Role) -> Entry {
    Entry { name, address, zone, role, state: State::Live }
}
