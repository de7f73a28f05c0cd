//! Stand-ins and daemons of one deployment in this process. Each daemon has a runtime of its
//! own, so that it can be killed at any moment.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    runtime::{Builder, Runtime},
    task::JoinHandle,
    time,
};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{
    Error, Result,
    http::client::Client,
    kernel::{context::Addresses, id::Daemon},
    load::{oracle::Oracle, setup, traffic::Profile},
    platform::vm::{Entry, Role, State},
    route::Policy,
    serve::Controller,
    settings::{Listen, Log, Platform, Settings},
    standin::deployment::{self, Deployment},
};

/// The policy that knows every cache.
pub const ORACLE: &str = "oracle";

/// Daemons of a bench.
const DAEMONS: usize = 3;

/// Threads of a daemon.
const THREADS: usize = 2;

/// How often the configuration is put until a daemon takes it.
const TRIES: usize = 100;

/// Wait between two tries.
const TRY_INTERVAL: Duration = Duration::from_millis(100);

/// A running deployment with its daemons.
pub struct Bench {
    /// The stand-ins.
    pub deployment: Deployment,
    standins: deployment::Settings,
    policy: String,
    oracle: Arc<dyn Policy>,
    daemons: Vec<Running>,
    _stop: DropGuard,
}

struct Running {
    bound: Addresses,
    threads: Threads,
}

/// A runtime that may be dropped on another runtime's thread.
struct Threads(Option<Runtime>);

impl Threads {
    fn start() -> Result<Threads> {
        let mut threads = Builder::new_multi_thread();
        let runtime = threads.worker_threads(THREADS).enable_all().build()?;
        Ok(Threads(Some(runtime)))
    }

    fn kill(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }

    fn spawn<F>(&self, work: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        let runtime = self.0.as_ref();
        runtime.expect("threads that were not killed").spawn(work)
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Bench {
    /// Starts stand-ins and daemons, and puts the callers' configuration.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] for an unknown policy, [`Error::Io`] if a port cannot be bound.
    pub async fn start(
        standins: deployment::Settings,
        profile: &Profile,
        policy: &str,
    ) -> Result<Bench> {
        let stop = CancellationToken::new();
        let deployment = Deployment::start(&standins, stop.clone()).await?;
        let oracle = Arc::new(Oracle::new(&deployment.engines));
        let mut bench = Bench {
            deployment,
            standins,
            policy: policy.to_owned(),
            oracle,
            daemons: Vec::new(),
            _stop: stop.drop_guard(),
        };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        for place in 0..DAEMONS {
            let listen = Listen { caller: any, peer: any, operator: any };
            let daemon = bench.start_daemon(place, listen).await?;
            bench.daemons.push(daemon);
        }
        bench.configure(profile).await?;
        Ok(bench)
    }

    /// Where the daemons listen for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|it| it.bound.caller).collect()
    }

    /// Kills all daemons at once and starts them again at their addresses.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if an address cannot be bound again.
    pub async fn restart_daemons(&mut self) -> Result<()> {
        for daemon in &mut self.daemons {
            daemon.threads.kill();
        }
        for place in 0..DAEMONS {
            let bound = self.daemons[place].bound;
            let listen =
                Listen { caller: bound.caller, peer: bound.peer, operator: bound.operator };
            self.daemons[place] = self.start_again(place, listen).await?;
        }
        Ok(())
    }

    /// The runtime that was killed needs a moment to close its listeners.
    async fn start_again(&self, place: usize, listen: Listen) -> Result<Running> {
        for _ in 0..TRIES {
            match self.start_daemon(place, listen).await {
                Err(Error::Io(_)) => time::sleep(TRY_INTERVAL / 10).await,
                started => return started,
            }
        }
        self.start_daemon(place, listen).await
    }

    async fn start_daemon(&self, place: usize, listen: Listen) -> Result<Running> {
        let threads = Threads::start()?;
        let binding = Controller::bind(self.settings(place, listen));
        let bound = threads.spawn(binding).await;
        let mut controller = bound.map_err(std::io::Error::other)??;
        if self.policy == ORACLE {
            let context = Arc::get_mut(&mut controller.context);
            let context = context.expect("a daemon that has not started shares nothing");
            context.policy = self.oracle.clone();
        }
        let entry = entry(&controller);
        self.deployment.platform.list_at_once(entry);
        let bound = controller.context.bound_addrs;
        threads.spawn(controller.run(CancellationToken::new()));
        Ok(Running { bound, threads })
    }

    fn settings(&self, place: usize, listen: Listen) -> Settings {
        let platform = self.deployment.platform.address();
        // The oracle is put in place of a registered policy.
        let policy = match self.policy.as_str() {
            ORACLE => "random",
            policy => policy,
        };
        Settings {
            deployment: self.standins.name.to_owned(),
            daemon: Daemon::from(format!("daemon-{place}").as_str()),
            zone: self.standins.zone(place),
            listen,
            platform: Platform { table: platform, vms: platform },
            seeds: Vec::new(),
            policy: policy.to_owned(),
            address_lifetime_s: 2,
            weight_loads: self.standins.weights.at_once as u16,
            log: Log::default(),
        }
    }

    /// Puts the configuration as soon as a daemon has read that there is none yet.
    async fn configure(&self, profile: &Profile) -> Result<()> {
        let client = Client::new();
        let operator = self.daemons[0].bound.operator;
        for _ in 0..TRIES {
            if setup::put(&client, operator, profile).await.is_ok() {
                return Ok(());
            }
            time::sleep(TRY_INTERVAL).await;
        }
        setup::put(&client, operator, profile).await.map(drop)
    }
}

fn entry(controller: &Controller) -> Entry {
    let context = &controller.context;
    Entry {
        name: context.settings.daemon.as_str().to_owned(),
        address: context.bound_addrs.caller,
        zone: context.settings.zone.clone(),
        role: Role::Daemon { peer: context.bound_addrs.peer },
        state: State::Live,
    }
}
