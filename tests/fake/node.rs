//! A daemon without callers' listeners: its shared state and its components, on loopback.

// Each test uses a part of it.
#![allow(dead_code)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use tealturn::{
    Result,
    kernel::{
        clock::{self, Clock, Time},
        context::{Addresses, Context, Setup},
        id::Incarnation,
        registry::Registration,
    },
    platform::{
        table::Table,
        vm::{Entry, List},
    },
    route::{Choice, Event, Policy, Query},
    settings::Settings,
    timeline::Ring,
    upstream::directory::Directory,
};
use tokio::{net::TcpListener, time};
use tokio_util::sync::CancellationToken;

/// A VM list that tests set.
#[derive(Debug, Default)]
pub struct Vms(pub Mutex<Vec<Entry>>);

#[async_trait]
impl List for Vms {
    async fn entries(&self) -> Result<Vec<Entry>> {
        Ok(self.0.lock().expect("no test panics in here").clone())
    }
}

/// A policy that places nothing.
struct Nowhere;

impl Policy for Nowhere {
    fn choose(&self, _: &Query<'_>, _: &Directory, _: Time, _: u64) -> Option<Choice> {
        None
    }

    fn observe(&self, _: &Event<'_>, _: Time) {}
}

pub struct Node {
    pub context: Arc<Context>,
    stop: CancellationToken,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

pub struct Spec {
    pub name: &'static str,
    pub deployment: &'static str,
    pub seeds: Vec<SocketAddr>,
    pub table: Arc<dyn Table>,
}

impl Node {
    /// Starts the components of the fleet and the configuration. `peer` is what others are told.
    pub async fn start(spec: Spec, peer: Option<SocketAddr>) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        Node::start_on(spec, listener, peer.unwrap_or(address))
    }

    pub fn start_on(spec: Spec, listener: TcpListener, peer: SocketAddr) -> Node {
        let yaml = format!(
            "deployment: {}\ndaemon: {}\nzone: sala-a\n\
             listen: {{caller: '127.0.0.1:0', peer: '127.0.0.1:0', operator: '127.0.0.1:0'}}\n\
             platform: {{table: '127.0.0.1:1', vms: '127.0.0.1:1'}}\n",
            spec.deployment, spec.name
        );
        let mut settings: Settings = serde_saphyr::from_str(&yaml).expect("valid settings");
        settings.seeds = spec.seeds;
        let clock = Arc::new(clock::System::new());
        let context = Arc::new(Context::new(Setup {
            bound_addrs: Addresses { caller: peer, peer, operator: peer },
            incarnation: Incarnation(clock.wall_micros()),
            clock,
            ring: Arc::new(Ring::new(Box::new(clock::System::new()))),
            table: spec.table,
            vms: Arc::new(Vms::default()),
            policy: Arc::new(Nowhere),
            settings,
        }));
        context.peer_listener.put(listener);
        let stop = CancellationToken::new();
        for registration in inventory::iter::<Registration> {
            if !["configuration", "exchange"].contains(&registration.name) {
                continue;
            }
            let component = (registration.make)();
            let (context, stop) = (context.clone(), stop.clone());
            tokio::spawn(async move { component.run(context, stop).await });
        }
        Node { context, stop }
    }
}

/// Waits until `wanted`, with much patience: the machine may be busy.
pub async fn until(what: &str, wanted: impl Fn() -> bool) {
    for _ in 0..3_000 {
        if wanted() {
            return;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    panic!("waited in vain: {what}");
}
